//! The tokens that this VM may spend for each workspace, and its retries to each service.
//!
//! A VM spends tokens from its floor, which needs no leader, and from the workspace's pool up to
//! the ceiling that the leader grants.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bamboocourse_decide::{
    Admission, AdmitError, FastMap, Fence, FleetConfig, FleetWorkspace, FloorHistory, FormerFloor,
    Limit, RetryLimit, ServiceId, TokenSpender, Tokens, WindowedRetryBudget, WorkspaceId,
};
use log::info;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use crate::edge::clock::boot_now;
use crate::edge::timeout::timeout_at;
use crate::process::asks::{OpenAsk, PermitNeeds, RELAY_RETRY_DELAY, RelayRequest};
use crate::process::roster::RosterView;
use crate::process::settings::Bounds;
use crate::wire::{Ceiling, FloorSpend, Refund, Spend};

/// Why tokens are refused, with the time after which the caller may retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TokensRefused {
    /// The workspace's limit is used.
    Exhausted(Duration),
    /// Nobody can be reached who knows what is left of the limit.
    Unavailable(Duration),
}

/// Tokens that were admitted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TokenGrant {
    admission: Admission,
    /// Whether a relay granted them.
    asked: bool,
}

/// This VM's token quotas and retry budgets.
///
/// A relay admits tokens itself, also those of the requests of other VMs; the others ask a relay.
#[derive(Debug)]
pub(crate) struct Quotas {
    state: Mutex<State>,
    roster: Arc<RosterView>,
    relay_requests: mpsc::UnboundedSender<RelayRequest>,
    bounds: Bounds,
    started: Duration,
    /// From when floors may be used without knowing what a former process of this VM spent: all of
    /// that has left the quota window by then.
    floors_from: Duration,
    /// From when the slack of retry budgets may be used: a former process's retries have left the
    /// window by then.
    retry_slack_from: Duration,
    /// Notified when ceilings were set or floors were restored.
    pub(crate) granted: Notify,
    /// Notified when a request waits for a higher ceiling, or the process closes.
    pub(crate) shortage: Notify,
}

#[derive(Debug)]
struct State {
    spenders: FastMap<WorkspaceId, TokenSpender>,
    limits: FastMap<WorkspaceId, Limit>,
    retry_budgets: FastMap<ServiceId, WindowedRetryBudget>,
    /// This VM's share of all floors, in millionths.
    floor_weight: u64,
    /// How many VMs share the retry budgets.
    vms: usize,
    /// The spent tokens that were last reported for each workspace.
    reported: FastMap<WorkspaceId, Tokens>,
    /// When all workspaces were last reported.
    last_full: Duration,
    /// When the spending of floors was last reported.
    last_floors: Duration,
    /// Whether floors were restored, or a leader can grant tokens of every workspace.
    can_grant: bool,
    /// What the lease's row records as spent of the floors by the former process, and when.
    former: Option<(FloorHistory, Duration)>,
    /// Whether the process shuts down and spends nothing any more.
    closed: bool,
}

/// How long a request waits for the leader's answer to its relay's ask for a permit: a few round trips
/// between failure domains.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(100);
/// How often all workspaces are reported, including unchanged ones, whose ceilings would otherwise
/// expire.
const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// How often the spending of floors is reported: a new process assumes the most that can be spent
/// since the last report.
const FLOOR_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// When callers that a closed process refuses may retry; another VM serves the retry.
const CLOSED_RETRY_DELAY: Duration = Duration::from_millis(200);
/// The number of VMs assumed to share a retry budget until the leader tells the number.
const DEFAULT_VMS: usize = 12;

/// Returns a workspace's token limit, if the workspace has one.
pub(crate) fn limit_of(workspace: &FleetWorkspace, bounds: &Bounds) -> Option<Limit> {
    (workspace.rate > 0.0).then_some(Limit {
        rate: workspace.rate,
        burst: workspace.burst,
        window: bounds.quota_window,
        excess: bounds.quota_excess,
        slack: bounds.quota_slack,
    })
}

/// Counts a request's tokens as waiting for a higher ceiling until this is dropped.
struct WaitingTokens<'a> {
    quotas: &'a Quotas,
    workspace: &'a WorkspaceId,
    tokens: Tokens,
}

impl Drop for WaitingTokens<'_> {
    fn drop(&mut self) {
        if let Some(spender) = self.quotas.state().spenders.get_mut(self.workspace) {
            spender.remove_waiting(self.tokens);
        }
    }
}

