//! The decisions of an entry VM, as state machines without I/O.
//!
//! Nothing here uses a clock, a socket, a task or a global random generator: the time is an
//! argument, and random numbers come from a generator that the caller seeds.
//!
//! There are two kinds of entry VM. The VMs of `bamboocourse-serve` divide token limits among
//! themselves, and each failure domain has a leader for placement. The VMs of `bamboocourse-entry`
//! have one leader for the whole fleet, which grants tokens and plans placement. A request passes
//! through these steps:
//! 1. The configuration in force names the caller's workspace and the route.
//! 2. The token limits admit the request's tokens, or tell when to retry.
//! 3. An endpoint is picked for the request.
//! 4. In `bamboocourse-serve`, the [idempotency record](Attempt) keeps a non-idempotent request
//!    from running twice.
//!
//! | Decision         | `bamboocourse-serve`             | `bamboocourse-entry`                   |
//! |------------------|----------------------------------|----------------------------------------|
//! | configuration    | [`ActiveConfig`]                 | [`FleetConfig`]                        |
//! | token limits     | [`TokenAccount`], [`ShareKeeper`]| [`TokenSpender`], [`TokenPool`]        |
//! | endpoint         | [`Router`]                       | [`Dispatcher`]                         |
//! | retries          | [`RetryBudget`]                  | [`WindowedRetryBudget`]                |
//! | placement        | [`DomainPlanner`], [`Ledger`]    | [`ServicePlanner`], [`EndpointTracker`]|
//! | leader           | [`Lease`]                        | [`Lease`]                              |
//!
//! In `bamboocourse-serve`, [membership](Members) also spreads the VMs' knowledge of each other.

pub(crate) mod error;
pub(crate) mod ids;
pub(crate) mod map;
pub(crate) mod process;
pub(crate) mod request;
pub(crate) mod version;

pub use error::{ErrorKind, ErrorResponse, Refusal, RunStatus, is_final_status};
pub use ids::*;
pub use map::{FastMap, FastSet, hash_of, rendezvous_score};
pub use process::allowance::floors::{FLOOR_TERM, FloorHistory, Floors};
pub use process::allowance::pool::{Ceiling, PoolRecord, PoolUsage, TokenPool, UnreportedSpend};
pub use process::allowance::spender::{
    Admission, AdmitError, FormerFloor, SpendReport, TokenSpender,
};
pub use process::allowance::{CEILING_TERM, Limit, PARTS_PER_MILLION};
pub use process::config_stamp::ConfigStamp;
pub use process::emptied_domains::{DomainWord, EmptiedDomains, LOST_WORD_TERM};
pub use process::limits::account::{Action, Reservation, Ticket, TokenAccount};
pub use process::limits::homes::{
    DEFAULT_HOMES, domain_weights, home_count, home_vms, lender_order, target_weight,
};
pub use process::limits::lend::{LoanGrant, LoanRequest, Refund};
pub use process::limits::shares::{
    CommitOutcome, ObservedRow, PoolRow, RENEW_INTERVAL, Reclaimer, Revision, ShareCommit,
    ShareKeeper, ShareRow, ShareSnapshot, WeightChange, reclaim,
};
pub use process::limits::{
    FULL_WEIGHT, LOAN_MARGIN, LOAN_TERM, MicroTokens, RECLAIM_MARGIN, SHARE_WINDOW, Weight,
};
pub use process::listed_position::ListedPosition;
pub use process::members::{
    ALIVE_TIMEOUT, Digest, DigestDiff, DigestEntry, MemberState, Members, ShortId, gossip_interval,
    short_id,
};
pub use process::placement::domain::{DomainPlanner, HostView, PlacementItem, PlanStep, Reason};
pub use process::placement::forecast::Forecast;
pub use process::placement::lease::{
    LEASE_MARGIN, LEASE_RENEW_INTERVAL, LEASE_TERM, Lease, LeaseEvent, LeaseRow, LeaseTerms,
    Proposal,
};
pub use process::placement::ledger::{
    EndpointRow, EngineState, Item, Ledger, ORDER_DELIVERY_LIMIT, ORDER_RETRY_INTERVAL, OpenOrder,
    Order, OrderDenied, OrderNumber,
};
pub use process::placement::load_failures::{LoadFailures, LoadedItem};
pub use process::placement::load_limiter::{LoadLimiter, LoadOutcome};
pub use process::placement::quiet_period::{Handover, LastOrders, QuietPeriod};
pub use process::placement::service::{AdapterKey, EndpointView, PlannedOrder, ServicePlanner};
pub use process::placement::tracker::{
    EndpointReport, EndpointTracker, LATE_ORDER_TIMEOUT, MAX_REPORT_AGE, OrderCommand, OrderKey,
    OrderReply, ResidentModels,
};
pub use process::request_limits::account::{Permit, RelayPart, Want};
pub use process::request_limits::cold::{ColdBound, ColdChange, ColdEnd};
pub use process::request_limits::log::{
    LimitChange, LimitLog, LimitNumber, LimitStatement, NamedLimit, RaiseEvidence, Rate,
};
pub use process::request_limits::permits::{IssuedPermits, LimitReport, PermitRole, RequestLimits};
pub use process::roster::{Relay, RelayAppointer, Roster};
pub use process::shutdown::ShutdownSchedule;
pub use process::sliding_window::SlidingWindow;
pub use process::store_position::{StoreEra, StorePosition};
pub use process::table_age::{TableAge, TableSource};
pub use process::table_feed::{FeedCall, FeedTimes, Follower, TableFeed};
pub use process::tick_monitor::TickMonitor;
pub use request::arrivals::Arrivals;
pub use request::availability::{
    Availability, AvailabilityLog, EndpointInstance, MAX_QUIET, QuietRequest, UNREADABLE_QUIET,
};
pub use request::crash_log::{
    Cause, CauseChange, CauseEvidence, CrashLog, EVIDENCE_TERM, EndpointEnd, HeldCause,
    RequestContent, SOUND_STREAM_TIME, SendCheck, TRIAL_TERM,
};
pub use request::digest::RequestDigest;
pub use request::dispatch::{
    Dispatcher, EndpointInfo, ModelRef, QueueTicket, Requirements, SendOutcome, Shortage,
};
pub use request::fair::{BATCH_INTERVAL, FairQueue};
pub use request::idempotency::{
    Attempt, AttemptStep, IdempotencyRow, RUNNING_TIMEOUT_MS, StoreReply, StoredResponse,
    idempotency_row_key,
};
pub use request::prefix::{BLOCK_BYTES, BlockHash, block_hashes};
pub use request::retry::RetryBudget;
pub use request::route::{Load, Pick, PickError, RequestTimes, RouteQuery, Router};
pub use request::run_times::{RunEnd, RunEstimate, RunId, RunSize, RunTimes};
pub use request::windowed_retry::{RetryLimit, WindowedRetryBudget};
pub use version::active_config::{ActiveConfig, ConfigHead, HeadChange};
pub use version::check::{ConfigError, SourceFile, check_files, content_hash, parse_duration};
pub use version::config::{
    Access, Adapter, CompiledConfig, Config, Endpoint, Model, Objective, Priority, Route, Service,
    ServiceKind, StoreLimits, Workspace,
};
pub use version::fleet_config::{
    CallerLimits, FleetConfig, FleetEngine, FleetModel, FleetRoute, FleetService, FleetWorkspace,
    RetryPolicy,
};
pub use version::key::{KeyHash, new_key};
pub use version::publish::{Conflict, FileHashes, rebase};
