//! Requests with an idempotency key: recorded in the platform's table before they are sent, and
//! served from the record when the caller retries.

use std::sync::Arc;

use bamboocourse_decide::{
    Attempt, AttemptStep, ErrorKind, IdempotencyRow, Refusal, Revision, StoreReply, StoredResponse,
    content_hash,
};

use crate::edge::{Commit, PlatformError};
use crate::process::decisions::unix_millis;
use crate::process::shares::encode_json;
use crate::process::vm::AppState;
use crate::version::publishing::decode_json;

/// How many times the write of a record is tried.
const MAX_WRITES: usize = 5;

/// What to do with a request once its record has been inserted or read.
pub(crate) enum Permit {
    /// Send the request once and then complete the record.
    Send(Record),
    /// Respond with the stored response.
    Replay(StoredResponse),
}

/// The stored record of a request that may be sent.
pub(crate) struct Record {
    key: String,
    revision: Revision,
    row: IdempotencyRow,
}

/// Inserts the record of a request, or reads the record that an earlier attempt has inserted.
///
/// `request` is the content of the request; a retry must have the same content.
///
/// # Errors
/// Refuses the request as decided by [`Attempt`], for example while an earlier attempt still runs
/// or if the table cannot be reached.
pub(crate) async fn begin(
    shared: &AppState,
    key: String,
    request: &[u8],
) -> Result<Permit, Refusal> {
    let id = format!("{}-{:016x}", shared.settings.vm, rand::random::<u64>());
    let mut attempt = Attempt::new(id.into(), content_hash(request), unix_millis());
    let mut revision = 0;
    let mut step = attempt.first_step();
    loop {
        step = match step {
            AttemptStep::Insert => {
                let (reply, row_revision) = insert(shared, &key, &attempt.row()).await;
                revision = row_revision;
                attempt.on_reply(reply)
            }
            AttemptStep::Read => {
                let (reply, row_revision) = read(shared, &key).await;
                revision = row_revision;
                attempt.on_reply(reply)
            }
            AttemptStep::Send => {
                return Ok(Permit::Send(Record { key, revision, row: attempt.row() }));
            }
            AttemptStep::Replay(response) => return Ok(Permit::Replay(response)),
            AttemptStep::Refuse(refusal) => return Err(refusal),
        }
    }
}

/// Inserts a record; if the key is taken, returns the record that is there.
async fn insert(shared: &AppState, key: &str, row: &IdempotencyRow) -> (StoreReply, Revision) {
    let commit = Commit::default().replace(key, 0, encode_json(row));
    match shared.platform.commit(commit).await {
        Ok(reply) if reply.committed => (StoreReply::Inserted, reply.revision),
        Ok(_) => read(shared, key).await,
        Err(error) if error.is_uncertain() => (StoreReply::Lost, 0),
        Err(_) => (StoreReply::Refused, 0),
    }
}

/// Reads the record of a key.
async fn read(shared: &AppState, key: &str) -> (StoreReply, Revision) {
    let rows = match shared.platform.rows(key).await {
        Ok(rows) => rows,
        Err(PlatformError::Lost(_) | PlatformError::Unreadable(_)) => return (StoreReply::Lost, 0),
        Err(_) => return (StoreReply::Refused, 0),
    };
    let Some(row) = rows.into_iter().find(|row| row.key == key) else {
        return (StoreReply::Absent, 0);
    };
    match decode_json(&row.value) {
        Ok(found) => (StoreReply::Found(found), row.revision),
        Err(_) => (StoreReply::Refused, 0),
    }
}

impl Record {
    /// Stores the response for retries of the request; writes in the background, up to `MAX_WRITES`
    /// times.
    pub(crate) fn complete(self, shared: &Arc<AppState>, response: StoredResponse) {
        let row = IdempotencyRow { response: Some(response), ..self.row.clone() };
        let (shared, guard) = (shared.clone(), shared.running.start());
        tokio::spawn(async move {
            self.write(&shared, encode_json(&row)).await;
            drop(guard);
        });
    }

    /// Deletes the record of a request that was not run, so that a retry may run.
    pub(crate) async fn release(self, shared: &AppState) {
        self.write(shared, None).await;
    }

    /// Writes the record, or deletes it if `value` is `None`, with growing delays between the
    /// attempts.
    async fn write(&self, shared: &AppState, value: Option<String>) {
        for attempt in 0..MAX_WRITES {
            let commit = Commit::default().replace(&self.key, self.revision, value.clone());
            match shared.platform.commit(commit).await {
                // A failed revision check means that an earlier write was applied.
                Ok(_) => return,
                Err(_) => tokio::time::sleep(std::time::Duration::from_secs(1 << attempt)).await,
            }
        }
        shared.decisions.record(&self.key, "answer not recorded", "the table cannot be reached");
    }
}

/// Returns the refusal of a request whose stored response cannot be read.
pub(crate) fn unreadable_record() -> Refusal {
    Refusal::unknown(ErrorKind::OutcomeUnknown, "the call ran; its answer was too large to keep")
}
