//! Token limits of workspaces in `bamboocourse-entry`, which all VMs together keep in every sliding
//! window.
//!
//! A workspace's limit is split in two halves. One half is assigned to *floors*: each VM holds a
//! part by its share of the demand and spends it without asking any other VM. So a VM that is
//! isolated continues to serve, and a new leader finds the pool nearly full. The rest is the
//! *pool*: the leader (the VM that holds the fleet's lease) raises each VM's *ceiling* ahead of the
//! VM's demand, and counts the tokens that may have been spent. A ceiling runs ahead of the demand
//! by about a second, which bridges the time without a leader. A ceiling expires unless it is
//! renewed; tokens below it that the VM has not reported by then count as spent.

pub(crate) mod floors;
pub(crate) mod pool;
pub(crate) mod spender;

use std::time::Duration;

/// The share of a window's limit that is assigned to floors, in millionths.
const FLOOR_SHARE_PPM: u64 = 500_000;
/// The share of a limit's slack that is used, in millionths; the rest covers late accounting.
const SLACK_USED_PPM: u64 = 700_000;
/// The share of the tolerated excess that is used.
const EXCESS_USED_RATIO: f64 = 0.8;
/// How long a ceiling is valid, from when the VM sent the report that the leader replied to.
///
/// When the leader is lost, VMs find a new one and get ceilings from it within this time.
pub const CEILING_TERM: Duration = Duration::from_millis(7_000);
/// How much longer than [`CEILING_TERM`] the leader waits before it counts a ceiling as spent.
pub const CEILING_MARGIN: Duration = Duration::from_millis(500);
/// The delay between spending and the arrival of the report about it.
const REPORT_LAG: Duration = Duration::from_millis(500);
/// The number of equal parts of the window by which recent spending is reported and recorded.
pub const HISTORY_PARTS: u32 = 8;
/// The name under which tokens are recorded that any VM may have spent, and floors that any VM may
/// hold.
const ANY_VM: &str = "";
/// Millionths in a whole.
pub const PARTS_PER_MILLION: u64 = 1_000_000;

/// A workspace's limit and the sliding window in which it must hold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Tokens per second.
    pub rate: f64,
    /// Tokens on top of the rate, once per window.
    pub burst: f64,
    /// The length of the window.
    pub window: Duration,
    /// The share of the limit by which it may be exceeded.
    pub excess: f64,
    /// Tokens by which the limit may be exceeded on top of that share.
    pub slack: u64,
}

impl Limit {
    /// Returns the tokens that all VMs together may admit in one window.
    ///
    /// ```
    /// use bamboocourse_decide::Limit;
    /// use std::time::Duration;
    /// let window = Duration::from_secs(8);
    /// let limit = Limit { rate: 100.0, burst: 100.0, window, excess: 0.0, slack: 0 };
    /// assert_eq!(limit.window_tokens(), 900);
    /// ```
    pub fn window_tokens(&self) -> u64 {
        let base = self.rate * self.window.as_secs_f64() + self.burst;
        let excess = 1.0 + self.excess * EXCESS_USED_RATIO;
        (base * excess) as u64 + self.slack * SLACK_USED_PPM / PARTS_PER_MILLION
    }

    /// Returns how long after a leader's last grant the tokens below a ceiling may still count.
    ///
    /// ```
    /// use bamboocourse_decide::{CEILING_TERM, Limit};
    /// use std::time::Duration;
    /// let window = Duration::from_secs(8);
    /// let limit = Limit { rate: 100.0, burst: 100.0, window, excess: 0.0, slack: 0 };
    /// assert!(limit.ceiling_tail() > CEILING_TERM + window);
    /// ```
    pub fn ceiling_tail(&self) -> Duration {
        CEILING_TERM + CEILING_MARGIN + self.window + REPORT_LAG
    }

    /// Returns the tokens of a window that belong to floors once all floors are assigned.
    pub fn floor_tokens(&self) -> u64 {
        self.window_tokens() / 1_000 * FLOOR_SHARE_PPM / 1_000
    }

    /// Returns the tokens of a window that belong to the pool: those in no VM's floor.
    ///
    /// `assigned` is the sum of the floors' weights, in millionths.
    pub fn pool_tokens(&self, assigned: u64) -> u64 {
        self.window_tokens().saturating_sub(
            (self.floor_tokens() * assigned.min(PARTS_PER_MILLION)).div_ceil(PARTS_PER_MILLION),
        )
    }
}
