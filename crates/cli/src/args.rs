//! The command line, and the environment variables that stand in for flags with a value.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use bamboocourse_decide::parse_duration;
use gumdrop::Options;

use crate::usage_of;

/// The prefix of environment variables: `--queue-wait` is `BAMBOOCOURSE_QUEUE_WAIT`.
const ENVIRONMENT_PREFIX: &str = "BAMBOOCOURSE_";

/// The command line.
#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

/// The commands.
#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "run one entry VM")]
    Serve(ServeOptions),
    #[options(help = "run one entry VM on a platform")]
    Entry(EntryOptions),
    #[options(help = "check service files")]
    Check(CheckOptions),
    #[options(help = "check and publish service files")]
    Publish(PublishOptions),
    #[options(help = "show the state of a VM and its domain")]
    Status(StatusOptions),
    #[options(help = "show the decisions about a request, model, endpoint or workspace")]
    Explain(ExplainOptions),
    #[options(help = "report the burn rates of service-level objectives")]
    Report(ReportOptions),
    #[options(help = "create API keys")]
    Key(KeyOptions),
}

/// Options of `entry`.
#[derive(Debug, Options)]
pub(crate) struct EntryOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(no_short, help = "the platform's settings file", meta = "PATH")]
    pub(crate) settings: Option<PathBuf>,
}

/// Options of `serve`.
#[derive(Debug, Options)]
pub(crate) struct ServeOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(no_short, required, help = "name of this VM", meta = "NAME")]
    pub(crate) vm: String,
    #[options(no_short, required, help = "failure domain of this VM", meta = "NAME")]
    pub(crate) domain: String,
    #[options(no_short, required, help = "address for callers", meta = "IP:PORT")]
    pub(crate) listen: Option<SocketAddr>,
    #[options(no_short, required, help = "address for operators", meta = "IP:PORT")]
    pub(crate) operator: Option<SocketAddr>,
    #[options(no_short, required, help = "address for other VMs", meta = "IP:PORT")]
    pub(crate) peer: Option<SocketAddr>,
    #[options(no_short, required, help = "address of the platform", meta = "IP:PORT")]
    pub(crate) platform: Option<SocketAddr>,
    #[options(no_short, help = "local address of outgoing connections", meta = "IP")]
    pub(crate) local: Option<IpAddr>,
    #[options(
        no_short,
        help = "how long keys are accepted without news of the configuration (10m)",
        meta = "TIME",
        parse(try_from_str = "duration")
    )]
    pub(crate) grace: Option<Duration>,
    #[options(
        no_short,
        help = "how long a request may wait for tokens or an endpoint (2s)",
        meta = "TIME",
        parse(try_from_str = "duration")
    )]
    pub(crate) queue_wait: Option<Duration>,
    #[options(
        no_short,
        help = "how long a caller may take to send the headers, and then the body (10s)",
        meta = "TIME",
        parse(try_from_str = "duration")
    )]
    pub(crate) header_wait: Option<Duration>,
    #[options(
        no_short,
        help = "how long an endpoint may send nothing before or within a response (2m)",
        meta = "TIME",
        parse(try_from_str = "duration")
    )]
    pub(crate) endpoint_wait: Option<Duration>,
    #[options(no_short, help = "largest body of a request, in bytes (4194304)", meta = "BYTES")]
    pub(crate) body_limit: Option<usize>,
}

/// Options of `check`.
#[derive(Debug, Options)]
pub(crate) struct CheckOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(free, help = "directories with service files")]
    pub(crate) files: Vec<String>,
}

/// Options of `publish`.
#[derive(Debug, Options)]
pub(crate) struct PublishOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(no_short, required, help = "address of the platform", meta = "IP:PORT")]
    pub(crate) platform: Option<SocketAddr>,
    #[options(
        no_short,
        help = "file that records what you last published (DIR/.published.json)",
        meta = "FILE"
    )]
    pub(crate) base: Option<String>,
    #[options(no_short, help = "replace all published files, including those of other operators")]
    pub(crate) replace_all: bool,
    #[options(
        no_short,
        help = "how long to wait until the version is in force on all VMs (18s)",
        meta = "TIME",
        parse(try_from_str = "duration")
    )]
    pub(crate) wait: Option<Duration>,
    #[options(free, help = "directories with service files")]
    pub(crate) files: Vec<String>,
}

/// Options of `status`.
#[derive(Debug, Options)]
pub(crate) struct StatusOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(no_short, help = "print JSON")]
    pub(crate) json: bool,
    #[options(free, help = "operator addresses of VMs")]
    pub(crate) vms: Vec<SocketAddr>,
}

/// Options of `explain`.
#[derive(Debug, Options)]
pub(crate) struct ExplainOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(no_short, help = "operator address of a VM", meta = "IP:PORT")]
    pub(crate) vm: Option<SocketAddr>,
    #[options(
        no_short,
        help = "log file of an entry VM, read instead of querying a VM",
        meta = "PATH"
    )]
    pub(crate) log: Option<PathBuf>,
    #[options(free, help = "id of a request, or name of a model, endpoint or workspace")]
    pub(crate) about: Option<String>,
}