impl Quotas {
    /// Creates quotas without a configuration; asks for tokens go through `relay_requests`.
    ///
    /// `first_start` says that no former process of this VM can have spent anything.
    pub(crate) fn new(
        bounds: Bounds,
        first_start: bool,
        roster: Arc<RosterView>,
        relay_requests: mpsc::UnboundedSender<RelayRequest>,
    ) -> Self {
        let started = boot_now();
        let after = |window| if first_start { Duration::ZERO } else { started + window };
        let state = State {
            spenders: FastMap::default(),
            limits: FastMap::default(),
            retry_budgets: FastMap::default(),
            floor_weight: 0,
            vms: DEFAULT_VMS,
            reported: FastMap::default(),
            last_full: Duration::ZERO,
            last_floors: Duration::ZERO,
            can_grant: false,
            former: None,
            closed: false,
        };
        Self {
            state: Mutex::new(state),
            roster,
            relay_requests,
            bounds,
            started,
            floors_from: after(bounds.quota_window),
            retry_slack_from: after(bounds.retries.window),
            granted: Notify::new(),
            shortage: Notify::new(),
        }
    }

    /// Applies the limits of a configuration.
    pub(crate) fn apply_config(&self, fleet: &FleetConfig) {
        let mut state = self.state();
        let limits: FastMap<WorkspaceId, Limit> = fleet
            .workspaces
            .iter()
            .filter_map(|workspace| {
                Some((workspace.name.clone(), limit_of(workspace, &self.bounds)?))
            })
            .collect();
        state.spenders.retain(|name, _| limits.contains_key(name));
        let weight = state.floor_weight;
        let former = state.former.clone();
        for (name, limit) in &limits {
            match state.spenders.get_mut(name) {
                Some(spender) => spender.set_limit(*limit, weight),
                None => {
                    let mut spender = TokenSpender::new(*limit, weight, self.floors_from);
                    if let Some((history, at)) = &former {
                        let now = boot_now();
                        let parts = history.parts(name);
                        spender
                            .restore_floor(&self.former_floor(parts, history.whole, *at, now), now);
                    }
                    state.spenders.insert(name.clone(), spender);
                }
            }
        }
        state.limits = limits;
    }

    /// Admits a request's tokens, waiting for them for at most `timeout`.
    ///
    /// A relay that is asked for them also passes on a permit by `permit`, if it has one.
    ///
    /// # Errors
    /// Returns why not, with the time after which the caller may retry.
    pub(crate) async fn admit(
        &self,
        workspace: &WorkspaceId,
        tokens: Tokens,
        permit: Option<PermitNeeds>,
        timeout: Duration,
    ) -> Result<TokenGrant, TokensRefused> {
        if self.is_relay() {
            let admission = self.admit_own(workspace, tokens, timeout).await?;
            return Ok(TokenGrant { admission, asked: false });
        }
        let until = Instant::now() + timeout;
        let (ask, answer) = OpenAsk::new(workspace.clone(), tokens, permit, until);
        // The receiver is gone only while the process shuts down.
        let _ = self.relay_requests.send(RelayRequest::Ask(ask));
        match timeout_at(until, answer).await {
            Ok(Ok(result)) => result.map(|admission| TokenGrant { admission, asked: true }),
            Ok(Err(_)) | Err(_) => Err(TokensRefused::Unavailable(RELAY_RETRY_DELAY)),
        }
    }

    /// Asks the leader for a permit, as a relay; it is at hand once this returns, if there is one.
    pub(crate) async fn ask_permit(&self, needs: PermitNeeds) {
        let until = Instant::now() + PERMIT_TIMEOUT;
        let (ask, answer) = OpenAsk::new(WorkspaceId::default(), 0, Some(needs), until);
        // The receiver is gone only while the process shuts down.
        let _ = self.relay_requests.send(RelayRequest::Ask(ask));
        // Without an answer, the request goes on without a permit.
        let _ = timeout_at(until, answer).await;
    }

    /// Admits tokens of another VM's request, as a relay.
    ///
    /// # Errors
    /// Returns why not, with the time after which the caller may retry.
    pub(crate) async fn admit_for_member(
        &self,
        workspace: &str,
        tokens: Tokens,
        timeout: Duration,
    ) -> Result<Admission, TokensRefused> {
        let known = self.state().spenders.contains_key(workspace);
        if !self.is_relay() || !known {
            return Err(TokensRefused::Unavailable(CLOSED_RETRY_DELAY));
        }
        self.admit_own(&WorkspaceId::new(workspace), tokens, timeout).await
    }

