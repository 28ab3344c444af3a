//! One VM's spending of a workspace's tokens, from its floor and below its ceiling.

use std::time::Duration;

use super::floors::FLOOR_TERM;
use super::{CEILING_TERM, HISTORY_PARTS, Limit, PARTS_PER_MILLION};
use crate::ids::{Fence, Tokens};
use crate::process::sliding_window::SlidingWindow;

/// The time over which demand is measured.
const DEMAND_SPAN: Duration = Duration::from_secs(1);
/// The shortest time after which a refused request may be retried.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The longest time after which a refused request may be retried.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);
/// The share of a floor that is spent before the pool, in millionths.
///
/// The rest of the floor bridges the time without a leader, when callers of other domains come as
/// well; the share that goes first leaves room in the pool for VMs that were killed.
const FIRST_FLOOR_PPM: u64 = 200_000;
/// The time in which a VM may spend its floor divided by [`FLOOR_RATE_DIVISOR`].
///
/// A new process can tell from this rate how much of the floor the former process may have spent
/// since its last report.
const FLOOR_RATE_SPAN: Duration = Duration::from_millis(500);
/// The floor divided by this may be spent in each [`FLOOR_RATE_SPAN`]: all of it in six seconds,
/// which is a little faster than the usual demand of a workspace.
const FLOOR_RATE_DIVISOR: Tokens = 12;
/// The least that may be spent of a floor in [`FLOOR_RATE_SPAN`], if the floor holds it: the tokens
/// of a large request.
const MIN_FLOOR_RATE_TOKENS: Tokens = 2_000;
/// How many seconds of its demand a VM keeps of its ceiling; the rest goes back to the pool.
const KEPT_DEMAND_SECONDS: Tokens = 2;

/// Why tokens were not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmitError {
    /// The limit leaves no tokens for now; a caller may retry after this time.
    Exhausted(Duration),
    /// The leader may grant more tokens within moments; otherwise a caller may retry after this
    /// time.
    Pending(Duration),
}

/// The source of admitted tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Admission {
    /// Tokens from the VM's floor.
    pub floor: Tokens,
    /// Tokens from the pool, below the VM's ceiling.
    pub pool: Tokens,
}

/// A VM's report to the leader about its tokens of one workspace.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct SpendReport {
    /// Tokens from the pool that were spent or returned unused since the VM's process started.
    pub spent: Tokens,
    /// Tokens among `spent` that were returned unused.
    pub returned: Tokens,
    /// The VM's ceiling at present, counted like `spent`.
    pub ceiling: Tokens,
    /// Tokens from the pool that were spent recently, by parts of the window, newest first.
    ///
    /// Empty until the VM's process has got its first ceiling.
    pub recent: Vec<Tokens>,
    /// The time since the VM's process got its first ceiling.
    pub grant_age: Duration,
    /// Tokens asked for in the last second, beyond those from the first part of the floor.
    pub wanted: Tokens,
    /// Tokens of requests that wait for a higher ceiling.
    pub waiting: Tokens,
    /// Whether this is the last report of a process that ends and spends no more.
    pub is_final: bool,
}

/// What a former process of a VM had spent of one floor, as recorded.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct FormerFloor {
    /// Tokens by parts of the window, newest first.
    pub parts: Vec<Tokens>,
    /// Whether this was the process's last report, so that it spent nothing after it.
    pub is_final: bool,
    /// The time since that report.
    pub age: Duration,
    /// How long after the report the process may have gone on spending.
    pub alive_for: Duration,
}

/// One VM's tokens of one workspace.
#[derive(Debug, Clone)]
pub struct TokenSpender {
    limit: Limit,
    /// Tokens of the floor in one window.
    floor: Tokens,
    /// The time from which the floor may be used: one window after a restart.
    floor_from: Duration,
    /// The time until which the floor may be used without a further reply from the leader.
    floor_until: Duration,
    floor_used: SlidingWindow,
    /// Tokens spent of the floor in the last [`FLOOR_RATE_SPAN`].
    floor_recent: SlidingWindow,
    /// Tokens from the pool that were spent or returned unused since the process started.
    spent: Tokens,
    returned: Tokens,
    /// Tokens spent from the pool in the window.
    recent: SlidingWindow,
    ceiling: Tokens,
    ceiling_until: Duration,
    fence: Fence,
    /// The time of the first ceiling.
    first_grant: Option<Duration>,
    /// Tokens asked for, beyond those from the first part of the floor.
    pool_demand: SlidingWindow,
    /// Tokens asked for, from the floor or the pool.
    demand: SlidingWindow,
    /// Tokens of requests that wait for a higher ceiling.
    waiting: Tokens,
    exhausted: bool,
}

