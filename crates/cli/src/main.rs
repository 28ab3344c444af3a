//! The `bamboocourse` command: runs entry VMs, checks and publishes service files, and queries VMs.

mod args;
mod entry;
mod explain;
mod files;
mod logs;
mod publish;
mod query;
mod serve;
mod signals;

use std::process::ExitCode;

use gumdrop::Options;

use crate::args::{Args, Command, KeyCommand};

/// The outcome of a command; the value is the exit code of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded.
    Success = 0,
    /// The command failed.
    Failure = 1,
    /// The command line or a setting is invalid.
    Usage = 2,
    /// The service files have errors.
    ConfigErrors = 3,
    /// Other operators have changed the same files, or published at the same time too often.
    Conflict = 4,
    /// The platform or a VM could not be reached.
    Unreachable = 5,
    /// The configuration is published, but not all VMs have confirmed it.
    Unconfirmed = 6,
}

fn main() -> ExitCode {
    let exit = match args::parse(std::env::args().skip(1), |name| std::env::var(name).ok()) {
        Ok(args) => run(args),
        Err(message) => {
            eprintln!("bamboocourse: {message}\nSee `bamboocourse --help`.");
            Exit::Usage
        }
    };
    ExitCode::from(exit as u8)
}

fn run(args: Args) -> Exit {
    let Some(command) = args.command else {
        return print_help(args.help);
    };
    if !matches!(command, Command::Entry(_)) {
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    }
    match command {
        Command::Serve(options) => serve::serve(&options),
        Command::Entry(options) => entry::entry(&options),
        Command::Check(options) => publish::check_paths(&options.files),
        Command::Publish(options) => publish::publish_files(&options),
        Command::Status(options) => query::status(&options),
        Command::Explain(options) => query::explain(&options),
        Command::Report(options) => query::report(&options),
        Command::Key(options) => match options.command {
            Some(KeyCommand::New(options)) => print_new_key(&options.id),
            None => print_help(true),
        },
    }
}

/// Prints the usage text. The exit code is that of a usage error unless help was requested.
fn print_help(requested: bool) -> Exit {
    println!("{}", args::usage());
    if requested { Exit::Success } else { Exit::Usage }
}

/// Prints a new API key, and the lines with its hash for a service file.
fn print_new_key(id: &str) -> Exit {
    let key = bamboocourse_decide::new_key(&mut rand::rng());
    println!("key (shown once, give it to the caller): {key}\n");
    println!("For the workspace's service file:\n");
    println!("[[workspace.key]]");
    println!("id = \"{id}\"");
    println!("hash = \"{}\"", bamboocourse_decide::KeyHash::of(&key));
    Exit::Success
}

/// Runs a future to completion on a single-threaded runtime.
///
/// # Errors
/// Fails if the runtime cannot be created.
pub(crate) fn block_on<T>(future: impl Future<Output = T>) -> std::io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(runtime.block_on(future))
}

/// Returns the usage text of one command.
pub(crate) fn usage_of<T: Options>() -> String {
    T::usage().to_string()
}
