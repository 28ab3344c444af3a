//! What happens when an endpoint breaks off a request.

use tokio::time::Instant;

use bamboocourse_decide::PartId;
use log::info;

use super::{Job, Pipeline};
use crate::process::scheduler::EndpointSlot;

/// How far a request was at an endpoint that broke it off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    /// No part of a response had arrived.
    Sent,
    /// The head of the response had arrived, but no whole event.
    Begun,
    /// Whole events had arrived, the first one at this time.
    Streaming(Instant),
}

impl Progress {
    fn name(self) -> &'static str {
        match self {
            Progress::Sent => "sent",
            Progress::Begun => "begun",
            Progress::Streaming(_) => "streaming",
        }
    }
}

impl Pipeline {
    /// Records that an endpoint broke a request off.
    pub(super) fn on_broken_off(&self, job: &Job, slot: &EndpointSlot, progress: Progress) {
        let streaming_ms = match progress {
            Progress::Streaming(first) => first.elapsed().as_millis() as u64,
            Progress::Sent | Progress::Begun => 0,
        };
        info!(id = job.request.id.as_str(), endpoint = slot.name.as_str(), born = slot.instance,
            progress = progress.name(), streaming_ms,
            filled_percent = (slot.utilization * 100.0) as u64,
            parts = join_parts(&job.request.parts).as_str(); "an endpoint broke a request off");
        self.metrics.broken_off.add(1, &[]);
    }
}

/// Returns the ids of parts for a log line.
fn join_parts(parts: &[PartId]) -> String {
    parts.join(",")
}
