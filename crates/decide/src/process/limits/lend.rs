//! Short loans of tokens between VMs, on the lender's side.
//!
//! A borrower numbers its requests, and the lender replies to them in order. A retried request gets
//! the stored reply, so a lost message never makes a loan twice.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::{Incarnation, VmId};
use crate::map::FastMap;
use crate::process::limits::bucket::{Bucket, Mark};
use crate::process::limits::{LOAN_MARGIN, LOAN_TERM, MicroTokens};

/// The most reports of spent tokens per borrower that can still be refunded.
const MAX_SETTLED: usize = 128;
/// How long a borrower counts as a contender after the lender could not meet its need.
const CONTENTION_WINDOW: Duration = Duration::from_secs(1);

/// A borrower's message to a lender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanRequest {
    /// The borrower's process instance.
    pub life: Incarnation,
    /// The number of the request, counted for each lender.
    pub seq: u64,
    /// The tokens that waiting requests lack, in millionths.
    pub need: MicroTokens,
    /// The tokens asked for ahead of need, in millionths.
    pub prefetch: MicroTokens,
    /// The borrowed tokens spent since the last request, in millionths.
    pub spent: MicroTokens,
    /// The borrowed tokens returned unspent, in millionths.
    pub returned: MicroTokens,
    /// The tokens of finished requests that were reported as spent but not used.
    pub refunds: Vec<Refund>,
}

/// Tokens that were reported as spent and were not used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refund {
    /// The number of the loan request that reported them as spent.
    pub seq: u64,
    /// The amount, in millionths.
    pub amount: MicroTokens,
}

/// A lender's reply to a loan request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoanGrant {
    /// The lender's process instance.
    pub life: Incarnation,
    /// The number of the request.
    pub seq: u64,
    /// The tokens lent, in millionths.
    pub tokens: MicroTokens,
    /// The lender's refill, in millionths of a token per second.
    pub rate: MicroTokens,
    /// How many VMs have recently asked this lender for more than it had.
    pub contenders: u32,
    /// The tokens that the lender has above half of its burst, in millionths.
    pub spare: MicroTokens,
}

/// The loans that one VM has given out of one workspace's bucket.
#[derive(Debug, Default)]
pub(crate) struct Lender {
    borrowers: FastMap<(VmId, Incarnation), Borrower>,
    /// When the need of each borrower was last not met.
    unmet: FastMap<VmId, Duration>,
}

/// The open loan of one process instance of a VM.
#[derive(Debug)]
struct Borrower {
    /// The number of the last request.
    seq: u64,
    /// The reply to the last request.
    grant: Option<LoanGrant>,
    /// Lent tokens that are neither spent nor returned.
    open: MicroTokens,
    /// The time at which the loan ends.
    end: Duration,
    settled: VecDeque<Settled>,
}

/// Lent tokens that were reported as spent, less those refunded since.
#[derive(Debug)]
struct Settled {
    seq: u64,
    mark: Mark,
    amount: MicroTokens,
}

impl Lender {
    /// Replies to a loan request out of a bucket, leaving `reserve` in it.
    ///
    /// `may_lend` says that the lender's weight outlasts a new loan. Returns `None` for a request
    /// older than the last one.
    pub(crate) fn on_request(
        &mut self,
        bucket: &mut Bucket,
        life: Incarnation,
        from: &VmId,
        request: &LoanRequest,
        reserve: MicroTokens,
        may_lend: bool,
        now: Duration,
    ) -> Option<LoanGrant> {
        self.expire(bucket, now);
        let key = (from.clone(), request.life);
        let borrower = self.borrowers.entry(key).or_insert_with(|| Borrower {
            seq: 0,
            grant: None,
            open: 0,
            end: now,
            settled: VecDeque::new(),
        });
        if request.seq <= borrower.seq {
            return borrower.grant.clone().filter(|grant| grant.seq == request.seq);
        }
        borrower.seq = request.seq;
        borrower.end = now + LOAN_TERM + LOAN_MARGIN;
        borrower.apply(bucket, request);
        let free = if may_lend { (bucket.level() - reserve).max(0) } else { 0 };
        let needed = request.need.clamp(0, free);
        let spare = (free - needed - bucket.burst() / 2).max(0);
        let tokens = needed + request.prefetch.clamp(0, spare);
        bucket.lend(tokens);
        borrower.open += tokens;
        if needed < request.need {
            self.unmet.insert(from.clone(), now);
        }
        self.unmet.retain(|_, unmet_at| now.saturating_sub(*unmet_at) < CONTENTION_WINDOW);
        let contenders = self.unmet.len() as u32;
        let (rate, spare) = (bucket.rate(), bucket.level() - bucket.burst() / 2);
        let grant = LoanGrant { life, seq: request.seq, tokens, rate, contenders, spare };
        borrower.grant = Some(grant.clone());
        Some(grant)
    }

    /// Ends loans whose time is over; their open tokens count as spent.
    pub(crate) fn expire(&mut self, bucket: &mut Bucket, now: Duration) {
        self.borrowers.retain(|_, borrower| {
            if now < borrower.end {
                return true;
            }
            bucket.settle(borrower.open);
            false
        });
    }

    /// Returns the number of borrowers with open loans.
    pub(crate) fn open_loans(&self) -> usize {
        self.borrowers.len()
    }
}

impl Borrower {
    /// Applies what a request reports as returned, spent or not used after all.
    fn apply(&mut self, bucket: &mut Bucket, request: &LoanRequest) {
        let returned = request.returned.clamp(0, self.open);
        self.open -= returned;
        bucket.take_back(returned);
        let spent = request.spent.clamp(0, self.open);
        self.open -= spent;
        let mark = bucket.settle(spent);
        self.settled.push_back(Settled { seq: request.seq, mark, amount: spent });
        if self.settled.len() > MAX_SETTLED {
            self.settled.pop_front();
        }
        for refund in &request.refunds {
            self.refund(bucket, refund);
        }
    }

    /// Refunds at most what this lender counted as spent under the numbered request.
    fn refund(&mut self, bucket: &mut Bucket, refund: &Refund) {
        let found = self.settled.iter_mut().find(|settled| settled.seq == refund.seq);
        let Some(settled) = found else { return };
        let amount = refund.amount.clamp(0, settled.amount);
        settled.amount -= amount;
        bucket.refund(settled.mark, amount);
    }
}
