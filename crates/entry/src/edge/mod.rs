//! The interfaces to a platform: the formats that it translates and the store that it provides.

pub(crate) mod blocks;
pub(crate) mod budget;
pub(crate) mod clock;
pub(crate) mod pool;
pub(crate) mod socket;
pub(crate) mod timeout;

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use bamboocourse_decide::{
    DomainId, EndpointId, EndpointInfo, EndpointReport, Fence, FleetConfig, Load, ModelId,
    ModelRef, NamedLimit, OrderCommand, OrderReply, PartId, QuietRequest, Refusal, StoreEra,
    StorePosition, Tokens, VmId, WorkspaceId,
};
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use http_body_util::Full;
use smol_str::SmolStr;

/// A boxed future, for traits that are used as objects.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Why a call to the store has no result; the texts are reasons for logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The call had no effect.
    NotApplied(String),
    /// No response arrived; a write may have been applied, or may be applied later.
    Unknown(String),
    /// No response arrived while a feed was expected to answer.
    Overdue,
    /// The response is of this era, which is older than one that was seen; a write may have been
    /// applied.
    OlderEra(StoreEra),
    /// The store no longer keeps the changes after the requested version.
    HistoryGone,
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotApplied(why) => write!(f, "the store did nothing: {why}"),
            Self::Unknown(why) => write!(f, "the store did not answer: {why}"),
            Self::Overdue => f.write_str("the store's answer is overdue"),
            Self::OlderEra(era) => write!(f, "the store's answer is of the older era {era}"),
            Self::HistoryGone => f.write_str("the store no longer keeps the history asked for"),
        }
    }
}

impl std::error::Error for StoreError {}

/// A table of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Table {
    /// The configuration, written by operators.
    Operator,
    /// The list of endpoints, written by the endpoints themselves.
    Endpoints,
    /// The entry VMs' own rows, such as the row of the fleet's lease.
    Own,
}

/// One row of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRow {
    /// The key, which is unique within the table.
    pub key: SmolStr,
    /// The value; `None` if the row has been removed.
    pub value: Option<Bytes>,
    /// The store's version at the last change of the row, in the era in which the row was read.
    pub version: StorePosition,
}

/// Rows of a table, at least as new as one position of the store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoreRows {
    /// The rows.
    pub rows: Vec<StoreRow>,
    /// The oldest position of the store at which the rows were read.
    pub version: StorePosition,
    /// The store's monotonic clock when it responded; zero for rows that another VM relayed.
    pub now: Duration,
}

/// The outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The row was written, at this position and at this time on the store's clock.
    Applied(StorePosition, Duration),
    /// The row has another version than expected in the same era; this is the current row, if there
    /// is one.
    Conflict(Option<StoreRow>),
}

/// The platform's store.
pub trait Store: Send + Sync {
    /// Reads a whole table.
    ///
    /// The result may span several versions; its version is the oldest of them. Fails with a
    /// [`StoreError`] if the store cannot be read.
    fn read(&self, table: Table) -> BoxFuture<'_, Result<StoreRows, StoreError>>;

    /// Returns the changes of a table after a position; waits at most `wait` for the first of them.
    ///
    /// Fails with [`StoreError::HistoryGone`] if the store no longer keeps these changes, and if the
    /// store has begun another era than that of `after`.
    fn changes(
        &self,
        table: Table,
        after: StorePosition,
        wait: Duration,
    ) -> BoxFuture<'_, Result<StoreRows, StoreError>>;

