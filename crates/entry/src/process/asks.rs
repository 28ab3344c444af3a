//! Asking a relay for the tokens of single requests.

use std::time::Duration;

use bamboocourse_decide::{Admission, FastMap, Tokens, WorkspaceId};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::process::quotas::TokensRefused;
use crate::wire::{Ask, Body, Grant, Outcome, Refund};

/// When callers may retry if no relay answers: by then another relay is found, or the request
/// reaches another VM.
pub(crate) const RELAY_RETRY_DELAY: Duration = Duration::from_millis(700);

/// What a VM sends to its relay on behalf of a caller's request.
#[derive(Debug)]
pub(crate) enum RelayRequest {
    /// The tokens of a request.
    Ask(OpenAsk),
    /// Unused tokens are given back.
    Refund(Refund),
}

/// An ask without an answer.
#[derive(Debug)]
pub(crate) struct OpenAsk {
    workspace: WorkspaceId,
    tokens: Tokens,
    until: Instant,
    reply: oneshot::Sender<Result<Admission, TokensRefused>>,
}

impl OpenAsk {
    /// Creates an ask that waits until a time, and the receiver of its answer.
    pub(crate) fn new(
        workspace: WorkspaceId,
        tokens: Tokens,
        until: Instant,
    ) -> (Self, oneshot::Receiver<Result<Admission, TokensRefused>>) {
        let (reply, answer) = oneshot::channel();
        (Self { workspace, tokens, until, reply }, answer)
    }

    fn message(&self, id: u64) -> Body {
        let timeout = self.until.saturating_duration_since(Instant::now());
        Body::Ask(Ask {
            id,
            workspace: self.workspace.to_string(),
            tokens: self.tokens,
            timeout: timeout.as_millis() as u32,
        })
    }
}

/// The asks of this VM that have no answer yet.
#[derive(Debug)]
pub(crate) struct Asks {
    relay_requests: mpsc::UnboundedReceiver<RelayRequest>,
    open: FastMap<u64, OpenAsk>,
    last_id: u64,
}

impl Asks {
    pub(crate) fn new(relay_requests: mpsc::UnboundedReceiver<RelayRequest>) -> Self {
        Self { relay_requests, open: FastMap::default(), last_id: 0 }
    }

    /// Waits for the next request to the relay and returns its message.
    pub(crate) async fn next(&mut self) -> Body {
        loop {
            match self.relay_requests.recv().await {
                Some(RelayRequest::Ask(ask)) if !ask.reply.is_closed() => {
                    self.last_id += 1;
                    let message = ask.message(self.last_id);
                    self.open.insert(self.last_id, ask);
                    return message;
                }
                Some(RelayRequest::Ask(_)) => {}
                Some(RelayRequest::Refund(refund)) => return Body::Refund(refund),
                // The senders are gone only while the process shuts down.
                None => std::future::pending().await,
            }
        }
    }

    /// Returns the messages of the asks that are still waited for, to ask another relay.
    ///
    /// The former relay may have granted some of them; those tokens count as spent.
    pub(crate) fn repeat(&mut self) -> Vec<Body> {
        self.open.retain(|_, ask| !ask.reply.is_closed());
        self.open.iter().map(|(id, ask)| ask.message(*id)).collect()
    }

    /// Passes a relay's answer to the request that asked.
    pub(crate) fn on_grant(&mut self, grant: &Grant) {
        let Some(ask) = self.open.remove(&grant.id) else { return };
        let retry = Duration::from_millis(u64::from(grant.retry));
        let result = match grant.outcome() {
            Outcome::Granted => Ok(Admission { floor: grant.floor, pool: grant.pool }),
            Outcome::Exhausted => Err(TokensRefused::Exhausted(retry)),
            Outcome::Unavailable => Err(TokensRefused::Unavailable(retry)),
        };
        // A request that no longer waits loses its tokens, like one that ends without a send.
        let _ = ask.reply.send(result);
    }
}

/// Returns the message that answers an ask.
pub(crate) fn grant_message(id: u64, result: Result<Admission, TokensRefused>) -> Body {
    let millis = |time: Duration| time.as_millis() as u32;
    let grant = match result {
        Ok(Admission { floor, pool }) => Grant { id, floor, pool, ..Grant::default() },
        Err(TokensRefused::Exhausted(after)) => {
            let outcome = Outcome::Exhausted.into();
            Grant { id, outcome, retry: millis(after), ..Grant::default() }
        }
        Err(TokensRefused::Unavailable(after)) => {
            let outcome = Outcome::Unavailable.into();
            Grant { id, outcome, retry: millis(after), ..Grant::default() }
        }
    };
    Body::Grant(grant)
}
