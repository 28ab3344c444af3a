//! The commands `check` and `publish`.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bamboocourse_decide::{Conflict, FileHashes, SourceFile, VersionId, check_files};
use bamboocourse_serve::{
    DomainState, HttpPlatform, Publication, PublishError, PublishedVersion, VmList, domain_states,
    publish,
};

use crate::args::PublishOptions;
use crate::{Exit, block_on, files};

/// The file beside the service files that records what was last published from there.
const BASE_FILE: &str = ".published.json";
/// How long `publish` waits by default until all VMs have confirmed the version.
const DEFAULT_CONFIRM_TIMEOUT: Duration = Duration::from_secs(18);
/// The time between two reads of the confirmed versions.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Checks service files and prints every error.
pub(crate) fn check_paths(paths: &[String]) -> Exit {
    let Some(files) = read_files(paths) else { return Exit::Usage };
    match check_files(&files) {
        Ok(config) => {
            println!(
                "{} files are valid: {} services, {} models, {} adapters, {} endpoints, {} workspaces",
                files.len(),
                config.services.len(),
                config.models.len(),
                config.adapters.len(),
                config.endpoints.len(),
                config.workspaces.len()
            );
            Exit::Success
        }
        Err(errors) => {
            for error in &errors {
                eprintln!("{error}");
            }
            eprintln!("{} errors", errors.len());
            Exit::ConfigErrors
        }
    }
}

/// Publishes service files, waits until all VMs have confirmed the version, and prints the result.
pub(crate) fn publish_files(options: &PublishOptions) -> Exit {
    let Some(files) = read_files(&options.files) else { return Exit::Usage };
    let Some(address) = options.platform else { return Exit::Usage };
    let base_path = base_path(options);
    let base = match read_base(options, &base_path) {
        Ok(base) => base,
        Err(message) => {
            eprintln!("{message}");
            return Exit::Usage;
        }
    };
    let timeout = options.wait.unwrap_or(DEFAULT_CONFIRM_TIMEOUT);
    let future = async {
        let platform = HttpPlatform::new(address, None);
        let id = format!("{:032x}", rand::random::<u128>());
        let publication = Publication { files, base, id };
        let published = match publish(&platform, &publication).await {
            Ok(published) => published,
            Err(error) => return print_refusal(&error),
        };
        print_published(&published);
        write_base(&base_path, &published.files);
        await_confirmation(&platform, published.head.version, timeout).await
    };
    block_on(future).unwrap_or(Exit::Failure)
}

/// Reads the service files of the paths; prints a message if that fails or there are none.
fn read_files(paths: &[String]) -> Option<Vec<SourceFile>> {
    if paths.is_empty() {
        eprintln!("pass at least one directory with service files");
        return None;
    }
    match files::read(paths) {
        Ok(files) if files.is_empty() => {
            eprintln!("no .toml files in {}", paths.join(", "));
            None
        }
        Ok(files) => Some(files),
        Err(error) => {
            eprintln!("{error}");
            None
        }
    }
}

/// Returns the path of the base file: by default in the directory of the first path.
fn base_path(options: &PublishOptions) -> PathBuf {
    if let Some(path) = &options.base {
        return PathBuf::from(path);
    }
    let path = options.files.first().map(Path::new).unwrap_or(Path::new("."));
    let directory = if path.is_dir() { path } else { path.parent().unwrap_or(path) };
    directory.join(BASE_FILE)
}

/// Reads the hashes of the files that were last published; `None` stands for `--replace-all`.
fn read_base(options: &PublishOptions, path: &Path) -> Result<Option<FileHashes>, String> {
    if options.replace_all {
        return Ok(None);
    }
    match fs::read_to_string(path) {
        Ok(text) => serde_json::from_str(&text)
            .map(Some)
            .map_err(|error| format!("{}: {error}", path.display())),
        // Without a base file nothing was published from here, so every file counts as new.
        Err(_) => Ok(Some(FileHashes::new())),
    }
}

/// Writes the base file for the next publication; prints a message if that fails.
fn write_base(path: &Path, files: &FileHashes) {
    let text = serde_json::to_string_pretty(files).unwrap_or_default();
    if let Err(error) = fs::write(path, text) {
        eprintln!("{}: {error}; pass --base with a writable file next time", path.display());
    }
}

/// Prints why nothing was published and returns the exit code.
fn print_refusal(error: &PublishError) -> Exit {
    eprintln!("not published: {error}");
    match error {
        PublishError::Conflict(Conflict::Errors(_)) => Exit::ConfigErrors,
        PublishError::Conflict(Conflict::SameFiles(_)) | PublishError::Contended => Exit::Conflict,
        PublishError::Platform(_) => Exit::Unreachable,
    }
}

fn print_published(published: &PublishedVersion) {
    let version = published.head.version;
    if published.moved {
        println!("version {version} is published");
    } else {
        println!("nothing to publish: the files are the same as in version {version}");
    }
}

/// Waits until every VM that is not leaving has confirmed the version, and prints the result.
async fn await_confirmation(
    platform: &HttpPlatform,
    version: VersionId,
    timeout: Duration,
) -> Exit {
    let started = Instant::now();
    loop {
        let states = domain_states(platform).await;
        let vms = platform.vms().await;
        if let (Ok(states), Ok(vms)) = (states, vms) {
            let mut unconfirmed: BTreeMap<_, Option<DomainState>> = BTreeMap::new();
            for vm in vms.iter().filter(|vm| !vm.leaving) {
                let state = states.get(&vm.domain);
                let confirmed = state.and_then(|state| state.vms.get(&vm.vm));
                if confirmed.is_none_or(|confirmed| *confirmed < version) {
                    unconfirmed.insert(vm.domain.clone(), state.cloned());
                }
            }
            if unconfirmed.is_empty() && !vms.is_empty() {
                let elapsed = started.elapsed().as_secs_f64();
                println!("accepted: in force on all {} VMs after {elapsed:.1} s", vms.len());
                return Exit::Success;
            }
            if started.elapsed() >= timeout {
                print_unconfirmed(version, &unconfirmed);
                return Exit::Unconfirmed;
            }
        } else if started.elapsed() >= timeout {
            eprintln!("published, but the platform cannot be reached to read where it is in force");
            return Exit::Unconfirmed;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Prints the domains that have not confirmed the version in time.
fn print_unconfirmed(
    version: VersionId,
    unconfirmed: &BTreeMap<impl std::fmt::Display, Option<DomainState>>,
) {
    eprintln!("published, but not yet confirmed:");
    for (domain, state) in unconfirmed {
        match state {
            Some(state) => eprintln!(
                "  {domain}: last report {} s ago, at version {}, not yet {version}",
                seconds_since(state.at),
                state.oldest_version()
            ),
            None => eprintln!("  {domain}: no report yet"),
        }
    }
    eprintln!(
        "A domain that has had no news of the configuration for its grace period (--grace of its \
         VMs, 10m unless set, or `grace` of the workspace) accepts no keys, so withdrawn keys are \
         refused there too."
    );
}

/// Returns the seconds since a time, given in milliseconds since the Unix epoch.
fn seconds_since(at: u64) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.as_secs().saturating_sub(at / 1000)
}