    /// Writes one row of [`Table::Own`] if the row still has this version.
    ///
    /// Version 0 stands for a row that is absent. Fails with [`StoreError::NotApplied`] if nothing
    /// was written, as when the store is known to have begun a newer era than that of `version`, and
    /// with [`StoreError::Unknown`] if the row may have been written, or was written in another era
    /// and may be lost with it.
    fn replace<'a>(
        &'a self,
        key: &'a str,
        version: StorePosition,
        value: Bytes,
    ) -> BoxFuture<'a, Result<WriteOutcome, StoreError>>;

    /// Returns the highest era that the store has shown; 0 if it has shown none.
    fn era(&self) -> StoreEra;

    /// Returns the lowest position that the store has shown in that era, of the highest version if it
    /// has shown none: a copy from which it was restored holds nothing newer.
    fn era_start(&self) -> StorePosition;
}

/// A caller's request without its body.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The id that the caller chose for the request.
    pub id: SmolStr,
    /// The caller's API key, if the request has one.
    pub key: Option<SmolStr>,
    /// The host that the request names, in lower case and without a port.
    pub host: SmolStr,
    /// The method.
    pub method: Method,
    /// The path and the query.
    pub uri: Uri,
    /// How long the caller waits for the response, if the request says so.
    pub timeout: Option<Duration>,
    /// The model, and the adapter if there is one, that the request names.
    pub target: Option<ModelRef>,
    /// The number of prompt tokens and the largest number of output tokens, if the request has
    /// them.
    pub tokens: Option<(Tokens, Tokens)>,
    /// How many output tokens the caller expects, if the request says so; often far off.
    pub expected: Option<Tokens>,
    /// A hash of the part of the prompt that belongs to the request or its session; 0 if there is
    /// none.
    pub session: u64,
    /// The parts of the prompt that other requests may share, in order, without the last one, which
    /// belongs to the request or its session.
    pub parts: Vec<PartId>,
    /// The id of the last event that the caller has received; `None` if no stream is resumed.
    pub last_event: Option<u64>,
    /// Whether the caller sends the body only once it is asked to.
    pub awaits_continue: bool,
    /// The headers that are forwarded.
    pub headers: HeaderMap,
}

/// The fields that are added to a request when it is sent to an endpoint.
#[derive(Debug, Clone)]
pub struct EndpointRequest<'a> {
    /// The endpoint that must run the request.
    pub endpoint: &'a EndpointId,
    /// The workspace, if the route needs a key.
    pub workspace: Option<&'a WorkspaceId>,
    /// The time until the request's deadline.
    pub remaining: Duration,
    /// The urgency, if the request names a model; 0 is the most urgent.
    pub urgency: Option<u8>,
    /// The id of the event after which the endpoint continues the stream; `None` to start it.
    pub last_event: Option<u64>,
}

/// The head of an endpoint's response, as the platform reads it.
#[derive(Debug, Clone, Default)]
pub struct ResponseHead {
    /// The id of the request that the response belongs to, if the response has one.
    pub id: Option<SmolStr>,
    /// Whether the response carries the endpoint's seal.
    pub sealed: bool,
    /// Whether the endpoint says that it did not run the request.
    pub not_run: bool,
    /// The endpoint's load, if the response has it.
    pub load: Option<Load>,
    /// How long the endpoint keeps the connection idle, if the response says so.
    pub idle_timeout: Option<Duration>,
    /// Whether the endpoint closes the connection after the response.
    pub closes: bool,
    /// Whether the endpoint says that it leaves.
    pub leaving: bool,
    /// How many requests a second the endpoint takes from all VMs together, if it names a limit.
    pub limit: Option<NamedLimit>,
    /// For how long the endpoint wants nothing from this VM, if it turned the request away so.
    pub quiet: Option<QuietRequest>,
}

/// An endpoint as the platform lists it.
#[derive(Debug, Clone)]
pub struct ListedEndpoint {
    /// What the dispatcher needs to know.
    pub info: EndpointInfo,
    /// Where the endpoint accepts connections.
    pub address: SocketAddr,
    /// What the endpoint holds, as its entry in the list says.
    pub report: EndpointReport,
    /// The time until the endpoint is gone, if that is known.
    pub remaining: Option<Duration>,
    /// How much longer the endpoint is cold.
    pub cold: Duration,
}

