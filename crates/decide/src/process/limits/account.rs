//! One workspace's tokens on one VM: its own bucket, the loans it gives and the loans it takes.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::{Incarnation, Tokens, VmId};
use crate::map::FastMap;
use crate::process::limits::bucket::{Bucket, Mark};
use crate::process::limits::lend::{Lender, LoanGrant, LoanRequest, Refund};
use crate::process::limits::{LOAN_MARGIN, LOAN_TERM, MicroTokens, Weight, to_micro_tokens};

/// The number of a waiting request, chosen by the owner of the account.
pub type Ticket = u64;

/// How long a borrower waits for the reply to a loan request before it sends it again.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// How often a loan request is sent again before the lender counts as silent.
const MAX_RETRIES: u32 = 2;
/// How long a silent lender gets no new request, and the time between further retries.
const SILENCE_DELAY: Duration = Duration::from_secs(3);
/// The shortest wait between two passes over all lenders.
const MIN_ROUND_DELAY: Duration = Duration::from_millis(20);
/// The longest wait between two passes over all lenders.
const MAX_ROUND_DELAY: Duration = Duration::from_millis(250);
/// How long borrowed tokens stay unused before a VM without waiting requests returns them.
const IDLE_RETURN_DELAY: Duration = Duration::from_secs(3);
/// How long after a lender's last reply spent tokens are reported to it, if no more are borrowed.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);
/// How often a VM with a weight of its own borrows ahead of need.
const TOP_UP_INTERVAL: Duration = Duration::from_secs(2);
/// How often a VM without a weight borrows ahead of need.
const PREFETCH_INTERVAL: Duration = Duration::from_millis(500);
/// For how many seconds of demand a VM borrows ahead of need.
const PREFETCH_SECONDS: f64 = 2.0;
/// How many seconds of its own demand a lender keeps from other domains.
const RESERVE_SECONDS: f64 = 0.5;
/// The averaging time of the demand that is borrowed for ahead of need, in seconds.
const FAST_DEMAND_SECONDS: f64 = 10.0;
/// The averaging time of the demand that weights follow, in seconds.
const SLOW_DEMAND_SECONDS: f64 = 60.0;
/// The shortest time after which a refused request may be retried.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The longest time after which a refused request may be retried.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);

/// Tokens reserved for one admitted request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    parts: Vec<Part>,
}

/// Tokens of a reservation from one source.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Part {
    amount: MicroTokens,
    source: Source,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Source {
    /// This VM's own bucket, and the mark to refund from.
    Own(Mark),
    /// A lender, the lender's process instance, and the number of the request that reports the
    /// tokens as spent.
    Loan(VmId, Incarnation, u64),
}

/// An action that the owner of the account must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Admit a waiting request.
    Admit(Ticket, Reservation),
    /// Refuse a waiting request, which may be retried after a time.
    Refuse(Ticket, Duration),
    /// Send a loan request to a VM.
    Send(VmId, LoanRequest),
}

/// One workspace's tokens on one VM.
#[derive(Debug)]
pub struct TokenAccount {
    life: Incarnation,
    rate: Tokens,
    burst: Tokens,
    weight: Weight,
    /// The time until which the weight may be used.
    valid_until: Duration,
    bucket: Bucket,
    lender: Lender,
    loans: FastMap<VmId, Loan>,
    lenders: Vec<VmId>,
    queue: VecDeque<Waiting>,
    round: Round,
    fast_demand: Demand,
    slow_demand: Demand,
    actions: Vec<Action>,
}

/// A request that waits for tokens.
#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    need: MicroTokens,
    deadline: Duration,
}

/// A loan from one lender.
#[derive(Debug, Default)]
struct Loan {
    life: Incarnation,
    /// Borrowed tokens that may be spent until `end`.
    unspent: MicroTokens,
    end: Duration,
    /// Borrowed tokens whose spending has not been reported.
    spent: MicroTokens,
    refunds: Vec<Refund>,
    /// The number of the last request.
    seq: u64,
    pending: Option<PendingRequest>,
    /// The time until which the lender gets no new request.
    silent_until: Duration,
    last_used: Duration,
    last_reply: Duration,
    /// The lender's refill by its last reply, in millionths of a token per second.
    rate: MicroTokens,
    /// How many VMs asked the lender for more than it had, by its last reply.
    contenders: u32,
    /// The tokens above half of the lender's burst by its last reply, in millionths.
    spare: MicroTokens,
}