/// Options of `report`.
#[derive(Debug, Options)]
pub(crate) struct ReportOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(no_short, help = "text, json or html (text)", meta = "FORM")]
    pub(crate) format: Option<String>,
    #[options(no_short, help = "file to write instead of standard output", meta = "FILE")]
    pub(crate) output: Option<String>,
    #[options(free, help = "operator addresses of all VMs")]
    pub(crate) vms: Vec<SocketAddr>,
}

/// Options of `key`.
#[derive(Debug, Options)]
pub(crate) struct KeyOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(command)]
    pub(crate) command: Option<KeyCommand>,
}

/// The commands of `key`.
#[derive(Debug, Options)]
pub(crate) enum KeyCommand {
    #[options(help = "print a new key and its hash")]
    New(NewKeyOptions),
}

/// Options of `key new`.
#[derive(Debug, Options)]
pub(crate) struct NewKeyOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(no_short, help = "id for the service file", meta = "ID", default = "key-1")]
    pub(crate) id: String,
}

/// Parses a command line. Flags that are absent are looked up as environment variables by `lookup`.
///
/// Prints the usage of a command and exits if `--help` or `-h` follows it.
///
/// # Errors
/// Returns a message if a flag or value is unknown, invalid or missing.
pub(crate) fn parse(
    args: impl Iterator<Item = String>,
    lookup: impl Fn(&str) -> Option<String>,
) -> Result<Args, String> {
    let mut args: Vec<String> = args.collect();
    let command = args.first().cloned().unwrap_or_default();
    if let Some(usage) = command_usage(&command)
        && !args.iter().any(|arg| arg == "--help" || arg == "-h")
    {
        add_environment(&mut args, &usage, lookup);
    }
    let parsed = Args::parse_args_default(&args).map_err(|error| error.to_string());
    let help_requested = args.iter().any(|arg| arg == "--help" || arg == "-h");
    if help_requested && args.len() > 1 {
        let usage = command_usage(&command).unwrap_or_else(usage);
        println!("Usage: bamboocourse {command} [OPTIONS]\n\n{usage}");
        if !environment_flags(&usage).is_empty() {
            println!("Each --some-flag VALUE may be set as {ENVIRONMENT_PREFIX}SOME_FLAG=VALUE.");
        }
        std::process::exit(0);
    }
    parsed
}

/// Returns the usage text of the whole command line.
pub(crate) fn usage() -> String {
    let commands = Args::command_list().unwrap_or_default();
    format!("Usage: bamboocourse COMMAND [OPTIONS]\n\nCommands:\n{commands}\n\n{}", Args::usage())
}

/// Returns the usage text of a command.
fn command_usage(command: &str) -> Option<String> {
    Some(match command {
        "serve" => usage_of::<ServeOptions>(),
        "entry" => usage_of::<EntryOptions>(),
        "check" => usage_of::<CheckOptions>(),
        "publish" => usage_of::<PublishOptions>(),
        "status" => usage_of::<StatusOptions>(),
        "explain" => usage_of::<ExplainOptions>(),
        "report" => usage_of::<ReportOptions>(),
        "key" => usage_of::<NewKeyOptions>(),
        _ => return None,
    })
}

/// Inserts the flags that are set in the environment and absent from the command line.
fn add_environment(args: &mut Vec<String>, usage: &str, lookup: impl Fn(&str) -> Option<String>) {
    for flag in environment_flags(usage) {
        let on_command_line =
            args.iter().any(|arg| *arg == flag || arg.starts_with(&format!("{flag}=")));
        if on_command_line {
            continue;
        }
        if let Some(value) = lookup(&variable_name(&flag)) {
            args.insert(1, value);
            args.insert(1, flag);
        }
    }
}

/// Returns the flags with a value: those that a usage text shows with a word in capitals.
fn environment_flags(usage: &str) -> Vec<String> {
    let words = usage.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let flags = words.filter_map(|words| match words.as_slice() {
        [flag, meta, ..] if flag.starts_with("--") && meta.chars().all(is_meta) => {
            Some((*flag).to_string())
        }
        _ => None,
    });
    flags.collect()
}

fn is_meta(c: char) -> bool {
    c.is_ascii_uppercase() || c == ':'
}

/// Returns the environment variable of a flag.
fn variable_name(flag: &str) -> String {
    let name = flag.trim_start_matches('-').replace('-', "_").to_ascii_uppercase();
    format!("{ENVIRONMENT_PREFIX}{name}")
}

/// Parses the value of a flag that takes a time.
fn duration(text: &str) -> Result<Duration, String> {
    parse_duration(text)
        .ok_or_else(|| format!("`{text}` must be a number followed by ms, s, m or h"))
}