/// An order as it is sent to an endpoint.
#[derive(Debug, Clone)]
pub struct OrderRequest<'a> {
    /// The endpoint that must execute the order.
    pub endpoint: &'a EndpointId,
    /// What the endpoint must do.
    pub command: &'a OrderCommand,
    /// The number of orders that the endpoint must have accepted before this one.
    pub number: u64,
    /// The leader that issues the order.
    pub leader: &'a VmId,
    /// The fencing number of the leader's lease.
    pub fence: Fence,
}

/// The formats of a platform. Implementations translate them and make no decisions.
pub trait Protocol: Send + Sync {
    /// Reads the head of a caller's request; fails with the refusal for the caller.
    fn read_request(&self, head: &http::request::Parts) -> Result<CallerRequest, Refusal>;

    /// Writes the head of a request to an endpoint.
    fn write_request(
        &self,
        request: &CallerRequest,
        endpoint_request: &EndpointRequest<'_>,
    ) -> http::request::Builder;

    /// Reads the head of an endpoint's response, also of the reply to an order or to a request for a
    /// report.
    fn read_response(&self, head: &http::response::Parts) -> ResponseHead;

    /// Returns the headers of an endpoint's response that are forwarded to the caller.
    fn forwarded_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Writes the response for a refusal; `id` is the request's id if it could be read.
    fn write_refusal(&self, id: Option<&str>, refusal: &Refusal) -> http::Response<Bytes>;

    /// Reads the configuration from a row of [`Table::Operator`]; `None` for any other row.
    ///
    /// Fails with the reason.
    fn read_config(&self, row: &StoreRow) -> Option<Result<FleetConfig, String>>;

    /// Returns the failure domain that a row of [`Table::Operator`] empties while it is there; `None` for
    /// any other row.
    fn read_emptied(&self, row: &StoreRow) -> Option<DomainId>;

    /// Reads a row of [`Table::Endpoints`]; fails with the reason.
    fn read_endpoint(&self, row: &StoreRow) -> Result<ListedEndpoint, String>;

    /// Writes a request for an endpoint's report.
    fn write_report_request(&self, endpoint: &EndpointId) -> http::Request<Full<Bytes>>;

    /// Reads an endpoint's report; fails with the reason.
    fn read_report(&self, bytes: &[u8]) -> Result<EndpointReport, String>;

    /// Writes a request with an order to an endpoint.
    fn write_order(&self, order: &OrderRequest<'_>) -> http::Request<Full<Bytes>>;

    /// Reads the head of the reply to an order.
    fn read_order_reply(&self, head: &http::response::Parts) -> OrderReply;

    /// Finds the whole events at the beginning of a stream's bytes.
    fn read_events(&self, bytes: &[u8]) -> EventSpan;

    /// Returns the path at which the balancer asks whether the VM accepts new connections.
    fn readiness_path(&self) -> &'static str;
}

/// The whole events at the beginning of a stream's bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EventSpan {
    /// The length up to the end of the last whole event that has an id, in bytes.
    pub bytes: usize,
    /// The length up to the end of the last whole block, which may have no id, in bytes.
    pub blocks: usize,
    /// The id of the last whole event that has an id; `None` if no event has one.
    pub last_id: Option<u64>,
    /// The id of the first of them.
    pub first_id: Option<u64>,
    /// Whether an id is not above the one before.
    pub falls: bool,
    /// The length of the blocks without an id before the first event, in bytes.
    pub leading: usize,
}

/// Returns the name of a model or `MODEL/ADAPTER` for logs; empty without a target.
pub(crate) fn model_name(target: Option<&ModelRef>) -> SmolStr {
    match target {
        Some(ModelRef { model, adapter: Some(adapter) }) => {
            SmolStr::new(format!("{model}/{adapter}"))
        }
        Some(ModelRef { model, adapter: None }) => ModelId::clone(model),
        None => SmolStr::default(),
    }
}
