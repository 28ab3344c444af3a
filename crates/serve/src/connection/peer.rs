//! Connections from other VMs, on which this VM only receives messages.

use std::sync::Arc;
use std::time::Duration;

use bamboocourse_decide::{DomainId, VmId};
use futures_util::StreamExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::codec::FramedRead;

use crate::process::gossip;
use crate::process::vm::AppState;
use crate::wire::{Body, Entries, FrameCodec, convert};

/// How long a peer may take to send its first message.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// How long to wait after a connection could not be accepted.
const ACCEPT_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections until the process ends.
pub(crate) async fn accept(shared: Arc<AppState>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                connections.spawn(read_messages(shared.clone(), stream));
            }
            Err(_) => tokio::time::sleep(ACCEPT_DELAY).await,
        }
    }
}

/// Reads the messages of one connection; the first must be a hello.
async fn read_messages(shared: Arc<AppState>, stream: TcpStream) {
    let mut frames = FramedRead::new(stream, FrameCodec::default());
    let hello = tokio::time::timeout(HELLO_TIMEOUT, frames.next()).await;
    let Ok(Some(Ok(Body::Hello(hello)))) = hello else { return };
    shared.peers.add_connected(&hello);
    let (vm, domain) = (VmId::from(hello.vm), DomainId::from(hello.domain));
    while let Some(Ok(body)) = frames.next().await {
        handle(&shared, &vm, &domain, body).await;
    }
}

async fn handle(shared: &Arc<AppState>, from: &VmId, domain: &DomainId, body: Body) {
    let now = shared.now();
    match body {
        Body::Hello(_) => {}
        Body::Ask(message) => {
            let (workspace, request) = convert::loan_request_from_message(message);
            let same_domain = *domain == shared.settings.domain;
            if let Some(grant) =
                shared.limits.on_loan_request(&workspace, from, &request, same_domain, now)
            {
                let message = convert::loan_grant_to_message(&workspace, grant);
                shared.peers.send(from, Body::Grant(message));
            }
        }
        Body::Grant(message) => {
            let (workspace, grant) = convert::loan_grant_from_message(message);
            shared.limits.on_loan_grant(shared, &workspace, from, &grant);
        }
        Body::Digest(digest) => gossip::on_digest(shared, from, domain, digest).await,
        Body::Wanted(wanted) => {
            let states = shared.members().states(&wanted.names);
            let entries = states.into_iter().map(convert::member_state_to_message).collect();
            shared.peers.send(from, Body::Entries(Entries { entries }));
        }
        Body::Entries(entries) => {
            let states =
                entries.entries.into_iter().map(convert::member_state_from_message).collect();
            shared.members().merge(states, now);
        }
        Body::ObjectWanted(wanted) => gossip::on_object_wanted(shared, from, wanted),
        Body::ObjectContent(content) => gossip::on_object_content(shared, content),
    }
}
