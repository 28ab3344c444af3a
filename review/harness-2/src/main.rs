//! The checks of the second review's scripts: each exits with 1 if the rule was broken, 0 if it held
//! and 2 if the case could not run.

mod attempts;
mod bodies;
mod fleet;
mod slow;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// The longest time that a case may take.
const LONGEST: Duration = Duration::from_secs(105);

/// How a check ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: bamboocourse-review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    // Dropping a case ends all processes that it has started.
    let verdict = runtime.block_on(async {
        let case = async {
            match case.as_str() {
                "slow" => slow::run(&folder, trouble).await,
                "bodies" => bodies::run(&folder, trouble).await,
                "attempts" => attempts::run(&folder, trouble).await,
                other => Ok(Verdict::NotRun(format!("no case {other}"))),
            }
        };
        tokio::time::timeout(LONGEST, case).await
    });
    let late = |_| Ok(Verdict::NotRun("it takes too long".to_owned()));
    match verdict.unwrap_or_else(late) {
        Ok(Verdict::Held) => {
            println!("held");
            ExitCode::from(0)
        }
        Ok(Verdict::Broken) => {
            println!("broken");
            ExitCode::from(1)
        }
        Ok(Verdict::NotRun(why)) => {
            println!("not run: {why}");
            ExitCode::from(2)
        }
        Err(error) => {
            println!("not run: {error}");
            ExitCode::from(2)
        }
    }
}
