//! Reading, installing and publishing versions of the configuration.

pub(crate) mod follow;
pub(crate) mod publishing;
