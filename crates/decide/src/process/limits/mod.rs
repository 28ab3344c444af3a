//! Token limits of workspaces in `bamboocourse-serve`, over the whole fleet.
//!
//! Each workspace's rate and burst are divided into weights that add up to [`FULL_WEIGHT`]; the
//! platform's table holds every weight in exactly one row. A VM admits requests from the
//! [bucket] of its own weight and from short loans, which its [account] borrows from VMs that hold
//! a weight. Weights move only through the table, by [`ShareKeeper`](shares::ShareKeeper).

pub(crate) mod account;
pub(crate) mod bucket;
pub(crate) mod homes;
pub(crate) mod lend;
pub(crate) mod shares;

use std::time::Duration;

use crate::ids::Tokens;

/// An amount in millionths of a token.
pub type MicroTokens = i64;
/// A part of a workspace's limit, in millionths.
pub type Weight = u32;

/// The sum of all weights of a workspace.
pub const FULL_WEIGHT: Weight = 1_000_000;

/// Millionths in a token.
pub(crate) const MICRO_PER_TOKEN: MicroTokens = 1_000_000;

/// How long a loan lasts on the borrower's clock.
pub const LOAN_TERM: Duration = Duration::from_secs(30);

/// How much longer than [`LOAN_TERM`] the lender keeps a loan open.
pub const LOAN_MARGIN: Duration = Duration::from_secs(2);

/// How long a VM may use its weights, from when it sent the last renewal of its row.
pub const SHARE_WINDOW: Duration = Duration::from_secs(3600);

/// How much longer than [`SHARE_WINDOW`] a row must stay unchanged before it is reclaimed.
pub const RECLAIM_MARGIN: Duration = Duration::from_secs(60);

/// Converts tokens to millionths, up to the largest amount.
pub(crate) fn to_micro_tokens(tokens: Tokens) -> MicroTokens {
    MicroTokens::try_from(tokens)
        .unwrap_or(MicroTokens::MAX / MICRO_PER_TOKEN)
        .saturating_mul(MICRO_PER_TOKEN)
}
