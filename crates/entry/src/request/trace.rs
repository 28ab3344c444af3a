//! Records what happens to one request and logs one line when the request ends.

use std::sync::Arc;
use std::time::Duration;

use bamboocourse_decide::{
    EndpointId, ErrorKind, FleetRoute, Refusal, RunEstimate, Shortage, VersionId,
};
use http::StatusCode;
use log::info;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::{DEFAULT_RETRY_AFTER, Job, Pipeline};
use crate::edge::{CallerRequest, Table, model_name};
use crate::process::freshness::Freshness;
use crate::process::metrics::Metrics;
use crate::process::open_requests::{OpenRequest, Stage};
use crate::process::shutdown::{Phase, Shutdown};

/// The largest number of notes in a request's log line.
const MAX_NOTES: usize = 6;

/// The record of one request; the request counts as open until the trace is dropped.
pub(super) struct Trace {
    metrics: Arc<Metrics>,
    freshness: Arc<Freshness>,
    shutdown: Shutdown,
    open: Arc<OpenRequest>,
    arrived: Instant,
    record: Option<Box<Record>>,
}

/// What is known of a request so far.
#[derive(Default)]
struct Record {
    id: SmolStr,
    route: SmolStr,
    workspace: SmolStr,
    model: SmolStr,
    version: VersionId,
    /// The time until the deadline when the request was admitted.
    remaining: Duration,
    sends: u32,
    /// The endpoint of the last send.
    endpoint: EndpointId,
    /// The utilization of that endpoint when the request was sent; 1 if all slots are taken.
    utilization: f64,
    /// The time spent waiting for slots.
    waited: Duration,
    /// When the wait for a slot that has not ended yet began.
    waits_since: Option<Instant>,
    /// The time from arrival to the first checked response head.
    first: Option<Duration>,
    events: u32,
    /// When it was last sent to an endpoint.
    passed: Option<Instant>,
    /// How long it was expected to run, if the process was leaving then.
    expected: Option<RunEstimate>,
    /// When the last part of its stream was received.
    received: Option<Instant>,
    /// What had arrived from the endpoint of its stream and was not passed on.
    unread: Unread,
    /// Whether the response is a stream.
    is_stream: bool,
    notes: Vec<&'static str>,
}

/// What had arrived from an endpoint as its stream was ended by this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum Unread {
    /// Nothing: the endpoint was at work, or silent.
    #[default]
    Nothing,
    /// Further events.
    Events,
    /// The end of the stream.
    End,
}

impl Unread {
    /// Returns the name in log lines.
    fn name(self) -> &'static str {
        match self {
            Unread::Nothing => "nothing",
            Unread::Events => "events",
            Unread::End => "end",
        }
    }
}

impl Trace {
    pub(super) fn new(pipeline: &Pipeline, open: OpenRequest, arrived: Instant) -> Self {
        Self {
            metrics: pipeline.metrics.clone(),
            freshness: pipeline.freshness.clone(),
            shutdown: pipeline.shutdown.clone(),
            open: Arc::new(open),
            arrived,
            record: Some(Box::default()),
        }
    }

    pub(super) fn set_request(&mut self, request: &CallerRequest) {
        let Some(record) = &mut self.record else { return };
        record.id = request.id.clone();
        record.model = model_name(request.target.as_ref());
        self.open.update(|standing| standing.id = request.id.clone());
    }

    pub(super) fn set_route(&mut self, route: &FleetRoute, version: VersionId) {
        let Some(record) = &mut self.record else { return };
        record.route = route.name.clone();
        record.version = version;
        self.open.update(|standing| standing.route = route.name.clone());
    }

    /// Returns the record of how far the request is.
    pub(super) fn open_request(&self) -> Arc<OpenRequest> {
        self.open.clone()
    }

    /// Records what the request is doing from now on.
    pub(super) fn begin(&self, stage: Stage) {
        self.open.update(|standing| standing.stage = stage);
    }

    pub(super) fn set_job(&mut self, job: &Job) {
        let Some(record) = &mut self.record else { return };
        record.workspace = job.workspace.clone().unwrap_or_default();
        record.remaining = job.remaining();
    }

