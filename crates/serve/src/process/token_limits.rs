//! The token accounts of all workspaces, their waiting requests and their messages to other VMs.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bamboocourse_decide::{
    Action, CompiledConfig, FastMap, Incarnation, LoanGrant, LoanRequest, MicroTokens, Reservation,
    Ticket, TokenAccount, Tokens, VmId, Weight, WeightChange, WorkspaceId, hash_of,
};
use tokio::sync::oneshot;

use crate::process::vm::AppState;
use crate::wire::{Body, convert};

/// The number of locks that the accounts are spread over, a power of two.
const SHARDS: usize = 16;

/// How often waiting requests and loans are checked.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// The reserved tokens, or the time after which a request may be sent again.
type AdmitResult = Result<Reservation, Duration>;

/// The token accounts of all workspaces, spread over several locks.
#[derive(Debug)]
pub(crate) struct TokenLimits {
    life: Incarnation,
    shards: Vec<Mutex<Shard>>,
    tickets: AtomicU64,
}

#[derive(Debug, Default)]
struct Shard {
    accounts: FastMap<WorkspaceId, TokenAccount>,
    waiting: FastMap<Ticket, oneshot::Sender<AdmitResult>>,
}

/// A loan request for a workspace's tokens, with the VM that receives it.
type OutgoingRequest = (VmId, WorkspaceId, LoanRequest);

/// The state of one account, as `status` shows it.
#[derive(Debug, serde::Serialize)]
pub(crate) struct AccountStatus {
    pub(crate) workspace: WorkspaceId,
    /// This VM's part of the workspace's limit, in millionths.
    pub(crate) weight: Weight,
    /// The tokens that a request could get at once.
    pub(crate) available: Tokens,
    /// The tokens a second that callers request.
    pub(crate) demand: u64,
    /// The number of waiting requests.
    pub(crate) waiting: usize,
    /// The number of VMs with open loans from this one.
    pub(crate) debtors: usize,
}

impl TokenLimits {
    pub(crate) fn new(life: Incarnation) -> Self {
        let shards = (0..SHARDS).map(|_| Mutex::default()).collect();
        Self { life, shards, tickets: AtomicU64::new(1) }
    }