/// A loan request whose reply is awaited.
#[derive(Debug)]
struct PendingRequest {
    request: LoanRequest,
    first_sent: Duration,
    last_sent: Duration,
    retries: u32,
}

/// A pass over the lenders on behalf of the head of the queue.
#[derive(Debug, Default)]
struct Round {
    order: Vec<VmId>,
    /// The index in `order` of the lender to ask next.
    next: usize,
    /// The time from which the next pass may begin.
    resume_at: Duration,
    /// The time from which the VM may borrow ahead of need again.
    prefetch_at: Duration,
}

/// A decaying average of the tokens asked for per second.
#[derive(Debug)]
struct Demand {
    /// The averaging time, in seconds.
    span: f64,
    rate: f64,
    updated: Duration,
}

impl TokenAccount {
    /// Creates an account without any weight.
    ///
    /// `rate` is in tokens per second, `burst` in tokens.
    ///
    /// ```
    /// use bamboocourse_decide::TokenAccount;
    /// let account = TokenAccount::new(1, 100, 1_000);
    /// assert_eq!(account.weight(), 0);
    /// ```
    pub fn new(life: Incarnation, rate: Tokens, burst: Tokens) -> Self {
        Self {
            life,
            rate,
            burst,
            weight: 0,
            valid_until: Duration::ZERO,
            bucket: Bucket::default(),
            lender: Lender::default(),
            loans: FastMap::default(),
            lenders: Vec::new(),
            queue: VecDeque::new(),
            round: Round::default(),
            fast_demand: Demand::new(FAST_DEMAND_SECONDS),
            slow_demand: Demand::new(SLOW_DEMAND_SECONDS),
            actions: Vec::new(),
        }
    }

    /// Sets the workspace's limit for the whole fleet: tokens per second, and tokens of burst.
    pub fn set_limit(&mut self, rate: Tokens, burst: Tokens, now: Duration) {
        if (rate, burst) == (self.rate, self.burst) {
            return;
        }
        (self.rate, self.burst) = (rate, burst);
        self.bucket.set_limit(rate, burst, self.weight, now);
    }

    /// Sets this VM's weight and until when it is valid, and adds the tokens that come with the
    /// weight. Both are in millionths.
    pub fn set_weight(
        &mut self,
        weight: Weight,
        tokens: MicroTokens,
        valid_until: Duration,
        now: Duration,
    ) {
        self.valid_until = valid_until;
        if weight != self.weight {
            self.weight = weight;
            self.bucket.set_limit(self.rate, self.burst, weight, now);
        }
        if tokens > 0 {
            self.bucket.add(tokens);
        }
    }

    /// Drops the tokens that came with a weight now lost, and the right to refunds of them.
    pub fn reset(&mut self, now: Duration) {
        self.bucket.advance(now);
        self.bucket.reset();
    }

    /// Lowers this VM's weight, and returns the tokens that leave with it, in millionths.
    pub fn lower_weight(&mut self, weight: Weight, now: Duration) -> MicroTokens {
        self.bucket.advance(now);
        if weight >= self.weight {
            return 0;
        }
        let level = self.bucket.level().max(0);
        let leaving = u128::from(self.weight - weight) * level as u128 / u128::from(self.weight);
        let tokens = leaving as MicroTokens;
        self.bucket.overdraw(tokens);
        self.weight = weight;
        self.bucket.set_limit(self.rate, self.burst, weight, now);
        tokens
    }

    /// Returns this VM's weight, in millionths.
    pub fn weight(&self) -> Weight {
        self.weight
    }

    /// Sets the VMs that may lend, nearest first.
    pub fn set_lenders(&mut self, lenders: Vec<VmId>) {
        if self.lenders != lenders {
            self.round.order.clear();
            self.lenders = lenders;
        }
    }

