//! Counters and latency histograms, and their Prometheus text.

use std::sync::Arc;
use std::time::Duration;

use bamboocourse_decide::TableSource;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::edge::{Store, Table};
use crate::process::freshness::{COPIED_TABLES, Freshness};

/// The bucket bounds of the latency histograms, in seconds.
const BUCKETS_SECONDS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.63, 1.0, 2.5, 5.0, 12.0];

/// What a call to the store is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoreCall {
    /// The operators' configuration.
    Config,
    /// The list of endpoints.
    Endpoints,
    /// A read of the lease's row.
    LeaseRead,
    /// A write of the lease's row.
    LeaseWrite,
}

impl StoreCall {
    fn name(self) -> &'static str {
        match self {
            StoreCall::Config => "config",
            StoreCall::Endpoints => "endpoints",
            StoreCall::LeaseRead => "lease_read",
            StoreCall::LeaseWrite => "lease_write",
        }
    }
}

/// The metrics of one process.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Owns the exporter.
    provider: SdkMeterProvider,
    responses: Counter<u64>,
    first_byte: Histogram<f64>,
    total: Histogram<f64>,
    pub(crate) retries: Counter<u64>,
    pub(crate) resumes: Counter<u64>,
    pub(crate) orders: Counter<u64>,
    store_calls: Counter<u64>,
    pub(crate) store_errors: Counter<u64>,
    pub(crate) leases: Counter<u64>,
    pub(crate) asks: Counter<u64>,
    pub(crate) withheld: Counter<u64>,
    pub(crate) broken_off: Counter<u64>,
    pub(crate) endpoint_ends: Counter<u64>,
    pub(crate) held_requests: Counter<u64>,
    pub(crate) held_parts: Gauge<u64>,
    unavailable: Counter<u64>,
    leaving: Gauge<u64>,
    emptied: Gauge<u64>,
    quiet: Gauge<u64>,
    limited: Gauge<u64>,
    cold: Gauge<u64>,
    pub(crate) limited_answers: Counter<u64>,
    permits: Counter<u64>,
    closed_unread: Counter<u64>,
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// # Errors
    /// Returns an error if the exporter cannot be built.
    pub(crate) fn new() -> Result<Self, opentelemetry_sdk::error::OTelSdkError> {
        let registry = Registry::new();
        let exporter =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("bamboocourse");
        Ok(Self {
            responses: counter(&meter, "answers", "answers by route and kind"),
            first_byte: histogram(&meter, "first_seconds", "time to the answer's first bytes"),
            total: histogram(&meter, "whole_seconds", "time to the answer's end"),
            retries: counter(&meter, "repeats", "requests sent once more"),
            resumes: counter(&meter, "resumes", "streams that another endpoint went on with"),
            orders: counter(&meter, "orders", "orders to endpoints by outcome"),
            store_calls: counter(&meter, "store_calls", "calls to the store by what they are for"),
            store_errors: counter(&meter, "store_errors", "calls to the store that failed"),
            leases: counter(&meter, "leases", "times that this VM took the fleet's lease"),
            asks: counter(&meter, "asks", "requests whose tokens another VM asked this relay for"),
            withheld: counter(&meter, "withheld", "sends to endpoints that leave or want quiet"),
            broken_off: counter(&meter, "broken_off", "requests that an endpoint broke off"),
            endpoint_ends: counter(&meter, "endpoint_ends", "endpoints that ended under requests"),
            held_requests: counter(
                &meter,
                "held_requests",
                "requests refused or not sent again as a part of their prompt is held back",
            ),
            held_parts: gauge(&meter, "held_parts", "parts of prompts that are held back"),
            unavailable: counter(
                &meter,
                "unavailable",
                "requests whose endpoints leave, are quiet or in emptied domains",
            ),
            emptied: gauge(
                &meter,
                "emptied",
                "1 for a failure domain that is emptied, 0 once taken back",
            ),
            leaving: gauge(&meter, "leaving", "endpoints known to leave by their answers"),
            quiet: gauge(&meter, "quiet", "endpoints that want nothing from this VM for now"),
            cold: gauge(&meter, "cold", "cold endpoints, which take few requests"),
            limited: gauge(&meter, "limited", "endpoints with a limit of requests in force"),
            permits: counter(
                &meter,
                "permits",
                "permits for endpoints with limits, by what became",
            ),
            closed_unread: counter(
                &meter,
                "closed_unread",
                "connections of callers that were closed with bytes that no request was made of",
            ),
            limited_answers: counter(
                &meter,
                "limited_answers",
                "answers of endpoints with a limit of requests in force",
            ),
            registry,
            provider,
        })
    }

    /// Counts a call to the store by what it is for.
    pub(crate) fn count_store_call(&self, call: StoreCall) {
        self.store_calls.add(1, &[KeyValue::new("call", call.name())]);
    }

    /// Shows the highest era that the store has shown.
    pub(crate) fn observe_era(&self, store: Arc<dyn Store>) {
        let meter = self.provider.meter("bamboocourse");
        meter
            .u64_observable_gauge("store_era")
            .with_description("the highest era that the store has shown")
            .with_callback(move |gauge| gauge.observe(store.era(), &[]))
            .build();
    }

    /// Shows how long ago each source told all changes of each table.
    pub(crate) fn observe_ages(&self, freshness: Arc<Freshness>) {
        let meter = self.provider.meter("bamboocourse");
        meter
            .f64_observable_gauge("table_age_seconds")
            .with_description("how long ago a source told all changes of a table of the store")
            .with_callback(move |gauge| {
                for table in COPIED_TABLES {
                    for source in TableSource::ALL {
                        if let Some(age) = freshness.source_age_ms(table, source) {
                            let labels = [
                                KeyValue::new("table", table_label(table)),
                                KeyValue::new("source", source.name()),
                            ];
                            gauge.observe(age as f64 / 1e3, &labels);
                        }
                    }
                }
            })
            .build();
    }

    /// Counts a response of a route by its outcome.
    pub(crate) fn count_response(&self, route: &str, kind: &'static str) {
        let route = KeyValue::new("route", route.to_owned());
        self.responses.add(1, &[route, KeyValue::new("kind", kind)]);
    }

    /// Counts a request for which no endpoint was free, as all `reason`: leave, want quiet, are
    /// limited or in emptied domains.
    pub(crate) fn count_unavailable(&self, reason: &'static str) {
        self.unavailable.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a caller's connection that was closed with bytes `of` which no request was made: `read` by
    /// the process, or still `arriving`.
    pub(crate) fn count_closed_unread(&self, of: &'static str) {
        self.closed_unread.add(1, &[KeyValue::new("bytes", of)]);
    }

    /// Counts permits that were `issued` by this leader, or `used` by requests of this VM.
    pub(crate) fn count_permits(&self, kind: &'static str, count: u32) {
        self.permits.add(u64::from(count), &[KeyValue::new("kind", kind)]);
    }

    /// Records whether a failure domain is emptied.
    pub(crate) fn record_emptied(&self, domain: &str, emptied: bool) {
        self.emptied.record(u64::from(emptied), &[KeyValue::new("domain", domain.to_owned())]);
    }

    /// Records how many endpoints leave by their answers, want quiet, and name a limit of requests.
    pub(crate) fn record_availability(&self, leaving: usize, quiet: usize, limited: usize) {
        self.limited.record(limited as u64, &[]);
        self.leaving.record(leaving as u64, &[]);
        self.quiet.record(quiet as u64, &[]);
    }

    /// Records how many endpoints are cold.
    pub(crate) fn record_cold(&self, cold: usize) {
        self.cold.record(cold as u64, &[]);
    }

    /// Records the time until a response's first byte.
    pub(crate) fn record_first_byte(&self, time: Duration) {
        self.first_byte.record(time.as_secs_f64(), &[]);
    }

    /// Records the time until a response's end.
    pub(crate) fn record_total(&self, time: Duration) {
        self.total.record(time.as_secs_f64(), &[]);
    }

    /// Returns all metrics as Prometheus text.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!(error:% = error; "metrics cannot be written");
        }
        text
    }
}

fn table_label(table: Table) -> &'static str {
    match table {
        Table::Operator => "config",
        Table::Endpoints => "endpoints",
        Table::Own => "own",
    }
}

fn counter(meter: &Meter, name: &'static str, help: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_description(help).build()
}

fn gauge(meter: &Meter, name: &'static str, help: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(help).build()
}

fn histogram(meter: &Meter, name: &'static str, help: &'static str) -> Histogram<f64> {
    let builder = meter.f64_histogram(name).with_description(help);
    builder.with_boundaries(BUCKETS_SECONDS.to_vec()).build()
}
