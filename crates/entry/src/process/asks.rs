//! Asking a relay for the tokens of single requests.

use std::time::Duration;

use bamboocourse_decide::{Admission, FastMap, ModelRef, ServiceId, Tokens, WorkspaceId};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::edge::clock::boot_now;
use crate::process::quotas::TokensRefused;
use crate::wire::{Ask, Body, Grant, Outcome, Permits, Refund};

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

/// What a request needs of an endpoint, for a permit if the endpoint names a limit.
pub(crate) type PermitNeeds = (ServiceId, Option<ModelRef>);

/// An ask without an answer.
#[derive(Debug)]
pub(crate) struct OpenAsk {
    workspace: WorkspaceId,
    tokens: Tokens,
    /// For which endpoints the request may need a permit; `None` if none names a limit.
    permit: Option<PermitNeeds>,
    /// When the request asked, on the boot clock.
    asked: Duration,
    until: Instant,
    reply: oneshot::Sender<Result<Admission, TokensRefused>>,
}

impl OpenAsk {
    /// Creates an ask that waits until a time, and the receiver of its answer.
    pub(crate) fn new(
        workspace: WorkspaceId,
        tokens: Tokens,
        permit: Option<PermitNeeds>,
        until: Instant,
    ) -> (Self, oneshot::Receiver<Result<Admission, TokensRefused>>) {
        let (reply, answer) = oneshot::channel();
        let asked = boot_now();
        (Self { workspace, tokens, permit, asked, until, reply }, answer)
    }

    fn message(&self, id: u64) -> Body {
        let timeout = self.until.saturating_duration_since(Instant::now());
        let (service, target) = match &self.permit {
            Some((service, target)) => (service.to_string(), target.as_ref()),
            None => (String::new(), None),
        };
        let adapter = target.and_then(|target| target.adapter.as_ref());
        Body::Ask(Ask {
            id,
            workspace: self.workspace.to_string(),
            tokens: self.tokens,
            timeout: timeout.as_millis() as u32,
            service,
            model: target.map(|target| target.model.to_string()).unwrap_or_default(),
            adapter: adapter.map(ToString::to_string).unwrap_or_default(),
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

    /// Returns when the request asked that a relay's answer belongs to; `None` if it no longer waits.
    pub(crate) fn asked(&self, grant: &Grant) -> Option<Duration> {
        self.open.get(&grant.id).map(|ask| ask.asked)
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

/// Returns for which endpoints the request of an ask may need a permit.
pub(crate) fn permit_needs(ask: &Ask) -> Option<PermitNeeds> {
    let name = |text: &str| (!text.is_empty()).then(|| text.into());
    let target = name(&ask.model).map(|model| ModelRef { model, adapter: name(&ask.adapter) });
    Some((name(&ask.service)?, target))
}

/// Returns the message that answers a relay's ask for a permit. Tokens are admitted by relays only.
pub(crate) fn permit_grant(ask: &Ask, permits: Option<Permits>) -> Body {
    let refused = TokensRefused::Unavailable(RELAY_RETRY_DELAY);
    let result = if ask.tokens == 0 { Ok(Admission { floor: 0, pool: 0 }) } else { Err(refused) };
    grant_message(ask.id, result, permits)
}

/// Returns the message that answers an ask; `permit` goes with granted tokens.
pub(crate) fn grant_message(
    id: u64,
    result: Result<Admission, TokensRefused>,
    permits: Option<Permits>,
) -> Body {
    let millis = |time: Duration| time.as_millis() as u32;
    let grant = match result {
        Ok(Admission { floor, pool }) => Grant { id, floor, pool, permits, ..Grant::default() },
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
