//! The checks of the second review's scripts: each exits with 1 if the rule was broken, 0 if it held
//! and 2 if the case could not run.

mod attempts;
mod fleet;
mod holders;
mod slow;

use std::path::PathBuf;
use std::process::ExitCode;

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
    let verdict = runtime.block_on(async {
        match case.as_str() {
            "holders" => holders::run(&folder, trouble).await,
            "slow" => slow::run(&folder, trouble).await,
            "attempts" => attempts::run(&folder, trouble).await,
            other => Ok(Verdict::NotRun(format!("no case {other}"))),
        }
    });
    match verdict {
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