    /// Returns the tokens per second that callers have recently asked this VM for.
    pub fn demand(&self, now: Duration) -> f64 {
        self.slow_demand.rate(now)
    }

    /// Returns the number of requests that wait for tokens.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the tokens that could be spent at once.
    pub fn available(&self, now: Duration) -> Tokens {
        (self.spendable(now).max(0) / to_micro_tokens(1)) as Tokens
    }

    /// Returns the tokens that could be spent at once, in millionths; negative while in debt.
    pub fn spendable(&self, now: Duration) -> MicroTokens {
        let open = self.loans.values().filter(|loan| now < loan.end);
        let borrowed: MicroTokens = open.map(|loan| loan.unspent).sum();
        self.own_tokens(now) + borrowed
    }

    /// Returns the number of borrowers with open loans.
    pub fn borrowers(&self) -> usize {
        self.lender.open_loans()
    }

    /// Queues a request for tokens; the result is an [`Action`], often at once.
    ///
    /// A request that still waits at its deadline is refused.
    pub fn request(&mut self, ticket: Ticket, tokens: Tokens, deadline: Duration, now: Duration) {
        self.fast_demand.add(tokens as f64, now);
        self.slow_demand.add(tokens as f64, now);
        self.queue.push_back(Waiting { ticket, need: to_micro_tokens(tokens), deadline });
        self.admit_waiting(now);
    }

