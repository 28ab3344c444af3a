//! Gossip with other VMs: the states of the domain's members, and the head of the configuration,
//! which also spreads between domains.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bamboocourse_decide::{ConfigHead, DEFAULT_HOMES, DomainId, VmId, gossip_interval, home_vms};
use log::info;

use crate::process::vm::AppState;
use crate::version::follow;
use crate::version::publishing::{config_from_sources, decode_json, fetch_config};
use crate::wire::{Body, Digest, Entries, ObjectContent, ObjectWanted, Wanted, convert};

/// The key whose home VMs in a domain are its relays.
const RELAY_KEY: &str = "relay";
/// How often a VM updates the demand of its callers in its member state.
const DEMAND_INTERVAL: Duration = Duration::from_secs(20);
/// A relay gossips with another domain in one of this many rounds.
const REMOTE_ROUNDS: u64 = 2;
/// The number of exchanges that are kept while they wait for a reply.
const MAX_EXCHANGES: usize = 64;

/// Gossips until the process ends.
pub(crate) async fn run(shared: Arc<AppState>) {
    let mut round = 0;
    let mut alive = 0;
    let mut updated_at = Duration::ZERO;
    loop {
        tokio::time::sleep(gossip_interval(alive)).await;
        round += 1;
        let now = shared.now();
        if now >= updated_at + DEMAND_INTERVAL {
            updated_at = now;
            update_demand(&shared);
        }
        gossip_within_domain(&shared);
        if round % REMOTE_ROUNDS == 0 {
            gossip_across_domains(&shared);
        }
        let now = shared.now();
        let count = shared.members().alive(now).count();
        if count != alive {
            info!(vm = shared.settings.vm.as_str(), alive = count; "members of the domain");
            alive = count;
        }
    }
}

/// Updates the demand in the member state of this VM.
fn update_demand(shared: &AppState) {
    let now = shared.now();
    let demand =
        shared.limits.demand(now).into_iter().map(|(name, tokens)| (name, round_up(tokens)));
    let models = shared.routers.demand(now).into_iter().map(|(name, rate)| (name, round_up(rate)));
    shared.members().describe(|member| {
        member.demand = demand.collect();
        member.models = models.collect();
    });
}

/// Rounds a value up to a multiple of a power of two, about an eighth of the value, so that small
/// changes cause no messages.
fn round_up(value: u64) -> u64 {
    let step = (value / 8).next_power_of_two().max(1);
    value.div_ceil(step) * step
}

/// Starts an exchange of digests with one VM of the own domain.
fn gossip_within_domain(shared: &AppState) {
    let domains = shared.peers.domains();
    let Some(candidates) = domains.get(&shared.settings.domain) else { return };
    let peer = shared.members().pick_peer(candidates, &mut rand::rng()).cloned();
    let Some(peer) = peer else { return };
    let entries = shared.members().digest_entries(shared.now());
    start_exchange(shared, &peer, entries);
}

/// Starts an exchange of heads with a relay of another domain, if this VM is a relay.
fn gossip_across_domains(shared: &AppState) {
    let domains = shared.peers.domains();
    let own = domains.get(&shared.settings.domain).cloned().unwrap_or_default();
    if !relay_vms(&own).contains(&shared.settings.vm) {
        return;
    }
    let others = domains.iter().filter(|(domain, _)| **domain != shared.settings.domain);
    let candidates: Vec<VmId> = others.flat_map(|(_, vms)| relay_vms(vms)).collect();
    let peer = shared.members().pick_peer(&candidates, &mut rand::rng()).cloned();
    if let Some(peer) = peer {
        start_exchange(shared, &peer, Vec::new());
    }
}

/// Returns the relays among a domain's VMs.
fn relay_vms(vms: &[VmId]) -> Vec<VmId> {
    home_vms(&RELAY_KEY.into(), vms, DEFAULT_HOMES)
}

/// Sends a digest that asks for one in return.
fn start_exchange(shared: &AppState, peer: &VmId, entries: Vec<bamboocourse_decide::DigestEntry>) {
    let nonce = shared.next_nonce.fetch_add(1, Ordering::Relaxed);
    {
        let mut exchanges = shared.exchanges();
        exchanges.push_back((nonce, shared.now()));
        if exchanges.len() > MAX_EXCHANGES {
            exchanges.pop_front();
        }
    }
    let digest = convert::digest_to_message(local_digest(shared, entries), true, nonce);
    shared.peers.send(peer, Body::Digest(digest));
}

