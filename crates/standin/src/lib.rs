//! Stand-ins (test doubles) for the platform, model engines and plain endpoints.
//!
//! Each stand-in serves the published HTTP protocol of the real component on loopback. A test can
//! make a stand-in slow, unavailable or unreachable from some domains. A stand-in can also lose
//! orders, lose responses after a write or an order took effect, skip cache events, report an
//! outdated load, return the id of another request or break off a stream. Random faults come from a
//! seed.

mod engine;
mod network;
mod plain_endpoint;
mod platform;
mod server;

pub use engine::{Engine, EngineFaults, EngineSpec, WeightStore, expected_text};
pub use network::Network;
pub use plain_endpoint::{PlainEndpoint, PlainFaults};
pub use platform::{Platform, PlatformFaults};
