//! Metrics and their Prometheus text form.

use bamboocourse_decide::ErrorKind;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// The bounds of the buckets of `first_token_seconds`.
const BUCKETS_SECONDS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.63, 1.0, 2.5, 5.0, 10.0];

/// The metrics of one process.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    tokens: Counter<u64>,
    first_token: Histogram<f64>,
    pub(crate) retries: Counter<u64>,
    pub(crate) resumes: Counter<u64>,
    pub(crate) peer_bytes: Counter<u64>,
    pub(crate) orders: Counter<u64>,
    pub(crate) reclaims: Counter<u64>,
    pub(crate) overruns: Counter<u64>,
}

impl Metrics {
    /// Registers all metrics of a VM.
    pub(crate) fn new() -> Result<Self, opentelemetry_sdk::error::OTelSdkError> {
        let registry = Registry::new();
        let exporter =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("bamboocourse");
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let first_token = meter
            .f64_histogram("first_token_seconds")
            .with_description("Time from a request's arrival to its first token or byte")
            .with_boundaries(BUCKETS_SECONDS.to_vec())
            .build();
        Ok(Self {
            requests: counter("requests", "Requests by workspace and service"),
            refusals: counter("refusals", "Refusals by kind and workspace"),
            tokens: counter("tokens", "Tokens used by workspace"),
            retries: counter("retries", "Requests sent to a second endpoint"),
            resumes: counter("resumes", "Streams resumed or continued"),
            peer_bytes: counter("peer_bytes", "Bytes sent to other VMs"),
            orders: counter("orders", "Orders given to engines"),
            reclaims: counter("reclaims", "Rows of dead VMs reclaimed"),
            overruns: counter("overruns", "Requests that used more tokens than they held"),
            first_token,
            registry,
            _provider: provider,
        })
    }

    pub(crate) fn count_request(&self, workspace: &str, service: &str) {
        let labels = [label("workspace", workspace), label("service", service)];
        self.requests.add(1, &labels);
    }

    pub(crate) fn count_refusal(&self, kind: ErrorKind, workspace: &str) {
        let labels = [label("kind", kind.response().name), label("workspace", workspace)];
        self.refusals.add(1, &labels);
    }

    pub(crate) fn count_tokens(&self, workspace: &str, tokens: u64) {
        self.tokens.add(tokens, &[label("workspace", workspace)]);
    }

    pub(crate) fn record_first_token(&self, service: &str, seconds: f64) {
        self.first_token.record(seconds, &[label("service", service)]);
    }

    /// Returns all metrics in Prometheus' text form.
    pub(crate) fn text(&self) -> String {
        let mut buffer = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buffer);
        String::from_utf8_lossy(&buffer).into_owned()
    }
}

fn label(key: &'static str, value: &str) -> KeyValue {
    KeyValue::new(key, value.to_string())
}
