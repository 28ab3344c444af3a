//! Estimates how long requests run at endpoints, from those that have ended.
//!
//! The load pattern: VMs are stopped in turn while streams arrive whose lengths differ by a factor of
//! fifty. Nearly all end within the grace period of the VM that takes them, and a few need longer than it
//! has left. Their callers' estimates and the largest number of tokens say something of how long they
//! take, the route and the model the rest.
//!
//! The logarithm of the run time is fitted, for each route, as a linear function of the logarithm of the
//! request's size, with an offset for each model. The errors of its predictions say how much longer
//! than that a request may take.
//!
//! Short requests end first, so those that have ended since a process started are shorter than most. The
//! largest errors are therefore taken in the order in which requests were sent: one counts once all that
//! were sent before it have ended.

use std::collections::VecDeque;
use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::{ModelId, Tokens};
use crate::map::FastMap;

/// By how much each further request lowers the weight of the earlier ones of its route.
const FORGETTING_RATIO: f64 = 1.0 / 256.0;
/// The standard deviation of the logarithm of run times before any prediction has been checked.
const PRIOR_DEVIATION: f64 = 0.5;
/// For how many checked predictions this assumption counts.
const PRIOR_WEIGHT: f64 = 0.5;
/// The number of requests of a model from which half of their offset to their route counts.
const MODEL_PRIOR_WEIGHT: f64 = 4.0;
/// The variance of sizes up to which a request of twice the size is taken to run twice as long; beyond it,
/// the requests that ended tell.
const SIZE_PRIOR: f64 = 0.1;
/// The number of requests of a route from which it can be told how much longer than likely others run.
const MIN_WEIGHT: f64 = 7.5;
/// The most routes that are kept; beyond them, all are learned anew.
const MAX_ROUTES: usize = 4_096;
/// How many standard deviations the upper estimate is above the likely one: one request of a hundred
/// runs longer. A caller whose request is refused loses some milliseconds, as another VM takes it; one
/// whose stream is cut loses all of it.
const UPPER_DEVIATIONS: f64 = 2.33;
/// The same for the longest run, while too few errors are known.
const LONGEST_DEVIATIONS: f64 = 5.0;
/// The number of the largest errors that are kept. The longest run exceeds the first of them by as much as
/// that exceeds the last: by little where the length of answers is limited, by more where it is not.
const LARGEST_ERRORS: usize = 8;
/// The number of errors from which their largest tell how long requests run.
const MIN_ERRORS: usize = 30;
/// The number of errors after which the largest ones are sought anew; those before count once more as long.
const ERROR_WINDOW: usize = 256;
/// The most requests of a route that wait for the end of earlier ones; the earliest are forgotten then.
const MAX_OPEN_RUNS: usize = 4_096;

/// What a request says of the length of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunSize {
    /// Nothing.
    Unknown,
    /// It has this many tokens at most.
    AtMost(Tokens),
    /// The caller expects this many tokens.
    About(Tokens),
}

/// How long a request is expected to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunEstimate {
    /// Half of such requests run no longer.
    pub likely: Duration,
    /// One of a hundred runs longer; `None` if too few have ended to tell.
    pub upper: Option<Duration>,
    /// None is expected to run longer; `None` if too few have ended to tell.
    pub longest: Option<Duration>,
    /// The number of requests that the estimate is made from; the latest ones of many.
    pub runs: u32,
}

/// The run times of the requests that ended, by route.
#[derive(Debug, Default)]
pub struct RunTimes {
    /// Sizes of different kinds are not comparable.
    fits: FastMap<FitKey, Fit>,
    /// The number of the last request that was sent.
    last_number: u64,
}

/// A route, and what its requests say of their length.
type FitKey = (SmolStr, SizeKind);

/// A request that was sent and has not ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunId {
    key: FitKey,
    number: u64,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// With a whole answer.
    Whole,
    /// Before that: a whole answer takes longer.
    BrokenOff,
    /// The endpoint did not run the request.
    NotRun,
}

/// A request of which not all that were sent before it have ended.
#[derive(Debug)]
struct OpenRun {
    number: u64,
    model: Option<ModelId>,
    x: f64,
    /// How it ended, and the logarithm of its run time.
    result: Option<(RunEnd, f64)>,
}