    /// Admits tokens from this VM's floor or ceiling.
    async fn admit_own(
        &self,
        workspace: &WorkspaceId,
        tokens: Tokens,
        timeout: Duration,
    ) -> Result<Admission, TokensRefused> {
        let until = Instant::now() + timeout;
        let mut waiting: Option<WaitingTokens> = None;
        loop {
            let granted = self.granted.notified();
            let (error, is_led) = {
                let mut state = self.state();
                if state.closed {
                    return Err(TokensRefused::Unavailable(CLOSED_RETRY_DELAY));
                }
                let Some(spender) = state.spenders.get_mut(workspace) else {
                    return Ok(Admission { floor: 0, pool: 0 });
                };
                let now = boot_now();
                let tried = match &waiting {
                    None => spender.admit(tokens, now),
                    Some(_) => spender.admit_waiting(tokens, now),
                };
                let error = match tried {
                    Ok(admission) => {
                        // Dropping `waiting` takes the lock.
                        drop(state);
                        return Ok(admission);
                    }
                    Err(error) => error,
                };
                if waiting.is_none() && matches!(error, AdmitError::Pending(_)) {
                    spender.add_waiting(tokens);
                    waiting = Some(WaitingTokens { quotas: self, workspace, tokens });
                }
                (error, spender.has_ceiling(now))
            };
            let after = match error {
                AdmitError::Exhausted(after) => return Err(TokensRefused::Exhausted(after)),
                AdmitError::Pending(after) => after,
            };
            self.shortage.notify_one();
            if timeout_at(until, granted).await.is_err() {
                return Err(if is_led {
                    TokensRefused::Exhausted(after)
                } else {
                    TokensRefused::Unavailable(after)
                });
            }
        }
    }

    /// Takes back the tokens of a request that was never sent.
    pub(crate) fn refund(&self, workspace: &WorkspaceId, grant: TokenGrant) {
        let pool = grant.admission.pool;
        if grant.asked && pool > 0 {
            let refund = Refund { workspace: workspace.to_string(), pool };
            // The receiver is gone only while the process shuts down.
            let _ = self.relay_requests.send(RelayRequest::Refund(refund));
        } else if !grant.asked {
            self.refund_own(workspace, pool);
        }
    }

    /// Takes back tokens from below this VM's ceiling.
    pub(crate) fn refund_own(&self, workspace: &str, pool: Tokens) {
        if let Some(spender) = self.state().spenders.get_mut(workspace) {
            spender.refund(Admission { floor: 0, pool });
        }
    }

    /// Returns whether this VM is a relay, which admits tokens itself.
    pub(crate) fn is_relay(&self) -> bool {
        self.roster.is_relay()
    }

    /// Returns the number of VMs that share the retry budgets.
    pub(crate) fn vms(&self) -> usize {
        self.state().vms
    }

    /// Applies the ceilings that a leader granted in reply to a report.
    ///
    /// `sent` is when the report was made, on this VM's boot clock.
    pub(crate) fn on_ceilings(&self, fence: Fence, ceilings: &[Ceiling], sent: Duration) {
        let now = boot_now();
        let mut state = self.state();
        for ceiling in ceilings {
            if let Some(spender) = state.spenders.get_mut(ceiling.workspace.as_str()) {
                spender.grant(fence, ceiling.tokens, ceiling.hungry, sent, now);
            }
        }
        drop(state);
        self.granted.notify_waiters();
    }

    /// Sets this VM's share of all floors, in millionths, and the number of VMs.
    ///
    /// `can_grant` says that the leader can grant tokens of every workspace.
    pub(crate) fn set_share(&self, weight: u64, vms: usize, can_grant: bool) {
        let mut state = self.state();
        state.vms = vms;
        state.can_grant |= can_grant;
        if state.floor_weight != weight {
            self.set_weight(&mut state, weight);
        }
    }

    /// Returns what was spent of the floors within the quota window, for a report to the leader.
    ///
    /// Empty if the last such report was made shortly before, or if the VM has no floors, or does not know yet what its former process spent: an empty
    /// report leaves the leader's record of the former process as it is.
    pub(crate) fn floor_spends(&self) -> Vec<FloorSpend> {
        let now = boot_now();
        let mut state = self.state();
        let due = state.closed || now >= state.last_floors + FLOOR_REPORT_INTERVAL;
        if state.floor_weight == 0
            || !due
            || !state.spenders.values().all(|spender| spender.is_floor_known(now))
        {
            return Vec::new();
        }
        state.last_floors = now;
        let spends = state.spenders.iter().map(|(name, spender)| FloorSpend {
            workspace: name.to_string(),
            parts: spender.floor_parts(now),
        });
        spends.collect()
    }

    /// Applies what the former process of this VM had spent of its floors, as the leader knows it.
    ///
    /// `is_final` says that the former process spent nothing after this report, `age` how long ago
    /// the report was made.
    pub(crate) fn on_former_spend(&self, spends: &[FloorSpend], is_final: bool, age: Duration) {
        let now = boot_now();
        let at = now.saturating_sub(age);
        let mut state = self.state();
        for spend in spends {
            if let Some(spender) = state.spenders.get_mut(spend.workspace.as_str()) {
                spender
                    .restore_floor(&self.former_floor(spend.parts.clone(), is_final, at, now), now);
            }
        }
    }

