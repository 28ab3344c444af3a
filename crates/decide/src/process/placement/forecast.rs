//! Forecasts the demand for one model from its recent past.

use std::time::Duration;

/// Time constant of the fast average and of the deviation.
const FAST_SPAN: Duration = Duration::from_secs(60);
/// Time constant of the slow average.
const SLOW_SPAN: Duration = Duration::from_secs(600);
/// How far ahead a rising trend is extrapolated, in seconds.
const FORECAST_SECONDS: f64 = 120.0;
/// Multiple of the mean deviation that is added to the estimate for uncertainty.
const DEVIATION_RATIO: f64 = 1.0;

/// A forecast by two exponential averages, whose difference is the trend, and the mean deviation.
#[derive(Debug, Clone, Default)]
pub struct Forecast {
    fast: f64,
    slow: f64,
    /// Average deviation of the observations from the fast average.
    deviation: f64,
    /// When the last observation was made.
    updated: Option<Duration>,
}

impl Forecast {
    /// Adds an observation of the demand, in any unit.
    pub fn observe(&mut self, demand: f64, now: Duration) {
        let Some(last) = self.updated.replace(now) else {
            self.fast = demand;
            self.slow = demand;
            return;
        };
        let elapsed = now.saturating_sub(last).as_secs_f64();
        let error = (demand - self.fast).abs();
        update_average(&mut self.fast, demand, elapsed, FAST_SPAN);
        update_average(&mut self.slow, demand, elapsed, SLOW_SPAN);
        update_average(&mut self.deviation, error, elapsed, FAST_SPAN);
    }

    /// Returns the demand to plan for, in the unit of the observations.
    ///
    /// The estimate extrapolates a rise two minutes ahead, is at least half of the slow average, and
    /// adds the mean deviation.
    ///
    /// ```
    /// use bamboocourse_decide::Forecast;
    /// use std::time::Duration;
    /// let mut forecast = Forecast::default();
    /// forecast.observe(10.0, Duration::ZERO);
    /// assert_eq!(forecast.estimate(), 10.0);
    /// ```
    pub fn estimate(&self) -> f64 {
        let span = (SLOW_SPAN - FAST_SPAN).as_secs_f64();
        let trend = (self.fast - self.slow) / span;
        let ahead = self.fast + trend.max(0.0) * FORECAST_SECONDS;
        ahead.max(self.slow * 0.5) + DEVIATION_RATIO * self.deviation
    }
}

/// Moves an exponential average with the time constant `span` towards a sample.
fn update_average(value: &mut f64, sample: f64, elapsed: f64, span: Duration) {
    let weight = 1.0 - (-elapsed / span.as_secs_f64()).exp();
    *value += (sample - *value) * weight;
}
