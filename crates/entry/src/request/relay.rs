//! Relays a stream of events from an endpoint to a caller.
//!
//! Only whole events are forwarded. When an endpoint fails, another endpoint continues the stream
//! after the last whole event if the route allows it. Otherwise the caller's connection is closed
//! with an error, so that the stream never looks complete.
//!
//! An endpoint that is only silent may still go on, so its stream is kept until another endpoint
//! has answered the request. Both work on it for a short time only; then the other one gives way.

use std::sync::Arc;
use std::time::Duration;

use bamboocourse_decide::{
    Arrivals, EndpointId, ErrorKind, RunEnd, SOUND_STREAM_TIME, SendOutcome,
};
use bytes::{Bytes, BytesMut};
use futures_util::{FutureExt, stream};
use http::HeaderMap;
use http::header::CONTENT_TYPE;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::grace::Run;
use super::loss::Progress;
use super::send::{EndpointResponse, SendResult};
use super::trace::{Trace, Unread};
use super::{Body, Job, Pipeline};
use crate::edge::pool::PooledConnection;
use crate::edge::timeout::{CATCH_UP_TIME, timeout_at};
use crate::edge::{EventSpan, Protocol};
use crate::process::open_requests::Stage;
use crate::process::scheduler::EndpointSlot;
use crate::process::shutdown::{Phase, Shutdown};

/// How long an endpoint may be silent, as a multiple of the route's target for the longest gap
/// between events.
const MAX_SILENT_GAPS: u32 = 5;
/// The shortest silence after which another endpoint is sought.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a silent endpoint and another one may both work on a stream, from when the request is written to
/// the other one.
const MAX_OVERLAP: Duration = Duration::from_millis(200);
/// For how long the streams of a leaving VM are still read once those that run are ended; the connections
/// have to be closed within [`FINAL_RESPONSE_TIME`](crate::process::drain::FINAL_RESPONSE_TIME).
const CATCH_UP_LIMIT: Duration = Duration::from_millis(150);
/// The longest event, with all that comes before it without an id, in bytes.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// How the head of a response begins; no line of an event does.
const RESPONSE_START: &[u8] = b"HTTP/1.";
/// Why a leaving VM does not seek another endpoint for a stream.
const ENDS_BEFORE: &str = "the VM is shutting down; the rest may take longer";
/// The type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// A stream that is being relayed.
pub(super) struct Relay {
    pipeline: Arc<Pipeline>,
    job: Job,
    trace: Trace,
    source: Option<Source>,
    /// The id of the last event that was forwarded.
    last_event: Option<u64>,
    /// The number of sends that an endpoint may have run.
    runs: u32,
    /// The endpoints that the stream must not be sent to again.
    tried: Vec<EndpointId>,
}

/// The endpoint that currently sends the stream.
struct Source {
    body: Incoming,
    connection: PooledConnection,
    /// See [`EndpointResponse::idle`].
    idle: Option<Option<Duration>>,
    slot: EndpointSlot,
    /// The received part of an event that is not complete yet.
    partial: BytesMut,
    /// The request's run there.
    run: Run,
    /// When the first whole event arrived.
    first_event: Option<Instant>,
    /// Whether the endpoint counts as having answered the request.
    sound: bool,
    /// Whether the body has a length or chunks, which tell that it is complete.
    framed: bool,
    /// The id of the last event that was read, here or from an earlier endpoint.
    last_id: Option<u64>,
    /// Whether it goes on with a stream of which the caller has a part.
    resumed: bool,
}

