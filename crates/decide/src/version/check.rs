//! Checks service files and builds a configuration from them.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use sha2::{Digest, Sha256};
use smol_str::SmolStr;
use toml::Spanned;

use crate::ids::{ByteSize, ModelId};
use crate::version::config::{
    Access, Adapter, Config, Endpoint, Model, Objective, Priority, Route, Service, ServiceKind,
    StoreLimits, Workspace,
};
use crate::version::key::KeyHash;
use crate::version::source::{
    AdapterEntry, EndpointEntry, ModelEntry, ObjectiveEntry, RouteEntry, ServiceFile, StoreEntry,
    WorkspaceEntry,
};

/// The slots of an endpoint whose entry gives none.
const DEFAULT_SLOTS: u32 = 16;
/// The least number of prompt bytes per token if the model's entry gives none.
const DEFAULT_BYTES_PER_TOKEN: u64 = 3;
/// The context length of a model whose entry gives none, in tokens.
const DEFAULT_CONTEXT_TOKENS: u64 = 32_768;

/// The text of one service file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceFile {
    /// The file's name, unique among the published files.
    pub name: SmolStr,
    /// The file's text.
    pub text: String,
}

/// One error in a service file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigError {
    /// The file's name.
    pub file: SmolStr,
    /// The line, counted from 1.
    pub line: usize,
    /// What is wrong and what to do.
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

/// Checks all files together and builds their configuration.
///
/// # Errors
/// Returns all errors of all files, sorted by file and line.
///
/// ```
/// use bamboocourse_decide::{check_files, SourceFile};
/// let text = "[service]\nname = \"desk\"\nkind = \"plain\"\n".to_string();
/// let config = check_files(&[SourceFile { name: "desk.toml".into(), text }]).unwrap();
/// assert!(config.services.contains_key("desk"));
/// ```
pub fn check_files(files: &[SourceFile]) -> Result<Config, Vec<ConfigError>> {
    let mut checker = Checker::default();
    let mut parsed = Vec::new();
    for file in files {
        match toml::from_str::<ServiceFile>(&file.text) {
            Ok(content) => parsed.push((file, content)),
            Err(error) => {
                let span = error.span().unwrap_or(0..0);
                checker.report(file, span, error.message().to_string());
            }
        }
    }
    for (file, content) in &parsed {
        checker.collect(file, content);
    }
    for (file, content) in &parsed {
        checker.resolve(file, content);
    }
    if checker.errors.is_empty() {
        return Ok(checker.config);
    }
    checker.errors.sort_by(|a, b| (&a.file, a.line).cmp(&(&b.file, b.line)));
    Err(checker.errors)
}

/// The configuration built so far, and the errors found so far.
#[derive(Default)]
struct Checker {
    config: Config,
    errors: Vec<ConfigError>,
    /// Where each name is defined, as `FILE:LINE`, by the kind and the name.
    definitions: BTreeMap<(&'static str, SmolStr), SmolStr>,
    /// The workspace of each key hash.
    key_owners: BTreeMap<KeyHash, SmolStr>,
    /// The endpoint of each address.
    address_owners: BTreeMap<SocketAddr, SmolStr>,
}

impl Checker {
    fn report(&mut self, file: &SourceFile, span: Range<usize>, message: impl Into<String>) {
        let line = line_of(&file.text, span.start);
        self.errors.push(ConfigError { file: file.name.clone(), line, message: message.into() });
    }

