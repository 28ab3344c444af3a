//! HTTP calls to endpoints: orders, and requests for their reports.

use std::net::SocketAddr;
use std::time::Duration;

use bamboocourse_decide::{EndpointId, EndpointReport, Fence, OrderCommand, OrderReply};
use log::info;

use super::placement::IssuedOrder;
use super::{Coordinator, CoordinatorEvent};
use crate::edge::clock::boot_now;
use crate::edge::pool::{Pool, SendError};
use crate::edge::{OrderRequest, Protocol};

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
        let address = listed.address;
        let (pool, protocol) = (self.handles.pool.clone(), self.handles.protocol.clone());
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
                let ordering = order_reply(&pool, &*protocol, address, &head);
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

    /// Requests the reports that the placement needs; each arrives as an event.
    pub(super) fn request_reports(&mut self, now: Duration) {
        let Some(leadership) = &mut self.leadership else { return };
        let limit = MAX_OPEN_REPORTS.saturating_sub(leadership.open_reports);
        for name in leadership.placement.take_report_requests(limit, now) {
            let Some(listed) = leadership.placement.endpoint(&name) else { continue };
            leadership.open_reports += 1;
            let address = listed.address;
            let (pool, protocol) = (self.handles.pool.clone(), self.handles.protocol.clone());
            let events = self.handles.events.clone();
            tokio::spawn(async move {
                let report = fetch_report(&pool, &*protocol, &name, address).await;
                if let Err(why) = &report {
                    info!(endpoint = name.as_str(), why:%; "an endpoint did not report");
                }
                // The receiver is gone only while the process shuts down.
                let _ = events.send(CoordinatorEvent::EndpointReported(name, now, report.ok()));
            });
        }
    }
}

/// Sends an order and reads the whole reply; one that does not end is no reply.
async fn order_reply(
    pool: &Pool,
    protocol: &dyn Protocol,
    address: SocketAddr,
    order: &OrderRequest<'_>,
) -> OrderReply {
    match pool.send(address, protocol.write_order(order)).await {
        Ok((response, connection)) => {
            let (head, body) = response.into_parts();
            if connection.read_body(body, MAX_REPORT_BYTES).await.is_err() {
                return OrderReply::Lost;
            }
            connection.keep(None);
            protocol.read_order_reply(&head)
        }
        Err(SendError::NotSent(_)) => OrderReply::NotSent,
        Err(SendError::Unknown(_)) => OrderReply::Lost,
    }
}

/// Requests an endpoint's report and reads it, within [`ENDPOINT_TIMEOUT`].
async fn fetch_report(
    pool: &Pool,
    protocol: &dyn Protocol,
    name: &EndpointId,
    address: SocketAddr,
) -> Result<EndpointReport, String> {
    let fetching = async {
        let request = protocol.write_report_request(name);
        let (response, connection) =
            pool.send(address, request).await.map_err(|error| error.to_string())?;
        let status = response.status();
        let body = connection
            .read_body(response.into_body(), MAX_REPORT_BYTES)
            .await
            .map_err(|error| format!("{error:?}"))?;
        if status != 200 {
            return Err(format!("status {status}"));
        }
        protocol.read_report(&body)
    };
    tokio::time::timeout(ENDPOINT_TIMEOUT, fetching).await.map_err(|_| "no answer".to_string())?
}