/// The result of reading from the endpoint's stream.
enum Chunk {
    /// One or more whole events, and the last id in them.
    Events(Bytes, Option<u64>),
    /// The stream is complete.
    End,
    /// The endpoint failed, for this reason.
    Broken(&'static str),
    /// The stream cannot continue anywhere, for this reason.
    Lost(&'static str),
}

/// The result of sending a stream's request to another endpoint beside a silent one.
enum Beside {
    /// The other endpoint answered, or failed.
    Answered(SendResult),
    /// The silent endpoint went on first.
    Spoke(Chunk),
    /// Neither did in time. The other endpoint may have run the request.
    Neither,
}

/// The result of seeking another endpoint for a stream.
enum Resumed {
    /// Another endpoint sends the stream.
    Moved,
    /// The silent endpoint went on first.
    Spoke(Chunk),
    /// No other endpoint can continue, for this reason; a silent endpoint is kept.
    Failed(&'static str),
}

impl Relay {
    pub(super) fn new(
        pipeline: Arc<Pipeline>,
        job: Job,
        response: EndpointResponse,
        trace: Trace,
    ) -> Self {
        let last_event = job.request.last_event;
        let tried = vec![response.slot.name.clone()];
        let job = Job { streams_since: Some(response.began), ..job };
        let source = Some(Source::new(response, last_event, false));
        Self { pipeline, job, trace, source, last_event, runs: 1, tried }
    }

    /// Converts the relay into a response body; dropping the body cancels the endpoint's work.
    pub(super) fn into_body(self) -> Body {
        let chunks = stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            let shutdown = relay.pipeline.shutdown.clone();
            relay.trace.begin(Stage::Streaming);
            let next = tokio::select! {
                // What has arrived is still passed on.
                biased;
                next = relay.next_events() => next,
                () = ended(&shutdown) => {
                    relay.note_unread();
                    Some(Err("the VM is shutting down"))
                }
            };
            match next {
                Some(Ok(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Some(Err(why)) => {
                    relay.trace.end_broken(why);
                    Some((Err(std::io::Error::other(why)), None))
                }
                None => {
                    relay.trace.end_complete(http::StatusCode::OK);
                    None
                }
            }
        });
        BodyExt::boxed_unsync(StreamBody::new(chunks))
    }

    /// Records what has arrived from the endpoint and is not passed on, as this process ends the stream.
    fn note_unread(&mut self) {
        let Some(source) = &mut self.source else { return };
        let unread = match source.read(&*self.pipeline.protocol).now_or_never() {
            Some(Chunk::Events(..)) => Unread::Events,
            Some(Chunk::End) => Unread::End,
            Some(Chunk::Broken(_) | Chunk::Lost(_)) | None => Unread::Nothing,
        };
        self.trace.set_unread(unread);
    }

    /// Returns the next whole events, an error text if the stream breaks, or `None` at its end.
    ///
    /// Continues on another endpoint when the current one fails.
    async fn next_events(&mut self) -> Option<Result<Bytes, &'static str>> {
        let mut chunk = self.read_chunk().await;
        loop {
            match chunk {
                Chunk::Events(events, last_id) => {
                    if let Some(source) = &mut self.source {
                        source.slot.set_outcome(SendOutcome::Neutral);
                        let first = *source.first_event.get_or_insert_with(Instant::now);
                        if !source.sound && first.elapsed() >= SOUND_STREAM_TIME {
                            source.sound = true;
                            self.pipeline.on_answered(&self.job, first);
                        }
                    }
                    self.last_event = last_id.or(self.last_event);
                    let disconnects_at = Instant::now() + super::disconnect_time(&self.job.route);
                    self.job.disconnects_at = disconnects_at.min(self.job.deadline);
                    self.trace.count_event();
                    return Some(Ok(events));
                }
                Chunk::End => {
                    if let Some(mut source) = self.source.take() {
                        source.slot.set_outcome(SendOutcome::Completed);
                        if let Some(first) = source.first_event.filter(|_| !source.sound) {
                            self.pipeline.on_answered(&self.job, first);
                        }
                        source.run.finish(RunEnd::Whole);
                        if let Some(idle) = source.idle {
                            source.connection.keep(idle);
                        }
                    }
                    return None;
                }
                Chunk::Lost(why) => return Some(Err(why)),
                Chunk::Broken(why) => {
                    self.trace.note(why);
                    if let Some(mut source) = self.source.take() {
                        source.slot.set_outcome(SendOutcome::Failed);
                        let broken =
                            self.pipeline.on_broken_off(&self.job, &source.slot, source.progress());
                        broken.await;
                    }
                    chunk = match self.resume().await {
                        Resumed::Moved => self.read_chunk().await,
                        Resumed::Spoke(chunk) => chunk,
                        Resumed::Failed(why) => return Some(Err(why)),
                    };
                }
            }
        }
    }

    /// Reads from the current endpoint until there are whole events or the stream ends.
    ///
    /// Seeks another endpoint each time the current one has been silent for some time. Bytes that
    /// complete no event do not end a silence.
    async fn read_chunk(&mut self) -> Chunk {
        let silence_timeout = MIN_SILENCE_TIMEOUT.max(self.job.route.event_gap * MAX_SILENT_GAPS);
        loop {
            let Some(source) = &mut self.source else { return Chunk::Lost("no endpoint") };
            let can_resume =
                self.job.route.retry_policy.is_retryable() && self.runs < self.job.route.attempts;
            let deadline = self.job.deadline;
            let silent_until = Instant::now() + silence_timeout;
            let until = if can_resume { silent_until.min(deadline) } else { deadline };
            let reading = source.read(&*self.pipeline.protocol);
            match timeout_at(until, reading).await {
                Ok(chunk) => return chunk,
                Err(_) if until == deadline => return Chunk::Lost("the deadline has passed"),
                Err(_) => self.trace.note("endpoint silent"),
            }
            // The endpoint counts as failed unless it goes on.
            source.slot.set_outcome(SendOutcome::Failed);
            match self.resume().await {
                Resumed::Moved => {}
                Resumed::Spoke(chunk) => return chunk,
                Resumed::Failed(why) if self.source.is_none() => return Chunk::Lost(why),
                Resumed::Failed(why) => self.trace.note(why),
            }
        }
    }

    /// Continues the stream on another endpoint after the last whole event.
    ///
    /// A silent endpoint is read until another one has answered the request, and is canceled then. Whichever
    /// speaks first goes on with the stream; if neither does within [`MAX_OVERLAP`], the other one is canceled.
    async fn resume(&mut self) -> Resumed {
        if !self.job.route.retry_policy.is_retryable() {
            return Resumed::Failed("the endpoint broke off and the route cannot be resumed");
        }
        let mut rejections = 0;
        let mut arrivals = Arrivals::first();
        while self.runs < self.job.route.attempts && rejections < super::MAX_REJECTIONS {
            if let Some(refusal) = self.pipeline.check_send(&self.job, self.runs) {
                return Resumed::Failed(match refusal.kind {
                    ErrorKind::PromptHeld => "a part of the prompt is held back",
                    ErrorKind::RequestHeld => "the request is held back",
                    _ => "endpoints have ended under the request",
                });
            }
            if self.pipeline.is_too_late(&self.job) {
                return Resumed::Failed(ENDS_BEFORE);
            }
            let mut needs = self.job.requirements();
            needs.tried = self.tried.clone();
            let acquiring = self.pipeline.acquire_slot(&self.job, &needs, &mut self.trace);
            let slot = match &mut self.source {
                None => acquiring.await,
                Some(source) => tokio::select! {
                    biased;
                    chunk = source.read(&*self.pipeline.protocol) => {
                        self.trace.end_wait();
                        return Resumed::Spoke(chunk);
                    }
                    slot = acquiring => slot,
                },
            };
            let Ok(slot) = slot else {
                if self.pipeline.is_too_late(&self.job) {
                    return Resumed::Failed(ENDS_BEFORE);
                }
                return Resumed::Failed("no other endpoint has room to go on");
            };
            if arrivals.needs_retry() {
                if !self.pipeline.quotas.take_retry(&self.job.service) {
                    return Resumed::Failed("the budget for repeats is used up");
                }
                arrivals.on_retry();
                self.pipeline.metrics.resumes.add(1, &[]);
            }
            self.tried.push(slot.name.clone());
            self.trace.record_send(&slot.name, slot.utilization);
            let result = match self.send_beside_source(slot).await {
                Beside::Answered(result) => result,
                Beside::Spoke(chunk) => {
                    self.runs += 1;
                    return Resumed::Spoke(chunk);
                }
                Beside::Neither => {
                    self.runs += 1;
                    arrivals.on_send(true);
                    self.trace.note("no answer beside the silent endpoint");
                    continue;
                }
            };
            arrivals.on_send(result.may_have_arrived());
            match result {
                SendResult::Response(response) => {
                    self.runs += 1;
                    if response.head.status.is_success() && is_event_stream(&response.head.headers)
                    {
                        self.source = Some(Source::new(*response, self.last_event, true));
                        return Resumed::Moved;
                    }
                    self.trace.note("endpoint does not go on with the stream");
                }
                SendResult::NotRun(_) | SendResult::NotSent(_) => rejections += 1,
                SendResult::NotYet(_) => {
                    rejections += 1;
                    self.tried.pop();
                }
                SendResult::Withheld => {
                    self.tried.pop();
                }
                SendResult::Unknown(_) => self.runs += 1,
            }
        }
        Resumed::Failed("no endpoint went on with the stream")
    }

    /// Sends the request to another endpoint, and reads a silent one meanwhile.
    async fn send_beside_source(&mut self, slot: EndpointSlot) -> Beside {
        let (last_event, runs, written) = (self.last_event, self.runs, Notify::new());
        let sending =
            self.pipeline.send(&self.job, slot, last_event, runs, &written, &mut self.trace);
        let Some(source) = &mut self.source else { return Beside::Answered(sending.await) };
        let overlap = async {
            written.notified().await;
            tokio::time::sleep(MAX_OVERLAP).await;
        };
        let result = {
            tokio::pin!(sending);
            tokio::select! {
                biased;
                chunk = source.read(&*self.pipeline.protocol) => {
                    if matches!(chunk, Chunk::Events(..) | Chunk::End) {
                        return Beside::Spoke(chunk);
                    }
                    // It has failed, so the other one has all the time that is left.
                    let progress = source.progress();
                    let broken = self.pipeline.on_broken_off(&self.job, &source.slot, progress);
                    tokio::join!(sending, broken).0
                }
                result = sending.as_mut() => return Beside::Answered(result),
                () = overlap => return Beside::Neither,
            }
        };
        self.source = None;
        self.trace.note("silent endpoint broke off");
        Beside::Answered(result)
    }
}

impl Source {
    fn new(response: EndpointResponse, last_id: Option<u64>, resumed: bool) -> Self {
        let EndpointResponse { head, body, connection, idle, slot, run, .. } = response;
        let framed = super::is_framed(&head.headers);
        let (partial, first_event) = (BytesMut::new(), None);
        Self {
            body,
            connection,
            idle,
            slot,
            partial,
            run,
            first_event,
            sound: false,
            framed,
            last_id,
            resumed,
        }
    }

    /// Returns how far the stream is at this endpoint.
    fn progress(&self) -> Progress {
        self.first_event.map_or(Progress::Begun, Progress::Streaming)
    }

    /// Returns why the whole events that have been received are not the next ones of the stream, if they
    /// are not.
    fn fault(&self, span: &EventSpan) -> Option<&'static str> {
        let is_next = |id: u64| self.last_id.is_none_or(|last| id > last);
        if span.falls || span.first_id.is_some_and(|id| !is_next(id)) {
            return Some("events that were passed on already");
        }
        let begins = self.resumed && self.first_event.is_none();
        if begins && span.leading > 0 {
            return Some("other text in place of the stream's rest");
        }
        let mut lines = self.partial[..span.blocks].split(|byte| *byte == b'\n');
        lines.any(|line| line.starts_with(RESPONSE_START)).then_some("a head within the stream")
    }

    /// Reads until there are whole events or the stream ends; nothing is lost if this is canceled.
    async fn read(&mut self, protocol: &dyn Protocol) -> Chunk {
        loop {
            let frame = match self.body.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => return Chunk::Broken("stream broken off"),
                // An endpoint that ends before its first event closes such a stream, too.
                None if !self.framed && self.partial.is_empty() && self.first_event.is_none() => {
                    return Chunk::Broken("stream ended without an event");
                }
                None if self.partial.is_empty() => return Chunk::End,
                None => {
                    let blocks = protocol.read_events(&self.partial).blocks;
                    if blocks < self.partial.len() {
                        return Chunk::Broken("stream ended within an event");
                    }
                    if self.resumed && self.first_event.is_none() {
                        return Chunk::Broken("other text in place of the stream's rest");
                    }
                    return Chunk::Events(self.partial.split().freeze(), None);
                }
            };
            let Some(data) = frame.data_ref() else { continue };
            self.partial.extend_from_slice(data);
            let span = protocol.read_events(&self.partial);
            if let Some(why) = self.fault(&span) {
                return Chunk::Broken(why);
            }
            if span.bytes > 0 {
                self.last_id = span.last_id;
                return Chunk::Events(self.partial.split_to(span.bytes).freeze(), span.last_id);
            }
            if self.partial.len() > MAX_EVENT_BYTES {
                return Chunk::Broken("event too large");
            }
        }
    }
}

/// Waits until the process ends the streams that still run, and a moment longer, in which what has arrived
/// is read; that is over when the time for final responses is.
async fn ended(shutdown: &Shutdown) {
    shutdown.reached(Phase::Ending).await;
    if shutdown.phase_time() < CATCH_UP_LIMIT {
        tokio::time::sleep(CATCH_UP_TIME).await;
        // The connection's own task may be due at the same time.
        tokio::task::yield_now().await;
    }
}

/// Returns whether a response with these headers is a stream of events.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(CONTENT_TYPE).and_then(|kind| kind.to_str().ok()).unwrap_or_default();
    kind.split(';').next().unwrap_or_default().trim().eq_ignore_ascii_case(EVENT_STREAM)
}
