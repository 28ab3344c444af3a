//! The TOML format of the service files that operators write.

use serde::Deserialize;
use smol_str::SmolStr;
use toml::Spanned;

/// One service file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ServiceFile {
    pub(crate) service: ServiceEntry,
    #[serde(default)]
    pub(crate) model: Vec<ModelEntry>,
    #[serde(default)]
    pub(crate) adapter: Vec<AdapterEntry>,
    #[serde(default)]
    pub(crate) endpoint: Vec<EndpointEntry>,
    #[serde(default)]
    pub(crate) workspace: Vec<WorkspaceEntry>,
    #[serde(default)]
    pub(crate) route: Vec<RouteEntry>,
    #[serde(default)]
    pub(crate) objective: Vec<ObjectiveEntry>,
    pub(crate) store: Option<StoreEntry>,
}

/// The `[service]` table.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ServiceEntry {
    pub(crate) name: Spanned<SmolStr>,
    pub(crate) kind: Spanned<SmolStr>,
    #[serde(default)]
    pub(crate) workspaces: Vec<Spanned<SmolStr>>,
}

/// One `[[model]]` table.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ModelEntry {
    pub(crate) name: Spanned<SmolStr>,
    pub(crate) version: SmolStr,
    pub(crate) memory: Spanned<SmolStr>,
    pub(crate) kv: Spanned<SmolStr>,
    pub(crate) bytes_per_token: Option<Spanned<u64>>,
    pub(crate) context: Option<Spanned<u64>>,
}

/// One `[[adapter]]` table.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct AdapterEntry {
    pub(crate) name: Spanned<SmolStr>,
    pub(crate) model: Spanned<SmolStr>,
    pub(crate) memory: Spanned<SmolStr>,
}

/// One `[[endpoint]]` table.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct EndpointEntry {
    pub(crate) name: Spanned<SmolStr>,
    pub(crate) domain: SmolStr,
    pub(crate) address: Spanned<SmolStr>,
    pub(crate) memory: Option<Spanned<SmolStr>>,
    pub(crate) accelerators: Option<u32>,
    pub(crate) slots: Option<u32>,
    #[serde(default)]
    pub(crate) fencing: bool,
    #[serde(default)]
    pub(crate) leaving: bool,
}

/// One `[[workspace]]` table.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct WorkspaceEntry {
    pub(crate) name: Spanned<SmolStr>,
    pub(crate) rate: Spanned<u64>,
    pub(crate) burst: Spanned<u64>,
    pub(crate) priority: Option<Spanned<SmolStr>>,
    pub(crate) grace: Option<Spanned<SmolStr>>,
    #[serde(default)]
    pub(crate) key: Vec<KeyEntry>,
}

/// One `[[workspace.key]]` table.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct KeyEntry {
    pub(crate) id: Spanned<SmolStr>,
    pub(crate) hash: Spanned<SmolStr>,
}

/// One `[[route]]` table.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RouteEntry {
    pub(crate) path: Spanned<SmolStr>,
    pub(crate) method: Option<Spanned<SmolStr>>,
    pub(crate) access: Option<Spanned<SmolStr>>,
    #[serde(default)]
    pub(crate) idempotent: bool,
}

/// One `[[objective]]` table.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ObjectiveEntry {
    pub(crate) workspace: Option<Spanned<SmolStr>>,
    pub(crate) within: Spanned<SmolStr>,
    pub(crate) share: Spanned<f64>,
}

/// The `[store]` table: limits of the platform's weight store.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct StoreEntry {
    pub(crate) loads_per_second: Spanned<f64>,
    pub(crate) loads: Spanned<u32>,
    pub(crate) adapters: Spanned<u32>,
}