/// The largest errors of the latest predictions, the largest first.
#[derive(Debug, Default)]
struct LargestErrors {
    current: Vec<f64>,
    /// Those of the window before.
    former: Vec<f64>,
    /// How many errors the current window has.
    count: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum SizeKind {
    Unknown,
    AtMost,
    About,
}

/// The fit of one route: weighted sums over the logarithms of sizes (x) and of run times (y).
#[derive(Debug, Default)]
struct Fit {
    weight: f64,
    mean_x: f64,
    mean_y: f64,
    square_x: f64,
    product: f64,
    /// The squared errors of predictions, and their weight.
    square_error: f64,
    error_weight: f64,
    /// The sum of what the run times of a model differ by from those of the route, and its weight.
    models: FastMap<ModelId, (f64, f64)>,
    largest: LargestErrors,
    /// In the order in which they were sent.
    open: VecDeque<OpenRun>,
}

impl RunSize {
    /// Returns the kind, and the logarithm of the size.
    fn split(self) -> (SizeKind, f64) {
        let log = |tokens: Tokens| (tokens.max(1) as f64).ln();
        match self {
            RunSize::Unknown => (SizeKind::Unknown, 0.0),
            RunSize::AtMost(tokens) => (SizeKind::AtMost, log(tokens)),
            RunSize::About(tokens) => (SizeKind::About, log(tokens)),
        }
    }
}

impl RunTimes {
    /// Records that a request is sent.
    pub fn begin(&mut self, route: &SmolStr, model: Option<&ModelId>, size: RunSize) -> RunId {
        let (kind, x) = size.split();
        let key = (route.clone(), kind);
        if self.fits.len() >= MAX_ROUTES && !self.fits.contains_key(&key) {
            self.fits.clear();
        }
        self.last_number += 1;
        let number = self.last_number;
        let fit = self.fits.entry(key.clone()).or_default();
        if fit.open.len() >= MAX_OPEN_RUNS {
            fit.open.pop_front();
        }
        fit.open.push_back(OpenRun { number, model: model.cloned(), x, result: None });
        RunId { key, number }
    }

    /// Records the end of a request that ran for some time.
    pub fn end(&mut self, run: &RunId, ran: Duration, end: RunEnd) {
        let Some(fit) = self.fits.get_mut(&run.key) else { return };
        let y = (ran.as_secs_f64() * 1e3).max(1.0).ln();
        fit.end(run.number, y, end);
    }

    /// Estimates how long a request runs once it is sent; `None` if none of its route has ended.
    ///
    /// ```
    /// use bamboocourse_decide::{RunEnd, RunSize, RunTimes};
    /// use std::time::Duration;
    /// let mut times = RunTimes::default();
    /// let route = "quotes".into();
    /// assert_eq!(times.estimate(&route, None, RunSize::Unknown), None);
    /// for _ in 0..20 {
    ///     let run = times.begin(&route, None, RunSize::Unknown);
    ///     times.end(&run, Duration::from_secs(2), RunEnd::Whole);
    /// }
    /// let estimate = times.estimate(&route, None, RunSize::Unknown).unwrap();
    /// assert!(estimate.likely.abs_diff(Duration::from_secs(2)) < Duration::from_millis(1));
    /// assert!(estimate.upper.unwrap() > estimate.likely);
    /// ```
    pub fn estimate(
        &self,
        route: &SmolStr,
        model: Option<&ModelId>,
        size: RunSize,
    ) -> Option<RunEstimate> {
        let (kind, x) = size.split();
        let fit = self.fits.get(&(route.clone(), kind)).filter(|fit| fit.weight > 0.0)?;
        let log = fit.predict(model, x);
        let to_time = |log: f64| Duration::try_from_secs_f64(log.exp() / 1e3);
        let to_time = |log: f64| to_time(log).unwrap_or(Duration::MAX);
        let deviation = fit.deviation(x);
        let longest = fit.largest.extrapolate().unwrap_or(LONGEST_DEVIATIONS * deviation);
        let upper = longest.min(UPPER_DEVIATIONS * deviation);
        let is_known = fit.weight >= MIN_WEIGHT;
        Some(RunEstimate {
            likely: to_time(log),
            upper: is_known.then(|| to_time(log + upper)),
            longest: is_known.then(|| to_time(log + longest)),
            runs: fit.weight.round() as u32,
        })
    }
}

impl LargestErrors {
    fn record(&mut self, error: f64) {
        if self.count >= ERROR_WINDOW {
            self.former = std::mem::take(&mut self.current);
            self.count = 0;
        }
        let place = self.current.partition_point(|known| *known > error);
        self.current.insert(place, error);
        self.current.truncate(LARGEST_ERRORS);
        self.count += 1;
    }