    /// Removes a waiting request whose caller has gone.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.retain(|waiting| waiting.ticket != ticket);
    }

    /// Settles a finished request with the tokens that it used.
    pub fn finish(&mut self, reservation: Reservation, used: Tokens, now: Duration) {
        self.bucket.advance(now);
        let held: MicroTokens = reservation.parts.iter().map(|part| part.amount).sum();
        let mut unused = held - to_micro_tokens(used);
        if unused < 0 {
            self.bucket.overdraw(-unused);
        }
        for part in reservation.parts.iter().rev() {
            let amount = part.amount.min(unused);
            if amount <= 0 {
                break;
            }
            unused -= amount;
            self.return_unused(part, amount, now);
        }
        self.admit_waiting(now);
    }

    /// Replies to another VM's loan request. A lender in the borrower's domain keeps no reserve.
    ///
    /// Returns `None` for a request older than the borrower's last one.
    pub fn on_loan_request(
        &mut self,
        from: &VmId,
        request: &LoanRequest,
        same_domain: bool,
        now: Duration,
    ) -> Option<LoanGrant> {
        self.bucket.advance(now);
        let reserve = if same_domain { 0 } else { self.lending_reserve(now) };
        let may_lend = now + LOAN_TERM + LOAN_MARGIN < self.valid_until;
        let life = self.life;
        self.lender.on_request(&mut self.bucket, life, from, request, reserve, may_lend, now)
    }

    /// Adds a lender's reply to the loan, if it replies to the pending request.
    pub fn on_loan_grant(&mut self, from: &VmId, grant: &LoanGrant, now: Duration) {
        let Some(loan) = self.loans.get_mut(from) else { return };
        let Some(pending) = loan.pending.take_if(|pending| pending.request.seq == grant.seq) else {
            return;
        };
        if loan.life != grant.life || now >= loan.end {
            // The earlier loan has ended or is of the lender's former process instance, so the
            // lender accepts no more reports about it.
            loan.life = grant.life;
            loan.clear();
        }
        loan.end = pending.first_sent + LOAN_TERM;
        loan.unspent += grant.tokens;
        loan.rate = grant.rate;
        loan.contenders = grant.contenders;
        loan.spare = grant.spare;
        loan.last_reply = now;
        loan.last_used = now;
        self.admit_waiting(now);
    }

    /// Does what is due: expires loans, sends requests again, returns tokens, and admits or refuses
    /// waiting requests.
    pub fn tick(&mut self, now: Duration) {
        self.bucket.advance(now);
        self.lender.expire(&mut self.bucket, now);
        self.expire_loans(now);
        self.retry_requests(now);
        self.report_spent(now);
        self.admit_waiting(now);
    }

    /// Returns the actions since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns whether there is anything that [`tick`](Self::tick) could act on.
    pub fn is_active(&self) -> bool {
        !self.queue.is_empty() || !self.loans.is_empty() || self.lender.open_loans() > 0
    }

    /// Returns the level of the VM's own bucket, while its weight is valid, in millionths.
    fn own_tokens(&self, now: Duration) -> MicroTokens {
        if now < self.valid_until { self.bucket.level_at(now) } else { 0 }
    }

    /// Returns the tokens kept back from borrowers in other domains, in millionths.
    fn lending_reserve(&self, now: Duration) -> MicroTokens {
        let expected = to_micro_tokens((self.fast_demand.rate(now) * RESERVE_SECONDS) as Tokens);
        expected.min(self.bucket.burst() / 4)
    }

    /// Admits waiting requests in order while there are enough tokens, then refuses those that are
    /// too late and borrows for the others.
    fn admit_waiting(&mut self, now: Duration) {
        self.bucket.advance(now);
        while let Some(head) = self.queue.front() {
            if self.spendable(now) < head.need {
                break;
            }
            let (ticket, need) = (head.ticket, head.need);
            self.queue.pop_front();
            let reservation = self.reserve_tokens(need, now);
            self.actions.push(Action::Admit(ticket, reservation));
        }
        self.refuse_late(now);
        self.borrow(now);
    }

    /// Takes tokens for a request from loans first, then from the VM's own bucket.
    fn reserve_tokens(&mut self, need: MicroTokens, now: Duration) -> Reservation {
        let mut parts = Vec::new();
        let mut missing = need;
        for (vm, loan) in &mut self.loans {
            let amount = loan.unspent.min(missing);
            if amount <= 0 || now >= loan.end {
                continue;
            }
            loan.unspent -= amount;
            loan.spent += amount;
            loan.last_used = now;
            missing -= amount;
            let source = Source::Loan(vm.clone(), loan.life, loan.seq + 1);
            parts.push(Part { amount, source });
        }
        if missing > 0 {
            let mark = self.bucket.take(missing);
            parts.push(Part { amount: missing, source: Source::Own(mark) });
        }
        Reservation { parts }
    }

    /// Returns unused tokens of a reservation to their source.
    fn return_unused(&mut self, part: &Part, amount: MicroTokens, now: Duration) {
        match &part.source {
            Source::Own(mark) => {
                self.bucket.refund(*mark, amount);
            }
            Source::Loan(vm, life, seq) => {
                let Some(loan) = self.loans.get_mut(vm).filter(|loan| loan.life == *life) else {
                    return;
                };
                if loan.seq < *seq && now < loan.end {
                    // The spending has not been reported to the lender, so it can be undone here.
                    let undone = amount.min(loan.spent);
                    loan.spent -= undone;
                    loan.unspent += undone;
                } else if loan.seq >= *seq {
                    loan.refunds.push(Refund { seq: *seq, amount });
                }
            }
        }
    }

    /// Refuses waiting requests past their deadline. The first request in the queue is also refused
    /// if all lenders were asked and the refill will come after its deadline.
    fn refuse_late(&mut self, now: Duration) {
        let wait = self.refill_wait();
        let mut too_late = false;
        if let Some(head) = self.queue.front() {
            let all_asked =
                !self.round.order.is_empty() && self.round.next >= self.round.order.len();
            too_late = all_asked && now + wait > head.deadline;
        }
        while let Some(head) = self.queue.front() {
            if now < head.deadline && !too_late {
                break;
            }
            too_late = false;
            let ticket = head.ticket;
            self.queue.pop_front();
            self.actions.push(Action::Refuse(ticket, wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)));
        }
    }

    /// Estimates how long the head of the queue must wait for refill.
    fn refill_wait(&self) -> Duration {
        let Some(head) = self.queue.front() else { return Duration::ZERO };
        let unspent: MicroTokens = self.loans.values().map(|loan| loan.unspent).sum();
        let missing = head.need - self.bucket.level() - unspent;
        if missing <= 0 {
            return Duration::ZERO;
        }
        let lent =
            self.loans.values().map(|loan| loan.rate / MicroTokens::from(loan.contenders.max(1)));
        let rate = self.bucket.rate() + lent.sum::<MicroTokens>();
        if rate <= 0 {
            return MAX_RETRY_DELAY;
        }
        Duration::from_secs_f64(missing as f64 / rate as f64)
    }

    /// Asks the next lender for what the queue lacks, or borrows ahead of need if it lacks nothing.
    fn borrow(&mut self, now: Duration) {
        let expected = to_micro_tokens((self.fast_demand.rate(now) * PREFETCH_SECONDS) as Tokens);
        let spendable = self.spendable(now);
        let queued: MicroTokens = self.queue.iter().map(|waiting| waiting.need).sum();
        let need = (queued - spendable).max(0);
        if need == 0 {
            self.round.order.clear();
            return self.prefetch(expected - spendable, expected, now);
        }
        if now < self.round.resume_at || self.awaits_grant() {
            return;
        }
        if self.round.order.is_empty() {
            self.round.order = self.rank_lenders(need, now);
            self.round.next = 0;
        }
        while let Some(vm) = self.round.order.get(self.round.next).cloned() {
            self.round.next += 1;
            if self.request_loan(&vm, need, expected, now) {
                return;
            }
        }
        let delay = self.refill_wait().clamp(MIN_ROUND_DELAY, MAX_ROUND_DELAY);
        self.round.order.clear();
        self.round.resume_at = now + delay;
    }

    /// Orders the lenders: first those that probably have enough to spare, nearest first, then the
    /// others by how much they have to spare. So no bucket overflows while another is drained.
    fn rank_lenders(&self, need: MicroTokens, now: Duration) -> Vec<VmId> {
        let mut order = self.lenders.clone();
        order.sort_by_key(|vm| std::cmp::Reverse(self.estimate_spare(vm, now).min(need)));
        order
    }

    /// Estimates what a lender has above half of its burst; an unknown lender may have plenty.
    fn estimate_spare(&self, vm: &VmId, now: Duration) -> MicroTokens {
        let Some(loan) = self.loans.get(vm).filter(|loan| loan.last_reply > Duration::ZERO) else {
            return MicroTokens::MAX;
        };
        let elapsed = now.saturating_sub(loan.last_reply).as_secs_f64();
        loan.spare + (loan.rate as f64 * elapsed) as MicroTokens
    }

    /// Borrows ahead of need: on a VM without a weight for its expected demand, on a VM with a
    /// weight when its own bucket is less than a quarter full.
    fn prefetch(&mut self, missing: MicroTokens, expected: MicroTokens, now: Duration) {
        let missing = if self.weight > 0 {
            (self.bucket.burst() / 4 - self.bucket.level()).min(missing)
        } else {
            missing
        };
        if missing <= 0 || missing < expected / 2 || now < self.round.prefetch_at {
            return;
        }
        let delay = if self.weight > 0 { TOP_UP_INTERVAL } else { PREFETCH_INTERVAL };
        self.round.prefetch_at = now + delay;
        let fullest = self.rank_lenders(missing, now).into_iter().next();
        if let Some(vm) = fullest.filter(|vm| self.estimate_spare(vm, now) > 0) {
            self.request_loan(&vm, 0, missing, now);
        }
    }

    /// Returns whether the reply to a request for needed tokens is still awaited.
    fn awaits_grant(&self) -> bool {
        self.loans.values().any(|loan| {
            loan.pending.as_ref().is_some_and(|p| p.retries < MAX_RETRIES && p.request.need > 0)
        })
    }

    /// Sends a loan request, unless one is pending at this lender or the lender is silent.
    fn request_loan(
        &mut self,
        vm: &VmId,
        need: MicroTokens,
        prefetch: MicroTokens,
        now: Duration,
    ) -> bool {
        let life = self.life;
        let loan = self.loans.entry(vm.clone()).or_default();
        if loan.pending.is_some() || now < loan.silent_until {
            return false;
        }
        let request = loan.next_request(life, need, prefetch, 0);
        loan.set_pending(&request, now);
        self.actions.push(Action::Send(vm.clone(), request));
        true
    }

    /// Sends requests without a reply again, and forgets loans that ended long ago.
    fn retry_requests(&mut self, now: Duration) {
        for (vm, loan) in &mut self.loans {
            let Some(pending) = &mut loan.pending else { continue };
            let delay = if pending.retries < MAX_RETRIES { REQUEST_TIMEOUT } else { SILENCE_DELAY };
            if now < pending.last_sent + delay {
                continue;
            }
            pending.retries += 1;
            pending.last_sent = now;
            if pending.retries >= MAX_RETRIES {
                loan.silent_until = now + SILENCE_DELAY;
            }
            self.actions.push(Action::Send(vm.clone(), pending.request.clone()));
        }
        self.loans.retain(|_, loan| now < loan.end + LOAN_TERM || loan.is_pending(now));
    }

    /// Drops loans that ended before their spending was reported; the lender counts them as spent.
    fn expire_loans(&mut self, now: Duration) {
        for loan in self.loans.values_mut().filter(|loan| now >= loan.end) {
            if loan.unspent > 0 || loan.spent > 0 {
                loan.clear();
                loan.silent_until =
                    loan.silent_until.max(loan.last_reply + LOAN_TERM + LOAN_MARGIN * 2);
            }
        }
    }

    /// Reports spent and unneeded tokens to lenders, even when nothing more is borrowed.
    fn report_spent(&mut self, now: Duration) {
        let idle = self.queue.is_empty();
        let life = self.life;
        for (vm, loan) in &mut self.loans {
            if loan.pending.is_some() || now < loan.silent_until {
                continue;
            }
            let unused = idle && loan.unspent > 0 && now >= loan.last_used + IDLE_RETURN_DELAY;
            let unreported = loan.spent > 0 || !loan.refunds.is_empty();
            let due = unreported && now >= loan.last_reply + REPORT_INTERVAL;
            if !unused && !due {
                continue;
            }
            let returned = if unused && now < loan.end { loan.unspent } else { 0 };
            let request = loan.next_request(life, 0, 0, returned);
            loan.set_pending(&request, now);
            self.actions.push(Action::Send(vm.clone(), request));
        }
    }
}

