//! Names used as identifiers throughout the system.

use smol_str::SmolStr;

/// The name of an entry VM.
pub type VmId = SmolStr;
/// The name of a failure domain.
pub type DomainId = SmolStr;
/// The name of a workspace.
pub type WorkspaceId = SmolStr;
/// The name of a service.
pub type ServiceId = SmolStr;
/// The name of a model, without its version.
pub type ModelId = SmolStr;
/// The name of an adapter.
pub type AdapterId = SmolStr;
/// The name of an endpoint.
pub type EndpointId = SmolStr;
/// The id of a part of a prompt, as the caller names it.
pub type PartId = SmolStr;
/// The number of a VM's process instance; a later instance has a larger number.
pub type Incarnation = u64;
/// The version number of an accepted configuration.
pub type VersionId = u64;
/// The fencing number of a lease; a later leader has a larger number.
pub type Fence = u64;
/// A count of tokens.
pub type Tokens = u64;
/// A size in bytes.
pub type ByteSize = u64;
