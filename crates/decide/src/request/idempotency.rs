//! The record that keeps a non-idempotent request from running twice.
//!
//! A row is inserted before the send, with the attempt's own id, and completed after the response.
//! An attempt that finds the row of another attempt does not send.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::error::{ErrorKind, Refusal};
use crate::ids::WorkspaceId;

/// The row of one idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyRow {
    /// The id of the attempt that may send.
    pub attempt: SmolStr,
    /// A digest of the request, which tells a retry from a different request with the same key.
    pub digest: SmolStr,
    /// When the row was written, in milliseconds since the Unix epoch.
    pub at: u64,
    /// The response; `None` until the request has finished.
    #[serde(rename = "answer")]
    pub response: Option<StoredResponse>,
}

/// A response that is kept for retries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The content type.
    pub kind: SmolStr,
    /// The body, in hexadecimal.
    pub body: String,
}

/// The result of an insert or a read at the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// The row was inserted.
    Inserted,
    /// A row was already there, or was read.
    Found(IdempotencyRow),
    /// A read found no row.
    Absent,
    /// The store refused the operation or could not be reached, and nothing took effect.
    Refused,
    /// No reply arrived; an insert may have taken effect.
    Lost,
}

/// The next step of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptStep {
    /// Insert the row if it is absent.
    Insert,
    /// Read the row.
    Read,
    /// Send the request, once.
    Send,
    /// Respond with the stored response.
    Replay(StoredResponse),
    /// Refuse the request.
    Refuse(Refusal),
}

/// How long after its row was written an attempt without a response counts as running, in
/// milliseconds.
pub const RUNNING_TIMEOUT_MS: u64 = 120_000;

/// The most reads after lost replies; then the attempt is refused.
const MAX_READS: u32 = 3;

/// One attempt at a request with an idempotency key.
#[derive(Debug)]
pub struct Attempt {
    id: SmolStr,
    digest: SmolStr,
    /// When the attempt started, in milliseconds since the Unix epoch.
    now: u64,
    /// The reads so far.
    reads: u32,
}

impl Attempt {
    /// Creates an attempt with a unique id that starts at `now`, in milliseconds since the Unix
    /// epoch.
    ///
    /// ```
    /// use bamboocourse_decide::{Attempt, AttemptStep};
    /// let attempt = Attempt::new("a1".into(), "digest".into(), 0);
    /// assert_eq!(attempt.first_step(), AttemptStep::Insert);
    /// ```
    pub fn new(id: SmolStr, digest: SmolStr, now: u64) -> Self {
        Self { id, digest, now, reads: 0 }
    }

    /// Returns the first step.
    pub fn first_step(&self) -> AttemptStep {
        AttemptStep::Insert
    }

    /// Returns the row to insert.
    pub fn row(&self) -> IdempotencyRow {
        IdempotencyRow {
            attempt: self.id.clone(),
            digest: self.digest.clone(),
            at: self.now,
            response: None,
        }
    }

    /// Returns the step that follows a reply of the store.
    pub fn on_reply(&mut self, reply: StoreReply) -> AttemptStep {
        match reply {
            StoreReply::Inserted => AttemptStep::Send,
            StoreReply::Found(row) => self.on_found(row),
            // An insert whose reply was lost may still take effect, but nothing is ever sent for
            // it: a retry that finds its row without a response does not send either.
            StoreReply::Absent | StoreReply::Refused => self.refuse_unrecorded(),
            StoreReply::Lost if self.reads < MAX_READS => {
                self.reads += 1;
                AttemptStep::Read
            }
            StoreReply::Lost => self.refuse_unrecorded(),
        }
    }

    fn on_found(&self, row: IdempotencyRow) -> AttemptStep {
        if row.digest != self.digest {
            let detail = "the Idempotency-Key was used for a different request";
            return AttemptStep::Refuse(Refusal::not_run(ErrorKind::KeyReused, detail));
        }
        if row.attempt == self.id {
            return AttemptStep::Send;
        }
        if let Some(response) = row.response {
            return AttemptStep::Replay(response);
        }
        if self.now < row.at.saturating_add(RUNNING_TIMEOUT_MS) {
            let detail = "the first call with this Idempotency-Key has no answer yet";
            return AttemptStep::Refuse(Refusal::unknown(ErrorKind::InProgress, detail));
        }
        let detail = "the first call was sent and its answer is not known; it is not run again";
        AttemptStep::Refuse(Refusal::unknown(ErrorKind::OutcomeUnknown, detail))
    }

    fn refuse_unrecorded(&self) -> AttemptStep {
        let detail = "the record for the Idempotency-Key could not be written";
        AttemptStep::Refuse(Refusal::not_run(ErrorKind::StoreUnavailable, detail))
    }
}

/// Returns the table key of a workspace's idempotency key.
///
/// ```
/// use bamboocourse_decide::idempotency_row_key as row_key;
/// assert_ne!(row_key(&"a".into(), "desk", "k"), row_key(&"b".into(), "desk", "k"));
/// ```
pub fn idempotency_row_key(workspace: &WorkspaceId, service: &str, key: &str) -> String {
    let digest = crate::version::check::content_hash(key.as_bytes());
    format!("once/{workspace}/{service}/{digest}")
}