    /// Adds a note why no slot was free at once.
    pub(super) fn note_shortage(&mut self, shortage: Shortage) {
        self.note(match shortage {
            Shortage::NoEndpoint => "no endpoint",
            Shortage::NotResident => "model not resident",
            Shortage::NoAdapter => "adapter not resident",
            Shortage::Leaving => "all leave",
            Shortage::Emptied => "all in emptied domains",
            Shortage::Tried => "all tried",
            Shortage::Quiet(_) => "all quiet",
            Shortage::Limited(_) => "all limited",
            Shortage::Full => "all full",
        });
    }

    /// Records that the request begins to wait for a slot.
    pub(super) fn begin_wait(&mut self) {
        if let Some(record) = &mut self.record {
            record.waits_since = Some(Instant::now());
        }
        self.begin(Stage::Waiting);
    }

    /// Records that the wait for a slot has ended.
    pub(super) fn end_wait(&mut self) {
        if let Some(record) = &mut self.record
            && let Some(since) = record.waits_since.take()
        {
            record.waited += since.elapsed();
        }
    }

    /// Records a send to an endpoint with this utilization.
    pub(super) fn record_send(&mut self, endpoint: &EndpointId, utilization: f64) {
        let Some(record) = &mut self.record else { return };
        record.sends += 1;
        record.endpoint = endpoint.clone();
        record.utilization = utilization;
        record.passed = Some(Instant::now());
        self.open.update(|standing| {
            standing.stage = Stage::Sent;
            standing.endpoint = endpoint.clone();
            standing.sent = Some(Instant::now());
        });
    }

    /// Takes back the last send, of which nothing was written.
    pub(super) fn cancel_send(&mut self, why: &'static str) {
        if let Some(record) = &mut self.record {
            record.sends = record.sends.saturating_sub(1);
        }
        self.note(why);
    }

    /// Records that the head of a response has been received and checked.
    pub(super) fn record_first_byte(&mut self) {
        let passed = self.arrived.elapsed();
        let Some(record) = &mut self.record else { return };
        if record.first.is_none() {
            record.first = Some(passed);
            self.metrics.record_first_byte(passed);
        }
    }

    /// Records how long the request is expected to run from now on.
    pub(super) fn set_expected(&mut self, expected: Option<RunEstimate>) {
        let Some(record) = &mut self.record else { return };
        record.expected = expected;
    }

    /// Records what had arrived from the endpoint as this process ended the stream.
    pub(super) fn set_unread(&mut self, unread: Unread) {
        let Some(record) = &mut self.record else { return };
        record.unread = unread;
    }

    /// Counts a forwarded chunk of events, which is written once the caller has room for it.
    pub(super) fn count_event(&mut self) {
        if let Some(record) = &mut self.record {
            record.events += 1;
            record.received = Some(Instant::now());
        }
        self.open.update(|standing| {
            standing.stage = Stage::Caller;
            standing.events += 1;
            standing.last = Some(Instant::now());
        });
    }

    /// Adds a note to the log line, which keeps only the first [`MAX_NOTES`].
    pub(super) fn note(&mut self, note: &'static str) {
        let Some(record) = &mut self.record else { return };
        if record.notes.len() < MAX_NOTES {
            record.notes.push(note);
        }
    }

    /// Returns the refusal for a request that is still open when the process ends.
    pub(super) fn shutdown_refusal(&self) -> Refusal {
        let detail = format!("the VM is shutting down; {}", self.stage());
        let sends = self.record.as_ref().map_or(0, |record| record.sends);
        if sends == 0 {
            Refusal::not_run(ErrorKind::NotReady, detail).retry_after(DEFAULT_RETRY_AFTER)
        } else {
            Refusal::unknown(ErrorKind::EndpointTimeout, detail)
        }
    }