impl TokenSpender {
    /// Creates a spender whose floor may be used from a time on.
    ///
    /// `weight` is the VM's weight of all floors, in millionths.
    ///
    /// ```
    /// use bamboocourse_decide::{Limit, TokenSpender};
    /// use std::time::Duration;
    /// let window = Duration::from_secs(8);
    /// let limit = Limit { rate: 1e3, burst: 1e3, window, excess: 0.0, slack: 0 };
    /// let mut spender = TokenSpender::new(limit, 1_000_000, Duration::ZERO);
    /// spender.grant(1, 0, false, Duration::ZERO, Duration::ZERO);
    /// assert!(spender.admit(10, Duration::ZERO).is_ok());
    /// assert!(spender.admit(10_000, Duration::ZERO).is_err());
    /// ```
    pub fn new(limit: Limit, weight: u64, floor_from: Duration) -> Self {
        let mut spender = Self {
            limit,
            floor: 0,
            floor_from,
            floor_until: Duration::ZERO,
            floor_used: SlidingWindow::new(limit.window),
            floor_recent: SlidingWindow::new(FLOOR_RATE_SPAN),
            spent: 0,
            returned: 0,
            recent: SlidingWindow::new(limit.window),
            ceiling: 0,
            ceiling_until: Duration::ZERO,
            fence: 0,
            first_grant: None,
            pool_demand: SlidingWindow::new(DEMAND_SPAN),
            demand: SlidingWindow::new(DEMAND_SPAN),
            waiting: 0,
            exhausted: false,
        };
        spender.set_limit(limit, weight);
        spender
    }

    /// Sets the limit and this VM's weight of all floors, in millionths.
    pub fn set_limit(&mut self, limit: Limit, weight: u64) {
        self.limit = limit;
        self.floor = limit.floor_tokens() * weight / PARTS_PER_MILLION;
    }

    /// Admits a request's tokens, all from the floor or all from the pool.
    ///
    /// The first part of the floor is spent first, then the pool, then the rest of the floor.
    ///
    /// # Errors
    /// Returns [`AdmitError`] if neither has enough tokens left.
    pub fn admit(&mut self, tokens: Tokens, now: Duration) -> Result<Admission, AdmitError> {
        self.demand.add(now, tokens);
        self.try_admit(tokens, true, now)
    }

    /// Counts a request that was not admitted as waiting, until [`Self::remove_waiting`].
    pub fn add_waiting(&mut self, tokens: Tokens) {
        self.waiting += tokens;
    }

    /// No longer counts a request as waiting.
    pub fn remove_waiting(&mut self, tokens: Tokens) {
        self.waiting = self.waiting.saturating_sub(tokens);
    }

    /// Tries again to admit the tokens of a waiting request, without counting them as new demand.
    ///
    /// # Errors
    /// Returns [`AdmitError`] if neither the floor nor the pool has enough tokens left.
    pub fn admit_waiting(
        &mut self,
        tokens: Tokens,
        now: Duration,
    ) -> Result<Admission, AdmitError> {
        self.try_admit(tokens, false, now)
    }

    /// Admits tokens from the first part of the floor, the pool or the rest of the floor.
    fn try_admit(
        &mut self,
        tokens: Tokens,
        is_new: bool,
        now: Duration,
    ) -> Result<Admission, AdmitError> {
        let first_part = self.floor * FIRST_FLOOR_PPM / PARTS_PER_MILLION;
        if let Some(admitted) = self.admit_floor(tokens, first_part, now) {
            return Ok(admitted);
        }
        if is_new {
            self.pool_demand.add(now, tokens);
        }
        if now < self.ceiling_until && self.spent + tokens <= self.ceiling {
            self.spent += tokens;
            self.recent.add(now, tokens);
            return Ok(Admission { floor: 0, pool: tokens });
        }
        if let Some(admitted) = self.admit_floor(tokens, self.floor, now) {
            return Ok(admitted);
        }
        let delay = self.retry_delay(tokens, now);
        let exhausted = now < self.ceiling_until && self.exhausted;
        Err(if exhausted { AdmitError::Exhausted(delay) } else { AdmitError::Pending(delay) })
    }

    /// Takes tokens from the floor, if no more than `max` of it is spent within the window.
    fn admit_floor(&mut self, tokens: Tokens, max: Tokens, now: Duration) -> Option<Admission> {
        let usable = now >= self.floor_from && now < self.floor_until;
        if !usable
            || self.floor_used.total(now) + tokens > max
            || self.floor_recent.total(now) + tokens > self.floor_rate()
        {
            return None;
        }
        self.floor_used.add(now, tokens);
        self.floor_recent.add(now, tokens);
        Some(Admission { floor: tokens, pool: 0 })
    }