impl Loan {
    /// Returns the next request, with all that is to be reported.
    fn next_request(
        &mut self,
        life: Incarnation,
        need: MicroTokens,
        prefetch: MicroTokens,
        returned: MicroTokens,
    ) -> LoanRequest {
        self.seq += 1;
        self.unspent -= returned;
        let spent = std::mem::take(&mut self.spent);
        let refunds = std::mem::take(&mut self.refunds);
        LoanRequest { life, seq: self.seq, need, prefetch, spent, returned, refunds }
    }

    /// Forgets all borrowed tokens.
    fn clear(&mut self) {
        self.unspent = 0;
        self.spent = 0;
        self.refunds.clear();
    }

    /// Keeps a request that is sent for the first time, until its reply.
    fn set_pending(&mut self, request: &LoanRequest, now: Duration) {
        self.pending = Some(PendingRequest {
            request: request.clone(),
            first_sent: now,
            last_sent: now,
            retries: 0,
        });
    }

    /// Returns whether a request that could still be granted awaits its reply.
    fn is_pending(&self, now: Duration) -> bool {
        self.pending.as_ref().is_some_and(|pending| now < pending.first_sent + LOAN_TERM)
    }
}

impl Demand {
    fn new(span: f64) -> Self {
        Self { span, rate: 0.0, updated: Duration::ZERO }
    }

    /// Adds tokens that are asked for at a time.
    fn add(&mut self, tokens: f64, now: Duration) {
        self.rate = self.rate(now) + tokens / self.span;
        self.updated = now;
    }

    /// Returns the average at a time, in tokens per second.
    fn rate(&self, now: Duration) -> f64 {
        self.rate * (-now.saturating_sub(self.updated).as_secs_f64() / self.span).exp()
    }
}