    /// Returns what the request is doing.
    fn stage(&self) -> &'static str {
        match self.record.as_deref() {
            Some(Record { waits_since: Some(_), .. }) => "waiting for an endpoint",
            Some(Record { sends: 0, .. }) => "not sent yet",
            _ => "sent to an endpoint",
        }
    }

    /// Moves the record into a new trace, for a stream that ends later.
    pub(super) fn take(&mut self) -> Trace {
        let mut record = self.record.take();
        if let Some(record) = &mut record {
            record.is_stream = true;
        }
        let (open, shutdown) = (self.open.clone(), self.shutdown.clone());
        Trace {
            metrics: self.metrics.clone(),
            freshness: self.freshness.clone(),
            shutdown,
            open,
            arrived: self.arrived,
            record,
        }
    }

    /// Drops a trace without logging; its record has been logged or moved.
    pub(super) fn discard(mut self) {
        self.record = None;
    }

    /// Ends the request with a complete response.
    pub(super) fn end_complete(&mut self, status: StatusCode) {
        self.metrics.record_total(self.arrived.elapsed());
        self.end("answered", status.as_u16(), None, "");
    }

    /// Ends the request with a refusal.
    pub(super) fn end_refused(mut self, refusal: &Refusal) {
        self.end_wait();
        let response = refusal.kind.response();
        self.end(response.name, response.status, refusal.retry_after, &refusal.detail);
    }

    /// Ends the request with a stream that was closed with an error.
    pub(super) fn end_broken(&mut self, why: &'static str) {
        self.end("broken", 200, None, why);
    }

    /// Logs the record, unless that has been done or the record was moved.
    fn end(
        &mut self,
        kind: &'static str,
        status: u16,
        retry_after: Option<Duration>,
        detail: &str,
    ) {
        let Some(record) = self.record.take() else { return };
        self.log_stream_end(&record, kind);
        self.metrics.count_response(&record.route, kind);
        info!(id = record.id.as_str(), kind, status, route = record.route.as_str(),
            version = record.version, config_ms = self.freshness.age_ms(Table::Operator),
            list_ms = self.freshness.age_ms(Table::Endpoints), workspace = record.workspace.as_str(),
            model = record.model.as_str(), endpoint = record.endpoint.as_str(),
            filled_percent = (record.utilization * 100.0) as u64,
            sends = record.sends, events = record.events,
            left_ms = record.remaining.as_millis() as u64,
            waited_ms = record.waited.as_millis() as u64,
            first_ms = record.first.map(|first| first.as_millis() as u64).unwrap_or(0),
            total_ms = self.arrived.elapsed().as_millis() as u64,
            leaving_ms = self.shutdown.leaving_ms(self.arrived),
            after_ms = retry_after.map(|after| after.as_millis() as u64).unwrap_or(0),
            notes = record.notes.join(", ").as_str(), detail; "a request has ended");
    }

    /// Writes a line for a stream that ends while the process leaves, with what tells who ended it and why.
    fn log_stream_end(&self, record: &Record, kind: &'static str) {
        let since = |at: Instant| self.shutdown.since_leaving_ms(at);
        let Some(ended) = since(Instant::now()).filter(|_| record.is_stream) else { return };
        let by = match kind {
            "answered" => "endpoint",
            "caller_left" => "caller",
            _ => "vm",
        };
        let expected = record.expected;
        let ms = |time: Option<Duration>| time.map_or(-1, |time| time.as_millis() as i64);
        let ago = record.received.map(|received| received.elapsed());
        info!(id = record.id.as_str(), by, read_ms = since(self.arrived).unwrap_or_default(),
            passed_ms = record.passed.and_then(since).unwrap_or_default(), ended_ms = ended,
            likely_ms = ms(expected.map(|expected| expected.likely)),
            upper_ms = ms(expected.and_then(|expected| expected.upper)),
            longest_ms = ms(expected.and_then(|expected| expected.longest)),
            runs = expected.map_or(0, |expected| expected.runs),
            stage = self.open.stage().name(), last_ms = ms(ago), unread = record.unread.name();
            "a stream has ended while the VM leaves");
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        let stage = self.stage();
        self.end_wait();
        let is_aborted = self.shutdown.phase() == Phase::Ending;
        self.end(if is_aborted { "aborted" } else { "caller_left" }, 0, None, stage);
    }
}