    /// Restores this VM's floors and what its former process spent of them from the lease's row, so
    /// that the floors may be used before a leader replies.
    pub(crate) fn restore_floors(&self, weight: u64, history: FloorHistory, at: Duration) {
        let now = boot_now();
        let mut state = self.state();
        if state.former.is_some() || weight == 0 {
            return;
        }
        info!(weight, age_ms = now.saturating_sub(at).as_millis() as u64, whole = history.whole;
            "this VM's floors are restored from the lease's row");
        let weight = weight.max(state.floor_weight);
        self.set_weight(&mut state, weight);
        for (name, spender) in &mut state.spenders {
            spender.restore_floor(
                &self.former_floor(history.parts(name), history.whole, at, now),
                now,
            );
        }
        state.former = Some((history, at));
        state.can_grant = true;
        drop(state);
        self.granted.notify_waiters();
    }

    /// Returns what the former process, which ended before this one started, had spent of one floor
    /// by the time `at`.
    fn former_floor(
        &self,
        parts: Vec<Tokens>,
        is_final: bool,
        at: Duration,
        now: Duration,
    ) -> FormerFloor {
        let (age, alive_for) = (now.saturating_sub(at), self.started.saturating_sub(at));
        FormerFloor { parts, is_final, age, alive_for }
    }

    /// Sets this VM's share of all floors, in millionths, and resizes the floors.
    fn set_weight(&self, state: &mut State, weight: u64) {
        state.floor_weight = weight;
        let State { spenders, limits, .. } = state;
        for (name, spender) in spenders {
            if let Some(limit) = limits.get(name) {
                spender.set_limit(*limit, weight);
            }
        }
    }

    /// Returns how many tokens requests of all workspaces asked for in the last second.
    pub(crate) fn asked_tokens(&self) -> Tokens {
        let now = boot_now();
        self.state().spenders.values_mut().map(|spender| spender.demand(now)).sum()
    }

    /// Stops all spending and triggers a last report, so that the VM's next process knows what its
    /// floors have left.
    pub(crate) fn close(&self) {
        self.state().closed = true;
        self.shortage.notify_one();
    }

    /// Returns whether the quotas are closed and all that was spent of the floors is known.
    pub(crate) fn is_settled(&self) -> bool {
        let now = boot_now();
        let state = self.state();
        state.closed && state.spenders.values().all(|spender| spender.is_floor_known(now))
    }

    /// Returns whether tokens can be spent: from restored floors, or granted by a leader.
    pub(crate) fn can_grant(&self) -> bool {
        self.state().can_grant
    }

    /// Returns the spending to report to the leader, of workspaces where the spending changed or
    /// tokens are wanted.
    ///
    /// `full` reports all workspaces, with what each spent within the window, for a new leader.
    pub(crate) fn spend_reports(&self, full: bool) -> Vec<Spend> {
        let now = boot_now();
        let mut state = self.state();
        let full = full || now >= state.last_full + FULL_REPORT_INTERVAL;
        if full {
            state.last_full = now;
        }
        let State { spenders, reported, closed, .. } = &mut *state;
        let spends = spenders.iter_mut().filter_map(|(name, spender)| {
            let mut report = spender.report(now);
            report.is_final = *closed;
            if !full && report.wanted == 0 && reported.get(name) == Some(&report.spent) {
                return None;
            }
            reported.insert(name.clone(), report.spent);
            Some(Spend {
                workspace: name.to_string(),
                spent: report.spent,
                returned: report.returned,
                wanted: report.wanted,
                ceiling: report.ceiling,
                recent: if full { report.recent } else { Vec::new() },
                known: report.grant_age.as_millis() as u64,
                waiting: report.waiting,
                last: report.is_final,
            })
        });
        spends.collect()
    }

    /// Counts the first attempt of a request to a service.
    pub(crate) fn on_request(&self, service: &ServiceId) {
        let limit = self.bounds.retries;
        self.state().retry_budget(service, limit, self.retry_slack_from).on_request(boot_now());
    }

    /// Takes one retry from a service's budget; returns whether the budget had one left.
    pub(crate) fn take_retry(&self, service: &ServiceId) -> bool {
        let limit = self.bounds.retries;
        let mut state = self.state();
        let vms = state.vms;
        state.retry_budget(service, limit, self.retry_slack_from).take(vms, boot_now())
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns a service's retry budget, which is made at its first use.
    fn retry_budget(
        &mut self,
        service: &ServiceId,
        limit: RetryLimit,
        slack_from: Duration,
    ) -> &mut WindowedRetryBudget {
        self.retry_budgets
            .entry(service.clone())
            .or_insert_with(|| WindowedRetryBudget::new(limit, slack_from))
    }
}
