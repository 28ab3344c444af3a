//! Publishes a configuration through the platform, and reads which domains have it active.

use std::collections::BTreeMap;
use std::fmt;

use bamboocourse_decide::{
    Config, ConfigHead, Conflict, DomainId, FileHashes, Revision, SourceFile, VersionId, VmId,
    check_files, content_hash, rebase,
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::edge::{Commit, Platform, PlatformError};

/// The key of the head's row.
pub(crate) const HEAD_KEY: &str = "config/head";
/// The key prefix of the domains' states, one row for each domain.
pub(crate) const DOMAIN_PREFIX: &str = "domain/";

/// How many times a publication is tried, and how many times the head is read after a lost reply.
const MAX_ATTEMPTS: usize = 8;

/// The row of the head.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HeadRow {
    pub(crate) head: ConfigHead,
    /// The id of the publication that wrote the row; after a lost reply the publisher recognises
    /// its own write by this id.
    pub(crate) by: String,
}

/// The state of a domain's VMs, which the domain's leader writes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainState {
    /// The active version of each live VM.
    pub vms: BTreeMap<VmId, VersionId>,
    /// When the leader wrote the state, in milliseconds since the Unix epoch.
    pub at: u64,
}

impl DomainState {
    /// Returns the oldest active version of the domain's live VMs, or 0 if there are none.
    pub fn oldest_version(&self) -> VersionId {
        self.vms.values().copied().min().unwrap_or(0)
    }
}

/// A request to publish service files.
#[derive(Debug, Clone)]
pub struct Publication {
    /// The service files.
    pub files: Vec<SourceFile>,
    /// The hashes of the files that the operator's change is based on; with `None`, `files` replace
    /// all published files.
    pub base: Option<FileHashes>,
    /// The unique id of this publication.
    pub id: String,
}

/// The result of a publication.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishedVersion {
    /// The new head, or the current one if the files do not differ from it.
    pub head: ConfigHead,
    /// The hashes of the published files, which the next publication is based on.
    pub files: FileHashes,
    /// Whether this publication moved the head.
    pub moved: bool,
}

/// Why nothing was published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishError {
    /// The files have errors, or conflict with another operator's change.
    Conflict(Conflict),
    /// The platform failed; the head is not known to have moved.
    Platform(PlatformError),
    /// All attempts are used up: each time another publication moved the head first, or the reply
    /// was lost.
    Contended,
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(Conflict::SameFiles(names)) => {
                write!(f, "another operator changed {} since your base", names.join(", "))
            }
            Self::Conflict(Conflict::Errors(errors)) => {
                let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
            Self::Platform(error) => error.fmt(f),
            Self::Contended => f.write_str("other operators published first each time; try again"),
        }
    }
}

impl std::error::Error for PublishError {}

impl From<PlatformError> for PublishError {
    fn from(error: PlatformError) -> Self {
        Self::Platform(error)
    }
}

/// Reads the head with the revision of its row and its configuration; `None` if nothing is
/// published yet.
///
/// # Errors
/// Fails if the platform cannot be reached or what it returns cannot be decoded, does not match its
/// hash or does not pass the checks of a publication.
pub async fn read_head(
    platform: &dyn Platform,
) -> Result<Option<(Revision, ConfigHead, Config)>, PlatformError> {
    let Some((revision, row)) = read_head_row(platform).await? else { return Ok(None) };
    let config = fetch_config(platform, &row.head, None).await?;
    Ok(Some((revision, row.head, config)))
}

/// Reads the row of the head with its revision.
pub(crate) async fn read_head_row(
    platform: &dyn Platform,
) -> Result<Option<(Revision, HeadRow)>, PlatformError> {
    read_row(platform, HEAD_KEY).await
}

/// Reads the row of exactly this key with its revision.
///
/// The table's read also returns rows with longer keys that start with it.
pub(crate) async fn read_row<T: serde::de::DeserializeOwned>(
    platform: &dyn Platform,
    key: &str,
) -> Result<Option<(Revision, T)>, PlatformError> {
    let rows = platform.rows(key).await?;
    let Some(row) = rows.into_iter().find(|row| row.key == key) else { return Ok(None) };
    Ok(Some((row.revision, decode_json(&row.value)?)))
}

/// Fetches the configuration of a head: the manifest, and the files that `known` does not have.
///
/// # Errors
/// Fails if an object cannot be read or does not match its hash, or if the files do not pass the
/// checks of a publication.
pub(crate) async fn fetch_config(
    platform: &dyn Platform,
    head: &ConfigHead,
    known: Option<&Config>,
) -> Result<Config, PlatformError> {
    let manifest = fetch_text(platform, &head.object).await?;
    let manifest: FileHashes = decode_json(&manifest)?;
    let mut files = Vec::new();
    for (name, hash) in manifest {
        let same = known.and_then(|known| known_text(known, &name, &hash));
        let text = match same {
            Some(text) => text.clone(),
            None => fetch_text(platform, &hash).await?,
        };
        files.push(SourceFile { name, text });
    }
    check_published(&files)
}

/// Returns the text of a file of the configuration `known`, if the file has this hash.
fn known_text<'a>(known: &'a Config, name: &SmolStr, hash: &SmolStr) -> Option<&'a String> {
    let same = known.files.get(name) == Some(hash);
    same.then(|| known.sources.get(name)).flatten()
}