    fn lock_shard(&self, workspace: &WorkspaceId) -> MutexGuard<'_, Shard> {
        let index = hash_of(workspace) as usize >> 7 & (SHARDS - 1);
        self.shards[index].lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the shards one after the other.
    fn lock_each(&self) -> impl Iterator<Item = MutexGuard<'_, Shard>> {
        self.shards.iter().map(|shard| shard.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Applies the limits of a new configuration and drops the accounts of removed workspaces.
    pub(crate) fn apply_config(&self, config: &CompiledConfig, now: Duration) {
        for mut shard in self.lock_each() {
            shard.accounts.retain(|name, _| config.config.workspaces.contains_key(name));
        }
        for (name, workspace) in &config.config.workspaces {
            let mut shard = self.lock_shard(name);
            let life = self.life;
            let new = || TokenAccount::new(life, workspace.rate, workspace.burst);
            let account = shard.accounts.entry(name.clone()).or_insert_with(new);
            account.set_limit(workspace.rate, workspace.burst, now);
        }
    }

    /// Reserves tokens, waiting up to `wait` until there are enough.
    ///
    /// Fails with the time after which the request may be sent again.
    pub(crate) async fn admit(
        &self,
        shared: &Arc<AppState>,
        workspace: &WorkspaceId,
        tokens: Tokens,
        wait: Duration,
    ) -> Result<TokenGuard, Duration> {
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        let now = shared.now();
        let outgoing = {
            let mut shard = self.lock_shard(workspace);
            shard.waiting.insert(ticket, sender);
            let Some(account) = shard.accounts.get_mut(workspace) else {
                shard.waiting.remove(&ticket);
                return Err(wait);
            };
            account.request(ticket, tokens, now + wait, now);
            shard.run_actions(workspace, now)
        };
        send_requests(shared, outgoing);
        let mut guard = CancelOnDrop { shared, workspace, ticket: Some(ticket) };
        let result = receiver.await;
        guard.ticket = None;
        match result {
            Ok(Ok(reservation)) => Ok(TokenGuard {
                shared: shared.clone(),
                workspace: workspace.clone(),
                reservation: Some(reservation),
                tokens,
                used: 0,
            }),
            Ok(Err(retry_after)) => Err(retry_after),
            Err(_) => Err(wait),
        }
    }

    /// Handles another VM's loan request and returns the reply; `None` if the workspace is unknown.
    pub(crate) fn on_loan_request(
        &self,
        workspace: &WorkspaceId,
        from: &VmId,
        request: &LoanRequest,
        same_domain: bool,
        now: Duration,
    ) -> Option<LoanGrant> {
        self.lock_shard(workspace).accounts.get_mut(workspace)?.on_loan_request(
            from,
            request,
            same_domain,
            now,
        )
    }

    /// Handles a lender's reply.
    pub(crate) fn on_loan_grant(
        &self,
        shared: &Arc<AppState>,
        workspace: &WorkspaceId,
        from: &VmId,
        grant: &LoanGrant,
    ) {
        let now = shared.now();
        let outgoing = {
            let mut shard = self.lock_shard(workspace);
            let Some(account) = shard.accounts.get_mut(workspace) else { return };
            account.on_loan_grant(from, grant, now);
            shard.run_actions(workspace, now)
        };
        send_requests(shared, outgoing);
    }

    /// Advances every account that has waiting requests or loans.
    pub(crate) fn tick(&self, shared: &Arc<AppState>) {
        let now = shared.now();
        for mut shard in self.lock_each() {
            let active: Vec<WorkspaceId> = shard
                .accounts
                .iter()
                .filter(|(_, account)| account.is_active())
                .map(|(name, _)| name.clone())
                .collect();
            for workspace in active {
                if let Some(account) = shard.accounts.get_mut(&workspace) {
                    account.tick(now);
                }
                let outgoing = shard.run_actions(&workspace, now);
                send_requests(shared, outgoing);
            }
        }
    }

    /// Sets the VMs that a workspace's tokens are borrowed from, nearest first.
    pub(crate) fn set_lenders(&self, workspace: &WorkspaceId, lenders: Vec<VmId>) {
        if let Some(account) = self.lock_shard(workspace).accounts.get_mut(workspace) {
            account.set_lenders(lenders);
        }
    }

    /// Applies a change of this VM's weight that the table has confirmed.
    pub(crate) fn apply_change(&self, change: &WeightChange, now: Duration) {
        let mut shard = self.lock_shard(&change.workspace);
        let Some(account) = shard.accounts.get_mut(&change.workspace) else { return };
        if change.reset {
            account.reset(now);
        }
        account.set_weight(change.weight, change.tokens, change.valid, now);
    }

    /// Lowers this VM's weight in a workspace's limit and returns the tokens that belonged to the
    /// difference.
    pub(crate) fn lower_weight(
        &self,
        workspace: &WorkspaceId,
        weight: Weight,
        now: Duration,
    ) -> MicroTokens {
        let mut shard = self.lock_shard(workspace);
        shard.accounts.get_mut(workspace).map_or(0, |account| account.lower_weight(weight, now))
    }

    /// Returns the tokens a second that callers request, for each workspace with any.
    pub(crate) fn demand(&self, now: Duration) -> Vec<(WorkspaceId, u64)> {
        let mut demands = Vec::new();
        for shard in self.lock_each() {
            for (name, account) in &shard.accounts {
                let demand = account.demand(now) as u64;
                if demand > 0 {
                    demands.push((name.clone(), demand));
                }
            }
        }
        demands
    }

    /// Returns the state of all accounts, ordered by workspace.
    pub(crate) fn status(&self, now: Duration) -> Vec<AccountStatus> {
        let mut rows = Vec::new();
        for shard in self.lock_each() {
            for (name, account) in &shard.accounts {
                rows.push(AccountStatus {
                    workspace: name.clone(),
                    weight: account.weight(),
                    available: account.available(now),
                    demand: account.demand(now) as u64,
                    waiting: account.waiting(),
                    debtors: account.borrowers(),
                });
            }
        }
        rows.sort_by(|a, b| a.workspace.cmp(&b.workspace));
        rows
    }

    fn finish(
        &self,
        shared: &Arc<AppState>,
        workspace: &WorkspaceId,
        reservation: Reservation,
        used: Tokens,
    ) {
        let now = shared.now();
        let outgoing = {
            let mut shard = self.lock_shard(workspace);
            let Some(account) = shard.accounts.get_mut(workspace) else { return };
            account.finish(reservation, used, now);
            shard.run_actions(workspace, now)
        };
        send_requests(shared, outgoing);
    }

    fn cancel(&self, workspace: &WorkspaceId, ticket: Ticket) {
        let mut shard = self.lock_shard(workspace);
        shard.waiting.remove(&ticket);
        if let Some(account) = shard.accounts.get_mut(workspace) {
            account.cancel(ticket);
        }
    }
}

impl Shard {
    /// Carries out an account's pending actions and returns the loan requests to send.
    fn run_actions(&mut self, workspace: &WorkspaceId, now: Duration) -> Vec<OutgoingRequest> {
        let mut outgoing = Vec::new();
        while let Some(account) = self.accounts.get_mut(workspace) {
            let actions = account.take_actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                match action {
                    Action::Admit(ticket, reservation) => {
                        self.complete(workspace, ticket, Ok(reservation), now)
                    }
                    Action::Refuse(ticket, retry_after) => {
                        self.complete(workspace, ticket, Err(retry_after), now);
                    }
                    Action::Send(vm, request) => outgoing.push((vm, workspace.clone(), request)),
                }
            }
        }
        outgoing
    }

