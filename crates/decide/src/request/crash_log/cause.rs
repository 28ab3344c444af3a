//! What of a request may end an endpoint.

use std::fmt;

use crate::ids::{PartId, WorkspaceId};
use crate::request::digest::RequestDigest;

/// What may be to blame for an endpoint's end.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Cause {
    /// A part of prompts, which different requests may share.
    Part(PartId),
    /// A whole request, which only one caller has.
    Request(RequestDigest),
}

impl Cause {
    /// Returns whether it is a whole request.
    pub fn is_request(&self) -> bool {
        matches!(self, Cause::Request(_))
    }

    /// Returns the word for it in logs.
    pub fn kind(&self) -> &'static str {
        match self {
            Cause::Part(_) => "part",
            Cause::Request(_) => "request",
        }
    }
}

impl From<PartId> for Cause {
    fn from(part: PartId) -> Self {
        Cause::Part(part)
    }
}

impl From<&str> for Cause {
    fn from(part: &str) -> Self {
        Cause::Part(part.into())
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Part(part) => part.fmt(f),
            Cause::Request(digest) => digest.fmt(f),
        }
    }
}

/// One attempt of a request, as far as it may end an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestContent {
    /// A hash of the attempt's id.
    pub request: u64,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The parts of its prompt that other requests may share, in their order, and then the whole request.
    pub causes: Vec<Cause>,
    /// What it asks for; the same for each attempt of its caller.
    pub digest: RequestDigest,
}

impl RequestContent {
    /// Creates the content of an attempt.
    ///
    /// ```
    /// use bamboocourse_decide::{RequestContent, RequestDigest};
    /// let digest = RequestDigest::new("w", "POST", &["h", "/path"], b"body");
    /// let content = RequestContent::new(1, "w".into(), vec!["p".into()], digest);
    /// assert_eq!(content.causes.len(), 2);
    /// ```
    pub fn new(
        request: u64,
        workspace: WorkspaceId,
        parts: Vec<PartId>,
        digest: RequestDigest,
    ) -> Self {
        let parts = parts.into_iter().map(Cause::Part);
        let causes = parts.chain([Cause::Request(digest)]).collect();
        Self { request, workspace, causes, digest }
    }

    /// Returns the whole request as a cause.
    pub(super) fn request_cause(&self) -> &Cause {
        &self.causes[self.causes.len() - 1]
    }

    /// Returns the parts of the prompt as causes.
    pub(super) fn part_causes(&self) -> impl Iterator<Item = &Cause> {
        self.causes.iter().filter(|cause| !cause.is_request())
    }

    /// Returns the parts of the prompt that other requests may share.
    pub fn parts(&self) -> impl Iterator<Item = &PartId> {
        self.causes.iter().filter_map(|cause| match cause {
            Cause::Part(part) => Some(part),
            Cause::Request(_) => None,
        })
    }
}
