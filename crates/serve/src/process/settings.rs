//! The settings of one entry VM's process.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bamboocourse_decide::{DomainId, VmId};

/// The default of [`Settings::grace`].
const DEFAULT_GRACE: Duration = Duration::from_secs(600);
/// The default of [`Settings::body_limit`], in bytes.
const DEFAULT_BODY_LIMIT_BYTES: usize = 4 << 20;
/// The default of [`Settings::queue_wait`].
const DEFAULT_QUEUE_WAIT: Duration = Duration::from_secs(2);
/// The default of [`Settings::header_wait`].
const DEFAULT_HEADER_WAIT: Duration = Duration::from_secs(10);
/// The default of [`Settings::endpoint_wait`].
const DEFAULT_ENDPOINT_WAIT: Duration = Duration::from_secs(120);

/// The settings of one entry VM's process.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The name of the VM.
    pub vm: VmId,
    /// The VM's failure domain.
    pub domain: DomainId,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address for operators.
    pub operator: SocketAddr,
    /// The address for other VMs.
    pub peer: SocketAddr,
    /// The address of the platform's services.
    pub platform: SocketAddr,
    /// The local address of outgoing connections; `None` lets the system choose it.
    pub local: Option<IpAddr>,
    /// How long a VM still accepts keys after the head was last confirmed, unless the workspace
    /// sets a grace period of its own.
    pub grace: Duration,
    /// How long a request may wait for tokens, and then as long again for an endpoint.
    pub queue_wait: Duration,
    /// How long a caller may take to send its headers, and then its body.
    pub header_wait: Duration,
    /// How long an endpoint may take to send the head of a response, and then its whole body or the
    /// next part of a stream. A body that is forwarded from a plain service as it arrives has no
    /// limit.
    pub endpoint_wait: Duration,
    /// The largest body of a caller's request, in bytes.
    pub body_limit: usize,
}

/// A setting that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The name of the flag, without dashes.
    pub flag: &'static str,
    /// What is wrong with the setting.
    pub message: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "--{}: {}", self.flag, self.message)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Creates settings with defaults for everything but the names and addresses.
    ///
    /// ```
    /// use bamboocourse_serve::Settings;
    /// let any = "127.0.0.1:0".parse().unwrap();
    /// let settings = Settings::new("vm-1", "konya-a", any, any, any, any);
    /// assert!(settings.check().is_ok());
    /// ```
    pub fn new(
        vm: &str,
        domain: &str,
        listen: SocketAddr,
        operator: SocketAddr,
        peer: SocketAddr,
        platform: SocketAddr,
    ) -> Self {
        Self {
            vm: vm.into(),
            domain: domain.into(),
            listen,
            operator,
            peer,
            platform,
            local: None,
            grace: DEFAULT_GRACE,
            queue_wait: DEFAULT_QUEUE_WAIT,
            header_wait: DEFAULT_HEADER_WAIT,
            endpoint_wait: DEFAULT_ENDPOINT_WAIT,
            body_limit: DEFAULT_BODY_LIMIT_BYTES,
        }
    }

    /// Checks all settings; the error lists every setting that cannot be used.
    pub fn check(&self) -> Result<(), Vec<SettingsError>> {
        let mut errors = Vec::new();
        let mut reject = |flag, message: &str| {
            errors.push(SettingsError { flag, message: message.to_string() });
        };
        for (flag, name) in [("vm", &self.vm), ("domain", &self.domain)] {
            if name.is_empty() || name.contains(['/', ' ', '?', '&']) {
                reject(flag, "must be a name without spaces, `/`, `?` or `&`");
            }
        }
        if self.listen.port() != 0 && self.listen == self.operator {
            reject("operator", "must differ from --listen");
        }
        if self.body_limit == 0 {
            reject("body-limit", "must be at least 1 byte");
        }
        if self.queue_wait.is_zero() {
            reject("queue-wait", "must be longer than 0");
        }
        if errors.is_empty() { Ok(()) } else { Err(errors) }
    }
}