    /// Registers a name; returns false and reports an error if it is malformed or not unique.
    fn register(&mut self, file: &SourceFile, kind: &'static str, name: &Spanned<SmolStr>) -> bool {
        let text = name.get_ref();
        if text.is_empty() || !text.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c))
        {
            let message = format!("{kind} name `{text}` must be letters, digits, `-`, `_` or `.`");
            self.report(file, name.span(), message);
            return false;
        }
        let location =
            SmolStr::from(format!("{}:{}", file.name, line_of(&file.text, name.span().start)));
        if let Some(first) = self.definitions.insert((kind, text.clone()), location) {
            self.report(
                file,
                name.span(),
                format!("{kind} `{text}` is defined a second time; it is first defined at {first}"),
            );
            return false;
        }
        true
    }

    /// Adds what a file defines, apart from entries that refer to other files.
    fn collect(&mut self, file: &SourceFile, content: &ServiceFile) {
        let entry = &content.service;
        let kind = match entry.kind.get_ref().as_str() {
            "models" => ServiceKind::Models,
            "plain" => ServiceKind::Plain,
            other => {
                let message = format!("service kind `{other}` must be `models` or `plain`");
                self.report(file, entry.kind.span(), message);
                ServiceKind::Plain
            }
        };
        self.register(file, "service", &entry.name);
        let workspaces = entry.workspaces.iter().map(|name| name.get_ref().clone()).collect();
        let routes =
            content.route.iter().filter_map(|route| self.read_route(file, route)).collect();
        let service = Service { kind, workspaces, routes };
        self.config.services.insert(entry.name.get_ref().clone(), service);
        for model in &content.model {
            self.add_model(file, content, model);
        }
        for endpoint in &content.endpoint {
            self.add_endpoint(file, content, endpoint, kind);
        }
        for workspace in &content.workspace {
            self.add_workspace(file, workspace);
        }
        if let Some(store) = &content.store {
            self.set_store(file, store);
        }
        self.config.files.insert(file.name.clone(), content_hash(file.text.as_bytes()));
        self.config.sources.insert(file.name.clone(), file.text.clone());
    }

    fn read_route(&mut self, file: &SourceFile, entry: &RouteEntry) -> Option<Route> {
        let path = entry.path.get_ref();
        if !path.starts_with('/') {
            self.report(
                file,
                entry.path.span(),
                format!("route path `{path}` must begin with `/`"),
            );
            return None;
        }
        let access = match entry.access.as_ref().map(|access| access.get_ref().as_str()) {
            Some("open") => Access::Open,
            Some("keyed") | None => Access::Keyed,
            Some(other) => {
                let span = entry.access.as_ref().map_or(0..0, Spanned::span);
                self.report(file, span, format!("access `{other}` must be `open` or `keyed`"));
                return None;
            }
        };
        let method = entry.method.as_ref().map(|method| method.get_ref().clone());
        Some(Route { path: path.clone(), method, access, idempotent: entry.idempotent })
    }

    fn read_size(&mut self, file: &SourceFile, text: &Spanned<SmolStr>) -> ByteSize {
        if let Some(size) = parse_size(text.get_ref()) {
            return size;
        }
        let message = format!("size `{}` must be a number with MiB or GiB", text.get_ref());
        self.report(file, text.span(), message);
        0
    }

    fn add_model(&mut self, file: &SourceFile, content: &ServiceFile, entry: &ModelEntry) {
        if !self.register(file, "model", &entry.name) {
            return;
        }
        let density =
            entry.bytes_per_token.as_ref().map_or(DEFAULT_BYTES_PER_TOKEN, |n| *n.get_ref());
        if density == 0 {
            let span = entry.bytes_per_token.as_ref().map_or(0..0, Spanned::span);
            self.report(file, span, "bytes_per_token must be at least 1");
        }
        let model = Model {
            service: content.service.name.get_ref().clone(),
            version: entry.version.clone(),
            memory: self.read_size(file, &entry.memory),
            kv: self.read_size(file, &entry.kv),
            density: density.max(1),
            context: entry.context.as_ref().map_or(DEFAULT_CONTEXT_TOKENS, |n| *n.get_ref()),
        };
        self.config.models.insert(entry.name.get_ref().clone(), model);
    }

    fn add_endpoint(
        &mut self,
        file: &SourceFile,
        content: &ServiceFile,
        entry: &EndpointEntry,
        kind: ServiceKind,
    ) {
        if !self.register(file, "endpoint", &entry.name) {
            return;
        }
        let Ok(address) = entry.address.get_ref().parse::<SocketAddr>() else {
            let message = format!("address `{}` must be IP:PORT", entry.address.get_ref());
            return self.report(file, entry.address.span(), message);
        };
        if let Some(first) = self.address_owners.insert(address, entry.name.get_ref().clone()) {
            let message = format!("address {address} is already that of endpoint `{first}`");
            self.report(file, entry.address.span(), message);
        }
        let memory = match (&entry.memory, kind) {
            (Some(text), _) => self.read_size(file, text),
            (None, ServiceKind::Plain) => 0,
            (None, ServiceKind::Models) => {
                self.report(file, entry.name.span(), "an endpoint of models needs `memory`");
                0
            }
        };
        let endpoint = Endpoint {
            service: content.service.name.get_ref().clone(),
            domain: entry.domain.clone(),
            address,
            memory,
            accelerators: entry.accelerators.unwrap_or(1),
            slots: entry.slots.unwrap_or(DEFAULT_SLOTS).max(1),
            fencing: entry.fencing,
            leaving: entry.leaving,
        };
        self.config.endpoints.insert(entry.name.get_ref().clone(), endpoint);
    }

    fn add_workspace(&mut self, file: &SourceFile, entry: &WorkspaceEntry) {
        if !self.register(file, "workspace", &entry.name) {
            return;
        }
        let priority = match entry.priority.as_ref().map(|text| text.get_ref().as_str()) {
            Some("interactive") | None => Priority::Interactive,
            Some("batch") => Priority::Batch,
            Some(other) => {
                let span = entry.priority.as_ref().map_or(0..0, Spanned::span);
                self.report(
                    file,
                    span,
                    format!("priority `{other}` must be `interactive` or `batch`"),
                );
                Priority::Batch
            }
        };
        if *entry.burst.get_ref() == 0 {
            self.report(file, entry.burst.span(), "burst must be at least 1 token");
        }
        let grace = entry.grace.as_ref().and_then(|text| self.read_duration(file, text));
        let keys = self.read_keys(file, entry);
        let workspace = Workspace {
            rate: *entry.rate.get_ref(),
            burst: *entry.burst.get_ref(),
            priority,
            grace,
            keys,
        };
        self.config.workspaces.insert(entry.name.get_ref().clone(), workspace);
    }

    fn read_keys(
        &mut self,
        file: &SourceFile,
        entry: &WorkspaceEntry,
    ) -> BTreeMap<SmolStr, KeyHash> {
        let mut keys = BTreeMap::new();
        for key in &entry.key {
            let id = key.id.get_ref();
            let Some(hash) = KeyHash::parse(key.hash.get_ref()) else {
                let message = format!("the hash of key `{id}` must be sha256:HEX; see `key new`");
                self.report(file, key.hash.span(), message);
                continue;
            };
            if let Some(first) = self.key_owners.insert(hash, entry.name.get_ref().clone()) {
                let message = format!("key `{id}` is already a key of workspace `{first}`");
                self.report(file, key.hash.span(), message);
            }
            if keys.insert(id.clone(), hash).is_some() {
                self.report(file, key.id.span(), format!("key id `{id}` is used a second time"));
            }
        }
        keys
    }

    fn read_duration(&mut self, file: &SourceFile, text: &Spanned<SmolStr>) -> Option<Duration> {
        let parsed = parse_duration(text.get_ref());
        if parsed.is_none() {
            let message =
                format!("duration `{}` must be a number with ms, s, m or h", text.get_ref());
            self.report(file, text.span(), message);
        }
        parsed
    }

    fn set_store(&mut self, file: &SourceFile, entry: &StoreEntry) {
        if self.config.store.is_some() {
            self.report(file, entry.loads.span(), "[store] is defined a second time");
        }
        let rate = *entry.loads_per_second.get_ref();
        if !(rate > 0.0 && rate.is_finite()) {
            self.report(file, entry.loads_per_second.span(), "loads_per_second must be above 0");
        }
        let loads = *entry.loads.get_ref();
        let adapters = *entry.adapters.get_ref();
        self.config.store = Some(StoreLimits { rate, loads, adapters });
    }

    /// Checks and adds the entries of a file that may refer to other files.
    fn resolve(&mut self, file: &SourceFile, content: &ServiceFile) {
        for name in &content.service.workspaces {
            if !self.config.workspaces.contains_key(name.get_ref()) {
                let message = format!("workspace `{}` is not defined in any file", name.get_ref());
                self.report(file, name.span(), message);
            }
        }
        for adapter in &content.adapter {
            self.add_adapter(file, adapter);
        }
        for objective in &content.objective {
            self.add_objective(file, content, objective);
        }
        for model in &content.model {
            self.check_model_fits(file, content, model);
        }
    }

    fn add_adapter(&mut self, file: &SourceFile, entry: &AdapterEntry) {
        if !self.register(file, "adapter", &entry.name) {
            return;
        }
        let name: ModelId = entry.model.get_ref().clone();
        if !self.config.models.contains_key(&name) {
            let message = format!("model `{name}` of the adapter is not defined in any file");
            self.report(file, entry.model.span(), message);
        }
        let adapter = Adapter { model: name, memory: self.read_size(file, &entry.memory) };
        self.config.adapters.insert(entry.name.get_ref().clone(), adapter);
    }

    fn add_objective(&mut self, file: &SourceFile, content: &ServiceFile, entry: &ObjectiveEntry) {
        let share = *entry.share.get_ref();
        if !(share > 0.0 && share < 1.0) {
            self.report(file, entry.share.span(), "share must be between 0 and 1");
        }
        let workspace = entry.workspace.as_ref().map(|name| name.get_ref().clone());
        if let (Some(name), Some(span)) = (&workspace, entry.workspace.as_ref().map(Spanned::span))
            && !self.config.workspaces.contains_key(name)
        {
            self.report(file, span, format!("workspace `{name}` is not defined in any file"));
        }
        let Some(within) = self.read_duration(file, &entry.within) else { return };
        let service = content.service.name.get_ref().clone();
        self.config.objectives.push(Objective { service, workspace, within, share });
    }

    /// Reports a model that fits on no endpoint of its service.
    fn check_model_fits(&mut self, file: &SourceFile, content: &ServiceFile, entry: &ModelEntry) {
        let Some(model) = self.config.models.get(entry.name.get_ref()) else { return };
        let need = model.footprint();
        let service = content.service.name.get_ref();
        let endpoints =
            self.config.endpoints.values().filter(|endpoint| endpoint.service == *service);
        let largest = endpoints.map(|endpoint| endpoint.memory).max().unwrap_or(0);
        if need > largest {
            let message = format!(
                "model `{}` needs {need} bytes but the largest endpoint of `{service}` has {largest}",
                entry.name.get_ref()
            );
            self.report(file, entry.memory.span(), message);
        }
    }
}