    /// Returns an error that none is expected to exceed; `None` if too few are known.
    fn extrapolate(&self) -> Option<f64> {
        if self.former.is_empty() && self.count < MIN_ERRORS {
            return None;
        }
        let mut all: Vec<f64> = self.current.iter().chain(&self.former).copied().collect();
        all.sort_by(|a, b| b.total_cmp(a));
        let (first, last) = (all.first()?, all.get(LARGEST_ERRORS - 1)?);
        Some(first + (first - last))
    }
}

impl Fit {
    /// Records the end of a request, and the errors of those that no earlier one holds up any more.
    fn end(&mut self, number: u64, y: f64, end: RunEnd) {
        let Ok(index) = self.open.binary_search_by_key(&number, |run| run.number) else { return };
        let run = &mut self.open[index];
        run.result = Some((end, y));
        let (model, x) = (run.model.clone(), run.x);
        if self.is_evidence(end, y - self.predict(model.as_ref(), x)) {
            self.record(model.as_ref(), x, y);
        }
        while let Some((end, y)) = self.open.front().and_then(|run| run.result) {
            let Some(run) = self.open.pop_front() else { return };
            let error = y - self.predict(run.model.as_ref(), run.x);
            if self.weight >= MIN_WEIGHT && self.is_evidence(end, error) {
                self.largest.record(error);
            }
        }
    }

    /// Returns whether a run tells how long others take; one that was broken off does if it had been longer
    /// than predicted by then.
    fn is_evidence(&self, end: RunEnd, error: f64) -> bool {
        match end {
            RunEnd::Whole => true,
            RunEnd::BrokenOff => self.weight > 0.0 && error > 0.0,
            RunEnd::NotRun => false,
        }
    }

    fn record(&mut self, model: Option<&ModelId>, x: f64, y: f64) {
        let keep = 1.0 - FORGETTING_RATIO;
        if self.weight > 0.0 {
            let error = y - self.predict(model, x);
            self.square_error = self.square_error * keep + error * error;
            self.error_weight = self.error_weight * keep + 1.0;
        }
        self.weight = self.weight * keep + 1.0;
        let (dx, dy) = (x - self.mean_x, y - self.mean_y);
        self.mean_x += dx / self.weight;
        self.mean_y += dy / self.weight;
        self.square_x = self.square_x * keep + dx * (x - self.mean_x);
        self.product = self.product * keep + dx * (y - self.mean_y);
        if let Some(model) = model {
            let difference = y - self.predict_route(x);
            let (sum, weight) = self.models.entry(model.clone()).or_default();
            *sum = *sum * keep + difference;
            *weight = *weight * keep + 1.0;
        }
    }

    /// Predicts the logarithm of a run time, whatever the model is.
    fn predict_route(&self, x: f64) -> f64 {
        let slope = (self.product + SIZE_PRIOR) / (self.square_x + SIZE_PRIOR);
        self.mean_y + slope * (x - self.mean_x)
    }

    fn predict(&self, model: Option<&ModelId>, x: f64) -> f64 {
        let offset = model.and_then(|model| self.models.get(model));
        let offset = offset.map_or(0.0, |(sum, weight)| sum / (weight + MODEL_PRIOR_WEIGHT));
        self.predict_route(x) + offset
    }

    /// Returns the standard deviation of a prediction's error; it is larger for a size unlike those seen.
    fn deviation(&self, x: f64) -> f64 {
        let prior = PRIOR_DEVIATION * PRIOR_DEVIATION * PRIOR_WEIGHT;
        let variance = (self.square_error + prior) / (self.error_weight + PRIOR_WEIGHT);
        let distance = (x - self.mean_x).powi(2) / (self.square_x + SIZE_PRIOR);
        (variance * (1.0 + 1.0 / self.weight + distance)).sqrt()
    }
}