/// Fetches an object as text and checks its hash.
async fn fetch_text(platform: &dyn Platform, object: &str) -> Result<String, PlatformError> {
    let unreadable = |why: &str| PlatformError::Unreadable(format!("object {object} {why}"));
    let bytes = platform.fetch(object).await?.ok_or_else(|| unreadable("is missing"))?;
    if content_hash(&bytes) != object {
        return Err(unreadable("does not match its hash"));
    }
    String::from_utf8(bytes.into()).map_err(|_| unreadable("is not text"))
}

/// Checks files that are already published.
fn check_published(files: &[SourceFile]) -> Result<Config, PlatformError> {
    check_files(files).map_err(|errors| {
        let first = errors.first().map(ToString::to_string).unwrap_or_default();
        PlatformError::Unreadable(format!("the published files have faults: {first}"))
    })
}

/// Builds the configuration of a head from the texts of its files.
///
/// Returns `None` if the files have errors or are not those of the head.
pub(crate) fn config_from_sources(
    head: &ConfigHead,
    sources: BTreeMap<SmolStr, String>,
) -> Option<Config> {
    let files: Vec<SourceFile> =
        sources.into_iter().map(|(name, text)| SourceFile { name, text }).collect();
    let config = check_files(&files).ok()?;
    (content_hash(&manifest(&config).ok()?) == head.object).then_some(config)
}

/// Returns the manifest of a configuration: the hash of each file by its name.
fn manifest(config: &Config) -> Result<Bytes, PlatformError> {
    let bytes = serde_json::to_vec(&config.files);
    bytes.map(Bytes::from).map_err(|error| PlatformError::Unreadable(error.to_string()))
}

/// Checks service files, merges them with the published ones and publishes the result.
///
/// Changed files and the manifest are written first. Then the head moves in one transaction, on
/// condition that its row still has the revision that was read. After a lost reply the head is read
/// again. If another publication moved the head first, this one starts over on the new head.
///
/// # Errors
/// Fails as the variants of [`PublishError`] say.
pub async fn publish(
    platform: &dyn Platform,
    publication: &Publication,
) -> Result<PublishedVersion, PublishError> {
    let mut uncertain = false;
    for _ in 0..MAX_ATTEMPTS {
        let current = read_current(platform, uncertain).await?;
        let (revision, version, config, by) = match current {
            Some((revision, row, config)) => (revision, row.head.version, config, row.by),
            None => (0, 0, Config::default(), String::new()),
        };
        let merged = rebase(&publication.files, publication.base.as_ref(), &config)
            .map_err(PublishError::Conflict)?;
        let bytes = manifest(&merged)?;
        let head = ConfigHead { version: version + 1, object: content_hash(&bytes) };
        if revision != 0 && merged == config {
            let head = ConfigHead { version, object: head.object };
            let moved = uncertain && by == publication.id;
            return Ok(PublishedVersion { head, files: merged.files, moved });
        }
        store_files(platform, &merged, &config).await?;
        platform.store(&head.object, bytes).await?;
        let row = HeadRow { head: head.clone(), by: publication.id.clone() };
        let row = serde_json::to_string(&row)
            .map_err(|error| PlatformError::Unreadable(error.to_string()))?;
        let commit = Commit::default().replace(HEAD_KEY, revision, Some(row));
        match platform.commit(commit).await {
            Ok(reply) if reply.committed => {
                return Ok(PublishedVersion { head, files: merged.files, moved: true });
            }
            Ok(_) => {}
            Err(error) if error.is_uncertain() => uncertain = true,
            Err(error) => return Err(error.into()),
        }
    }
    Err(PublishError::Contended)
}

/// Reads the last written state of each domain.
///
/// # Errors
/// Fails if the platform cannot be reached or a state cannot be decoded.
pub async fn domain_states(
    platform: &dyn Platform,
) -> Result<BTreeMap<DomainId, DomainState>, PlatformError> {
    let rows = platform.rows(DOMAIN_PREFIX).await?;
    let mut states = BTreeMap::new();
    for row in rows {
        let Some(name) = row.key.strip_prefix(DOMAIN_PREFIX) else { continue };
        states.insert(DomainId::from(name), decode_json(&row.value)?);
    }
    Ok(states)
}

/// Reads the row of the head, its revision and its configuration; a failed read is retried if
/// `retry`.
async fn read_current(
    platform: &dyn Platform,
    retry: bool,
) -> Result<Option<(Revision, HeadRow, Config)>, PlatformError> {
    // After a lost reply only a read tells whether the head has moved, so failed reads are retried.
    let mut attempts = if retry { MAX_ATTEMPTS } else { 1 };
    loop {
        attempts -= 1;
        let read = async {
            let Some((revision, row)) = read_head_row(platform).await? else { return Ok(None) };
            let config = fetch_config(platform, &row.head, None).await?;
            Ok(Some((revision, row, config)))
        };
        match read.await {
            Err(_) if attempts > 0 => continue,
            other => return other,
        }
    }
}

/// Writes the files that the current configuration does not have.
async fn store_files(
    platform: &dyn Platform,
    config: &Config,
    current: &Config,
) -> Result<(), PlatformError> {
    for (name, hash) in &config.files {
        if current.files.get(name) == Some(hash) {
            continue;
        }
        let text = config.sources.get(name).cloned().unwrap_or_default();
        platform.store(hash, Bytes::from(text)).await?;
    }
    Ok(())
}

/// Decodes a value from JSON text.
pub(crate) fn decode_json<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, PlatformError> {
    serde_json::from_str(text).map_err(|error| PlatformError::Unreadable(error.to_string()))
}