/// Returns a digest with the given entries and the head of the active configuration.
fn local_digest(
    shared: &AppState,
    entries: Vec<bamboocourse_decide::DigestEntry>,
) -> bamboocourse_decide::Digest {
    let active = shared.active_config();
    bamboocourse_decide::Digest {
        entries,
        head: active.head().cloned(),
        age: active.age(shared.now()),
    }
}

/// Handles a digest: sends the member states that the sender lacks, requests those that this VM
/// lacks, and takes in the head.
pub(crate) async fn on_digest(
    shared: &Arc<AppState>,
    from: &VmId,
    domain: &DomainId,
    digest: Digest,
) {
    let now = shared.now();
    let (wants_reply, nonce) = (digest.reply, digest.nonce);
    let digest = convert::digest_from_message(digest);
    if *domain == shared.settings.domain {
        let difference = shared.members().compare(&digest.entries, now);
        if !difference.send.is_empty() {
            let entries =
                difference.send.into_iter().map(convert::member_state_to_message).collect();
            shared.peers.send(from, Body::Entries(Entries { entries }));
        }
        if !difference.request.is_empty() {
            shared.peers.send(from, Body::Wanted(Wanted { names: difference.request }));
        }
    }
    if wants_reply {
        reply(shared, from, domain, nonce);
    }
    // The peer sent a reply after this VM had started the exchange, so the reply's head was the
    // newest at `started - age` or later. For other digests no such time is known.
    let started = if wants_reply { None } else { shared.take_exchange(nonce) };
    let seen = started.zip(digest.age).and_then(|(started, age)| started.checked_sub(age));
    if let Some(head) = digest.head {
        on_peer_head(shared, from, head, seen).await;
    }
}

/// Sends a digest in reply to an exchange.
fn reply(shared: &Arc<AppState>, to: &VmId, domain: &DomainId, nonce: u64) {
    let same_domain = *domain == shared.settings.domain;
    let entries =
        if same_domain { shared.members().digest_entries(shared.now()) } else { Vec::new() };
    let digest = convert::digest_to_message(local_digest(shared, entries), false, nonce);
    shared.peers.send(to, Body::Digest(digest));
}

/// Handles a peer's head, which was the newest at the time `seen`; a newer configuration than the
/// active one is fetched and installed.
///
/// If the configuration cannot be read from the platform, its files are requested from the peer.
async fn on_peer_head(
    shared: &Arc<AppState>,
    from: &VmId,
    head: ConfigHead,
    seen: Option<Duration>,
) {
    let newer = head.version > shared.active_config().version();
    if !newer {
        if let Some(seen) = seen {
            shared.active_config().on_head(&head, seen);
        }
        return;
    }
    let known = shared.config();
    let known = known.as_ref().map(|known| &known.config);
    match fetch_config(shared.platform.as_ref(), &head, known).await {
        Ok(config) => follow::install(shared, head, config.into(), seen),
        Err(_) => {
            let wanted = ObjectWanted { version: head.version, object: head.object.to_string() };
            shared.peers.send(from, Body::ObjectWanted(wanted));
        }
    }
}

/// Sends the active configuration's files to a VM that cannot read them from the platform.
pub(crate) fn on_object_wanted(shared: &AppState, from: &VmId, wanted: ObjectWanted) {
    let content = {
        let active = shared.active_config();
        let same = active.head().is_some_and(|head| head.object == wanted.object.as_str());
        active.config().filter(|_| same).and_then(|c| serde_json::to_vec(&c.config.sources).ok())
    };
    let Some(content) = content else { return };
    let message = ObjectContent { version: wanted.version, object: wanted.object, content };
    shared.peers.send(from, Body::ObjectContent(message));
}

/// Installs the configuration that a peer sent, if its files match the hash in the message.
pub(crate) fn on_object_content(shared: &Arc<AppState>, message: ObjectContent) {
    let Ok(sources) = decode_json(&String::from_utf8_lossy(&message.content)) else { return };
    let head = ConfigHead { version: message.version, object: message.object.into() };
    if let Some(config) = config_from_sources(&head, sources) {
        follow::install(shared, head, config.into(), None);
    }
}
