//! The sizes of messages between VMs, for measurements.

use bamboocourse_decide::{Digest, LoanGrant, LoanRequest, MemberState};
use prost::Message;

use crate::wire::{Body, Entries, Frame, convert};

/// The size of the length field before each frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// Returns the size of a digest on the wire, in bytes.
pub fn digest_size(digest: &Digest) -> usize {
    size(Body::Digest(convert::digest_to_message(digest.clone(), true, 1 << 20)))
}

/// Returns the size of a message with member states on the wire, in bytes.
pub fn member_states_size(states: &[MemberState]) -> usize {
    let entries = states.iter().cloned().map(convert::member_state_to_message).collect();
    size(Body::Entries(Entries { entries }))
}

/// Returns the size of a request to borrow a workspace's tokens on the wire, in bytes.
pub fn loan_request_size(workspace: &str, request: &LoanRequest) -> usize {
    size(Body::Ask(convert::loan_request_to_message(workspace, request.clone())))
}

/// Returns the size of a reply that lends a workspace's tokens on the wire, in bytes.
pub fn loan_grant_size(workspace: &str, grant: &LoanGrant) -> usize {
    size(Body::Grant(convert::loan_grant_to_message(workspace, grant.clone())))
}

fn size(body: Body) -> usize {
    Frame { body: Some(body) }.encoded_len() + LENGTH_BYTES
}
