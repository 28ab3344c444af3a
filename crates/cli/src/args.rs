//! The command line, with an environment variable for each flag of a process.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use bamboocourse_decide::parse_duration;
use gumdrop::Options;

use crate::usage_of;

/// The prefix of environment variables: `--queue-wait` is `BAMBOOCOURSE_QUEUE_WAIT`.
const ENVIRONMENT_PREFIX: &str = "BAMBOOCOURSE_";

/// The whole command line.
#[derive(Debug, Options)]
pub(crate) struct Args {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

/// What to do.
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
    Status(AskOptions),
    #[options(help = "say why something was decided")]
    Explain(ExplainOptions),
    #[options(help = "report the burn of service-level objectives")]
    Report(ReportOptions),
    #[options(help = "make keys")]
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
    #[options(no_short, required, help = "its failure domain", meta = "NAME")]
    pub(crate) domain: String,
    #[options(no_short, required, help = "address for callers", meta = "IP:PORT")]
    pub(crate) listen: Option<SocketAddr>,
    #[options(no_short, required, help = "address for operators", meta = "IP:PORT")]
    pub(crate) operator: Option<SocketAddr>,
    #[options(no_short, required, help = "address for other VMs", meta = "IP:PORT")]
    pub(crate) peer: Option<SocketAddr>,
    #[options(no_short, required, help = "address of the platform", meta = "IP:PORT")]
    pub(crate) platform: Option<SocketAddr>,
    #[options(no_short, help = "address that outgoing connections leave from", meta = "IP")]
    pub(crate) local: Option<IpAddr>,
    #[options(
        no_short,
        help = "how long keys are honoured without news of the configuration (10m)",
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
        help = "how long a caller may take to send headers, and a body (10s)",
        meta = "TIME",
        parse(try_from_str = "duration")
    )]
    pub(crate) header_wait: Option<Duration>,
    #[options(
        no_short,
        help = "how long an endpoint may be silent within an answer (2m)",
        meta = "TIME",
        parse(try_from_str = "duration")
    )]
    pub(crate) endpoint_wait: Option<Duration>,
    #[options(no_short, help = "largest body of a request (4194304)", meta = "BYTES")]
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
        help = "file that keeps what you last published (DIR/.published.json)",
        meta = "FILE"
    )]
    pub(crate) base: Option<String>,
    #[options(no_short, help = "replace everything, whatever others published")]
    pub(crate) replace_all: bool,
    #[options(
        no_short,
        help = "how long to wait until it is in force everywhere (18s)",
        meta = "TIME",
        parse(try_from_str = "duration")
    )]
    pub(crate) wait: Option<Duration>,
    #[options(free, help = "directories with service files")]
    pub(crate) files: Vec<String>,
}

/// Options of `status`.
#[derive(Debug, Options)]
pub(crate) struct AskOptions {
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
    #[options(no_short, help = "log of an entry VM, instead of asking one", meta = "PATH")]
    pub(crate) log: Option<PathBuf>,
    #[options(free, help = "a request's id, a model, an endpoint or a workspace")]
    pub(crate) about: Option<String>,
}

/// Options of `report`.
#[derive(Debug, Options)]
pub(crate) struct ReportOptions {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(no_short, help = "text, json or html (text)", meta = "FORM")]
    pub(crate) format: Option<String>,
    #[options(no_short, help = "file to write instead of the terminal", meta = "FILE")]
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

/// What to do with keys.
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

/// Parses a command line; flags that are absent are looked up in the environment.
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
    let wants_help = args.iter().any(|arg| arg == "--help" || arg == "-h");
    if wants_help && args.len() > 1 {
        let usage = command_usage(&command).unwrap_or_else(usage);
        println!("Usage: bamboocourse {command} [OPTIONS]\n\n{usage}");
        if !environment_flags(&usage).is_empty() {
            println!("Each --some-flag VALUE may be set as {ENVIRONMENT_PREFIX}SOME_FLAG=VALUE.");
        }
        std::process::exit(0);
    }
    parsed
}

/// Returns the usage of the whole command.
pub(crate) fn usage() -> String {
    let commands = Args::command_list().unwrap_or_default();
    format!("Usage: bamboocourse COMMAND [OPTIONS]\n\nCommands:\n{commands}\n\n{}", Args::usage())
}

fn command_usage(command: &str) -> Option<String> {
    Some(match command {
        "serve" => usage_of::<ServeOptions>(),
        "entry" => usage_of::<EntryOptions>(),
        "check" => usage_of::<CheckOptions>(),
        "publish" => usage_of::<PublishOptions>(),
        "status" => usage_of::<AskOptions>(),
        "explain" => usage_of::<ExplainOptions>(),
        "report" => usage_of::<ReportOptions>(),
        "key" => usage_of::<NewKeyOptions>(),
        _ => return None,
    })
}

/// Appends the flags that the environment sets and the command line does not.
fn add_environment(args: &mut Vec<String>, usage: &str, lookup: impl Fn(&str) -> Option<String>) {
    for flag in environment_flags(usage) {
        let given = args.iter().any(|arg| *arg == flag || arg.starts_with(&format!("{flag}=")));
        if given {
            continue;
        }
        if let Some(value) = lookup(&variable(&flag)) {
            args.insert(1, value);
            args.insert(1, flag);
        }
    }
}

/// Returns the flags of a usage text that take a value.
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

fn variable(flag: &str) -> String {
    let name = flag.trim_start_matches('-').replace('-', "_").to_ascii_uppercase();
    format!("{ENVIRONMENT_PREFIX}{name}")
}

fn duration(text: &str) -> Result<Duration, String> {
    parse_duration(text).ok_or_else(|| format!("`{text}` must be a number with ms, s, m or h"))
}
