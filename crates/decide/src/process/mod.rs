//! State that lives as long as the VM's process: token limits, placement and membership.

pub(crate) mod allowance;
pub(crate) mod config_stamp;
pub(crate) mod emptied_domains;
pub(crate) mod limits;
pub(crate) mod listed_position;
pub(crate) mod members;
pub(crate) mod placement;
pub(crate) mod request_limits;
pub(crate) mod roster;
pub(crate) mod shutdown;
pub(crate) mod sliding_window;
pub(crate) mod store_position;
pub(crate) mod table_age;
pub(crate) mod table_feed;
pub(crate) mod tick_monitor;
