//! Converts between messages on the wire and the types of `bamboocourse-decide`.

use std::collections::BTreeMap;
use std::time::Duration;

use bamboocourse_decide as decide;
use decide::{ConfigHead, DigestEntry, LoanGrant, LoanRequest, Refund};
use smol_str::SmolStr;

use crate::wire::{AskMessage, Demand, Digest, Entry, GrantMessage, UnusedTokens};

pub(crate) fn loan_request_to_message(workspace: &str, request: LoanRequest) -> AskMessage {
    let refunds = request.refunds.into_iter();
    AskMessage {
        workspace: workspace.to_string(),
        life: request.life,
        seq: request.seq,
        need: request.need,
        ahead: request.prefetch,
        spent: request.spent,
        back: request.returned,
        refunds: refunds.map(|r| UnusedTokens { seq: r.seq, amount: r.amount }).collect(),
    }
}

/// Converts a peer's message; amounts that may not be negative are raised to 0.
pub(crate) fn loan_request_from_message(message: AskMessage) -> (SmolStr, LoanRequest) {
    let refunds = message.refunds.into_iter();
    let request = LoanRequest {
        life: message.life,
        seq: message.seq,
        need: message.need.max(0),
        prefetch: message.ahead.max(0),
        spent: message.spent.max(0),
        returned: message.back.max(0),
        refunds: refunds.map(|r| Refund { seq: r.seq, amount: r.amount }).collect(),
    };
    (message.workspace.into(), request)
}

pub(crate) fn loan_grant_to_message(workspace: &str, grant: LoanGrant) -> GrantMessage {
    GrantMessage {
        workspace: workspace.to_string(),
        life: grant.life,
        seq: grant.seq,
        tokens: grant.tokens,
        rate: grant.rate,
        askers: grant.contenders,
        spare: grant.spare,
    }
}

/// Converts a peer's message; amounts that may not be negative are raised to 0.
pub(crate) fn loan_grant_from_message(message: GrantMessage) -> (SmolStr, LoanGrant) {
    let grant = LoanGrant {
        life: message.life,
        seq: message.seq,
        tokens: message.tokens.max(0),
        rate: message.rate.max(0),
        contenders: message.askers,
        spare: message.spare,
    };
    (message.workspace.into(), grant)
}

pub(crate) fn digest_to_message(digest: decide::Digest, reply: bool, nonce: u64) -> Digest {
    let entries = &digest.entries;
    Digest {
        names: entries.iter().map(|entry| entry.id).collect(),
        revisions: entries.iter().map(|entry| entry.revision).collect(),
        beats: entries.iter().map(|entry| entry.heartbeat).collect(),
        version: digest.head.as_ref().map_or(0, |head| head.version),
        object: digest.head.map(|head| head.object.to_string()).unwrap_or_default(),
        age: digest.age.map(|age| age.as_millis() as u64),
        reply,
        nonce,
    }
}

pub(crate) fn digest_from_message(message: Digest) -> decide::Digest {
    let entries = message.names.iter().zip(&message.revisions).zip(&message.beats);
    let entries = entries.map(|((id, revision), beat)| DigestEntry {
        id: *id,
        revision: *revision,
        heartbeat: *beat,
    });
    let head = (message.version > 0)
        .then(|| ConfigHead { version: message.version, object: message.object.into() });
    decide::Digest { entries: entries.collect(), head, age: message.age.map(Duration::from_millis) }
}

pub(crate) fn member_state_to_message(state: decide::MemberState) -> Entry {
    Entry {
        vm: state.vm.to_string(),
        life: state.life,
        revision: state.revision,
        beat: state.heartbeat,
        leaving: state.leaving,
        version: state.version,
        demand: demand_to_messages(state.demand),
        models: demand_to_messages(state.models),
    }
}

pub(crate) fn member_state_from_message(message: Entry) -> decide::MemberState {
    decide::MemberState {
        vm: message.vm.into(),
        life: message.life,
        revision: message.revision,
        heartbeat: message.beat,
        leaving: message.leaving,
        version: message.version,
        demand: demand_from_messages(message.demand),
        models: demand_from_messages(message.models),
    }
}

fn demand_to_messages(demand: BTreeMap<SmolStr, u64>) -> Vec<Demand> {
    let demand = demand.into_iter();
    demand.map(|(name, tokens)| Demand { name: name.to_string(), tokens }).collect()
}

fn demand_from_messages(messages: Vec<Demand>) -> BTreeMap<SmolStr, u64> {
    messages.into_iter().map(|demand| (demand.name.into(), demand.tokens)).collect()
}