/// Returns the content hash of some bytes, as `sha256-HEX`.
///
/// ```
/// assert!(bamboocourse_decide::content_hash(b"").starts_with("sha256-e3b0"));
/// ```
pub fn content_hash(bytes: &[u8]) -> SmolStr {
    SmolStr::from(format!("sha256-{}", hex::encode(Sha256::digest(bytes))))
}

/// Returns the line of a byte offset, counted from 1.
fn line_of(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    text.as_bytes()[..end].iter().filter(|byte| **byte == b'\n').count() + 1
}

/// Parses a size such as `640MiB` or `1.5GiB`; returns `None` if the text has another form.
fn parse_size(text: &str) -> Option<ByteSize> {
    let split = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let number: f64 = text[..split].parse().ok()?;
    let unit = match text[split..].trim() {
        "MiB" => 1u64 << 20,
        "GiB" => 1u64 << 30,
        _ => return None,
    };
    Some((number * unit as f64) as ByteSize)
}

/// Parses a duration such as `630ms`, `18s`, `10m` or `1h`; returns `None` if the text has another
/// form.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(bamboocourse_decide::parse_duration("18s"), Some(Duration::from_secs(18)));
/// ```
pub fn parse_duration(text: &str) -> Option<Duration> {
    let split = text.find(|c: char| !c.is_ascii_digit())?;
    let number: u64 = text[..split].parse().ok()?;
    match text[split..].trim() {
        "ms" => Some(Duration::from_millis(number)),
        "s" => Some(Duration::from_secs(number)),
        "m" => Some(Duration::from_secs(number.checked_mul(60)?)),
        "h" => Some(Duration::from_secs(number.checked_mul(3600)?)),
        _ => None,
    }
}