    /// Passes a result to the request that waits for it.
    fn complete(
        &mut self,
        workspace: &WorkspaceId,
        ticket: Ticket,
        result: AdmitResult,
        now: Duration,
    ) {
        let undelivered = match self.waiting.remove(&ticket) {
            Some(sender) => sender.send(result).err(),
            None => Some(result),
        };
        // The request was cancelled, so its reserved tokens are given back.
        if let (Some(Ok(reservation)), Some(account)) =
            (undelivered, self.accounts.get_mut(workspace))
        {
            account.finish(reservation, 0, now);
        }
    }
}

fn send_requests(shared: &Arc<AppState>, outgoing: Vec<OutgoingRequest>) {
    for (vm, workspace, request) in outgoing {
        shared.peers.send(&vm, Body::Ask(convert::loan_request_to_message(&workspace, request)));
    }
}

/// Cancels a waiting request when its caller disconnects.
struct CancelOnDrop<'a> {
    shared: &'a Arc<AppState>,
    workspace: &'a WorkspaceId,
    ticket: Option<Ticket>,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.shared.limits.cancel(self.workspace, ticket);
        }
    }
}

/// Tokens reserved for a running request; dropping the guard gives the unused ones back.
#[derive(Debug)]
pub(crate) struct TokenGuard {
    shared: Arc<AppState>,
    workspace: WorkspaceId,
    /// `None` once the guard is dropped.
    reservation: Option<Reservation>,
    /// The tokens reserved.
    tokens: Tokens,
    /// The tokens used so far.
    used: Tokens,
}

impl TokenGuard {
    /// Sets the tokens used so far.
    pub(crate) fn set_used(&mut self, used: Tokens) {
        self.used = used;
    }
}

impl Drop for TokenGuard {
    fn drop(&mut self) {
        let Some(reservation) = self.reservation.take() else { return };
        if self.used > self.tokens {
            self.shared.metrics.overruns.add(1, &[]);
        }
        self.shared.metrics.count_tokens(&self.workspace, self.used);
        self.shared.limits.finish(&self.shared, &self.workspace, reservation, self.used);
    }
}
