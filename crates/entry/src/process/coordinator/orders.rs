//! HTTP calls to endpoints: orders, and requests for their reports.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bamboocourse_decide::{EndpointId, EndpointReport, Fence, OrderCommand, OrderReply};
use bytes::Bytes;
use http::response::Parts;
use http::{Request, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use log::info;

use super::placement::{IssuedOrder, ReportReply};
use super::{Coordinator, CoordinatorEvent};
use crate::edge::clock::boot_now;
use crate::edge::pool::{Pool, PooledConnection, SendError};
use crate::edge::{ListedEndpoint, OrderRequest, Protocol, ResponseHead};
use crate::process::scheduler::Scheduler;

/// How long an endpoint may take to reply to an order or a report request.
pub(super) const ENDPOINT_TIMEOUT: Duration = Duration::from_millis(700);
/// The remaining term of the lease that sending an order requires.
pub(super) const MIN_ORDER_TERM: Duration = Duration::from_millis(200);
/// The most reports of endpoints that are read at the same time; a new leader needs all of them.
const MAX_OPEN_REPORTS: usize = 64;
/// The largest body that is read from an endpoint, in bytes.
const MAX_REPORT_BYTES: usize = 1 << 20;

impl Coordinator {
    /// Sends an order in a task of its own; the reply arrives as an event.
    pub(super) fn send_order(&self, order: IssuedOrder, fence: Fence, until: Duration) {
        let Some(leadership) = &self.leadership else { return };
        let Some(listed) = leadership.placement.endpoint(&order.planned.endpoint) else { return };
        let line = self.line(&order.planned.endpoint, listed);
        let (events, metrics) = (self.handles.events.clone(), self.handles.metrics.clone());
        let leader = self.handles.settings.vm.clone();
        tokio::spawn(async move {
            let name = &order.planned.endpoint;
            let command = &order.planned.command;
            let head = OrderRequest {
                endpoint: name,
                command,
                number: order.key.number,
                leader: &leader,
                fence,
            };
            // The task may start late, so the lease is checked again right before the send.
            let reply = if boot_now() + MIN_ORDER_TERM >= until {
                OrderReply::NotSent
            } else {
                let ordering = order_reply(&line, &head);
                let reply = tokio::time::timeout(ENDPOINT_TIMEOUT, ordering).await;
                reply.unwrap_or(OrderReply::Lost)
            };
            if matches!((command, reply), (OrderCommand::Fetch(..), OrderReply::Accepted)) {
                // The endpoint rejects requests for the adapter until it has loaded.
                tokio::time::sleep(order.planned.expected_time).await;
            }
            metrics.orders.add(1, &[]);
            info!(endpoint = name.as_str(), command:?, number = order.key.number, fence,
                why = order.planned.why.as_str(), reply:?; "an order was given");
            // The receiver is gone only while the process shuts down.
            let _ = events.send(CoordinatorEvent::OrderReplied(fence, Box::new(order), reply));
        });
    }

    /// Returns what calls to an endpoint need.
    fn line(&self, name: &EndpointId, listed: &ListedEndpoint) -> EndpointLine {
        EndpointLine {
            pool: self.handles.pool.clone(),
            protocol: self.handles.protocol.clone(),
            scheduler: self.handles.scheduler.clone(),
            endpoint: name.clone(),
            instance: listed.info.instance,
            address: listed.address,
        }
    }

    /// Requests the reports that the placement needs; each arrives as an event.
    pub(super) fn request_reports(&mut self, now: Duration) {
        let Some(leadership) = &mut self.leadership else { return };
        let limit = MAX_OPEN_REPORTS.saturating_sub(leadership.open_reports);
        let scheduler = &self.handles.scheduler;
        let names = leadership.placement.take_report_requests(limit, scheduler, now);
        leadership.open_reports += names.len();
        for (name, listed) in names {
            let line = self.line(&name, &listed);
            let events = self.handles.events.clone();
            tokio::spawn(async move {
                let reply = match fetch_report(&line).await {
                    Ok(report) => ReportReply::Report(report),
                    Err(why) => {
                        info!(endpoint = name.as_str(), why:%; "an endpoint did not report");
                        let is_open = line.may_send();
                        if is_open { ReportReply::Missing } else { ReportReply::Withheld }
                    }
                };
                // The receiver is gone only while the process shuts down.
                let _ = events.send(CoordinatorEvent::EndpointReported(name, now, reply));
            });
        }
    }
}

/// What calls to one process instance of an endpoint need.
struct EndpointLine {
    pool: Pool,
    protocol: Arc<dyn Protocol>,
    scheduler: Arc<Scheduler>,
    endpoint: EndpointId,
    instance: u64,
    address: SocketAddr,
}

impl EndpointLine {
    /// Returns whether the endpoint neither leaves nor wants quiet, and takes one more request.
    fn may_send(&self) -> bool {
        self.scheduler.may_write_own(&self.endpoint, self.instance)
    }

    /// Sends a request, unless the endpoint may not be sent to, and returns the head of the answer.
    /// `cause` is what the request is.
    async fn send(
        &self,
        request: Request<Full<Bytes>>,
        cause: &str,
    ) -> Result<(Parts, Incoming, PooledConnection), SendError> {
        let began = boot_now();
        let sending = self.pool.send_if(self.address, request, || self.may_send());
        let (response, connection) = sending.await?;
        let (head, body) = response.into_parts();
        // A 421 comes from another endpoint that has the address now.
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            let parsed: ResponseHead = self.protocol.read_response(&head);
            self.scheduler.on_head(&self.endpoint, self.instance, &parsed, Some(began), cause);
        }
        Ok((head, body, connection))
    }
}

/// Sends an order and reads the whole reply; one that does not end is no reply.
async fn order_reply(line: &EndpointLine, order: &OrderRequest<'_>) -> OrderReply {
    match line.send(line.protocol.write_order(order), "order").await {
        Ok((head, body, connection)) => {
            if connection.read_body(body, MAX_REPORT_BYTES).await.is_err() {
                return OrderReply::Lost;
            }
            // An answer with the id of a request belongs to that request.
            if line.protocol.read_response(&head).id.is_some() {
                return OrderReply::Lost;
            }
            // A refusal must not be taken for the answer to what is sent next, if it is written again.
            if head.status.is_success() {
                connection.keep(None);
            }
            line.protocol.read_order_reply(&head)
        }
        Err(SendError::NotSent(_) | SendError::Withheld) => OrderReply::NotSent,
        Err(SendError::Unknown(_)) => OrderReply::Lost,
    }
}

/// Requests an endpoint's report and reads it, within [`ENDPOINT_TIMEOUT`].
async fn fetch_report(line: &EndpointLine) -> Result<EndpointReport, String> {
    let fetching = async {
        let request = line.protocol.write_report_request(&line.endpoint);
        let (head, body, connection) =
            line.send(request, "report").await.map_err(|error| error.to_string())?;
        let body = connection
            .read_body(body, MAX_REPORT_BYTES)
            .await
            .map_err(|error| format!("{error:?}"))?;
        if head.status != StatusCode::OK {
            return Err(format!("status {}", head.status));
        }
        line.protocol.read_report(&body)
    };
    tokio::time::timeout(ENDPOINT_TIMEOUT, fetching).await.map_err(|_| "no answer".to_string())?
}
