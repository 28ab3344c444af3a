//! The configuration in force on a VM, and how fresh it is.
//!
//! The version in force never decreases. It is fresh while the VM has recently read the platform's
//! head, or got the head from a peer that has. Each workspace has a grace period; once the last
//! confirmation is older, the VM no longer accepts the workspace's keys.

use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::VersionId;
use crate::version::config::CompiledConfig;

/// The version of a configuration and the hash of the object that holds it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct ConfigHead {
    /// The version number; a later version has a larger number.
    pub version: VersionId,
    /// The content hash of the object.
    pub object: SmolStr,
}

/// What a VM must do after it learned of a head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeadChange {
    /// Nothing; the head is not newer than the configuration in force.
    Keep,
    /// Fetch this object, then call [`ActiveConfig::install`].
    Fetch(ConfigHead),
}

/// The configuration in force on one VM.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    current: Option<(ConfigHead, Arc<CompiledConfig>)>,
    /// When the version in force was last known to be the head.
    confirmed: Option<Duration>,
}

impl ActiveConfig {
    /// Records that the platform's head was `head` at the time `seen`.
    ///
    /// `seen` is the time on this VM's clock before the read was sent. For a head that a peer
    /// reported, the age that the peer gives is subtracted.
    pub fn on_head(&mut self, head: &ConfigHead, seen: Duration) -> HeadChange {
        let version = self.version();
        if head.version > version {
            return HeadChange::Fetch(head.clone());
        }
        if head.version == version {
            self.confirm(seen);
        }
        HeadChange::Keep
    }

    /// Puts a fetched configuration in force unless the same or a newer version is.
    ///
    /// `seen` is when the head was known to be the platform's, as in [`Self::on_head`]; `None`
    /// confirms nothing. Returns whether the configuration was put in force.
    pub fn install(
        &mut self,
        head: ConfigHead,
        config: Arc<CompiledConfig>,
        seen: Option<Duration>,
    ) -> bool {
        if head.version <= self.version() {
            return false;
        }
        self.current = Some((head, config));
        if let Some(seen) = seen {
            self.confirm(seen);
        }
        true
    }

    /// Returns the version in force, or 0 before the first one.
    pub fn version(&self) -> VersionId {
        self.current.as_ref().map_or(0, |(head, _)| head.version)
    }

    /// Returns the head in force; `None` before the first configuration.
    pub fn head(&self) -> Option<&ConfigHead> {
        self.current.as_ref().map(|(head, _)| head)
    }

    /// Returns the configuration in force; `None` before the first one.
    pub fn config(&self) -> Option<&Arc<CompiledConfig>> {
        self.current.as_ref().map(|(_, config)| config)
    }

    /// Returns how long ago the version in force was last known to be the head.
    ///
    /// `None` means never, so that no keyed route may be served.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed.map(|seen| now.saturating_sub(seen))
    }

    /// Returns whether keys with this grace period may be accepted.
    pub fn is_fresh(&self, now: Duration, grace: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= grace)
    }

    /// Records that the version in force was the head at the time `seen`.
    fn confirm(&mut self, seen: Duration) {
        self.confirmed = self.confirmed.max(Some(seen));
    }
}
