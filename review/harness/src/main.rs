//! The cases of the review that are scripts: entry VMs as processes, and stand-ins on loopback.
//!
//! `review-harness CASE FOLDER` plays a case and writes FOLDER/record.txt. It exits with 1 if the rule
//! was broken, with 0 if it held, and with 2 if the case could not run. `TROUBLE=0` leaves the
//! disruption out. It must be started in the root of the repository.

mod bodies;
mod fleet;
mod http;
mod servers;

use std::process::ExitCode;

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
async fn told_to_end() {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// The result of a case: whether the rule held.
pub type Verdict = Result<bool, Box<dyn std::error::Error>>;

#[tokio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: review-harness CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match fleet::Record::create(folder) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{folder}: {error}");
            return ExitCode::from(2);
        }
    };
    let play = async {
        match case.as_str() {
            "bodies" => bodies::play(&record, trouble).await,
            _ => Err(format!("there is no case {case}").into()),
        }
    };
    // When this process is told to end, the case is dropped and with it all that it has started.
    let verdict = tokio::select! {
        verdict = play => verdict,
        () = told_to_end() => Err("it was told to end".into()),
    };
    let (line, code) = match verdict {
        Ok(true) => ("the rule held".to_owned(), 0),
        Ok(false) => ("THE RULE WAS BROKEN".to_owned(), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&line);
    println!("{line}");
    ExitCode::from(code)
}