    /// Undoes the admission of a request that was never sent, as far as its tokens are from the
    /// pool.
    pub fn refund(&mut self, admitted: Admission) {
        // Only the pool takes tokens back: a floor's window does not record the bucket of each
        // request's tokens.
        self.spent = self.spent.saturating_sub(admitted.pool);
    }

    /// Sets the ceiling of the leader's reply to the report that was sent at the time `sent`.
    ///
    /// `exhausted` says that the pool could not give what was asked for. A reply of a former
    /// leader, with a lower `fence`, is ignored.
    pub fn grant(
        &mut self,
        fence: Fence,
        ceiling: Tokens,
        exhausted: bool,
        sent: Duration,
        now: Duration,
    ) {
        if fence < self.fence {
            return;
        }
        self.first_grant.get_or_insert(now);
        self.fence = fence;
        self.ceiling = ceiling;
        self.exhausted = exhausted;
        self.ceiling_until = sent + CEILING_TERM;
        self.floor_until = sent + FLOOR_TERM;
    }

    /// Returns whether a leader's ceiling is in force.
    pub fn has_ceiling(&self, now: Duration) -> bool {
        now < self.ceiling_until
    }

    /// Returns the tokens spent of the floor recently, by parts of the window, newest first.
    pub fn floor_parts(&self, now: Duration) -> Vec<Tokens> {
        self.floor_used.parts(self.limit.window / HISTORY_PARTS, HISTORY_PARTS, now)
    }

    /// Returns whether all spending of the floor within the window is known, also by former
    /// processes.
    pub fn is_floor_known(&self, now: Duration) -> bool {
        now >= self.floor_from
    }

    /// Adds what a former process had spent of the floor, and opens the floor for use.
    ///
    /// Tokens that the process may have spent after its report count as if they were spent now.
    pub fn restore_floor(&mut self, former: &FormerFloor, now: Duration) {
        if now >= self.floor_from || self.floor == 0 {
            return;
        }
        let FormerFloor { parts, is_final, age, alive_for } = former;
        let part = self.limit.window / HISTORY_PARTS;
        let mut window = SlidingWindow::new(self.limit.window);
        for (index, tokens) in parts.iter().enumerate().rev() {
            window.add(now.saturating_sub(*age + part * index as u32), *tokens);
        }
        if !is_final {
            let left = self.floor.saturating_sub(window.total(now));
            // Two more spans: the span that had begun at the report, and a span of a process that
            // started and ended in between.
            let spans = alive_for.as_millis() / FLOOR_RATE_SPAN.as_millis() + 2;
            window.add(now, left.min(self.floor_rate() * spans as u64));
        }
        self.floor_used = window;
        self.floor_from = now;
        self.floor_until = self.floor_until.max((now + FLOOR_TERM).saturating_sub(*age));
    }

    /// Returns the most tokens that may be spent of the floor in [`FLOOR_RATE_SPAN`].
    fn floor_rate(&self) -> Tokens {
        (self.floor / FLOOR_RATE_DIVISOR).max(MIN_FLOOR_RATE_TOKENS.min(self.floor))
    }

    /// Returns the tokens asked for in the last second, from the floor or the pool.
    pub fn demand(&mut self, now: Duration) -> Tokens {
        self.demand.total(now)
    }

    /// Gives unused tokens of the ceiling back to the pool, and returns the report for the leader.
    pub fn report(&mut self, now: Duration) -> SpendReport {
        let wanted = self.pool_demand.total(now);
        let ceiling = if now < self.ceiling_until { self.ceiling } else { self.spent };
        // No other VM can use what an idle VM holds.
        let kept = (wanted * KEPT_DEMAND_SECONDS).max(self.waiting);
        let surplus = ceiling.saturating_sub(self.spent).saturating_sub(kept);
        self.spent += surplus;
        self.returned += surplus;
        let part = self.limit.window / HISTORY_PARTS;
        let recent = match self.first_grant {
            Some(_) => self.recent.parts(part, HISTORY_PARTS, now),
            None => Vec::new(),
        };
        let grant_age = self.first_grant.map_or(Duration::ZERO, |first| now.saturating_sub(first));
        let Self { spent, returned, waiting, .. } = *self;
        SpendReport {
            spent,
            returned,
            ceiling,
            recent,
            grant_age,
            wanted,
            waiting,
            is_final: false,
        }
    }

    /// Returns the time after which a refused request may be retried: until the floor has room for
    /// the tokens, but at least [`MIN_RETRY_DELAY`] and at most [`MAX_RETRY_DELAY`].
    fn retry_delay(&mut self, tokens: Tokens, now: Duration) -> Duration {
        let max = self.floor.saturating_sub(tokens);
        let wait = self.floor_used.time_to_fall(max, now).unwrap_or(MIN_RETRY_DELAY);
        wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    }
}
