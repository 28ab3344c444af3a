//! The pool's side of a workspace's tokens, at the VM that holds the fleet's lease.

use std::time::Duration;

use super::spender::Spending;
use super::{CEILING_MARGIN, CEILING_TERM, Limit};
use crate::ids::{Incarnation, Tokens, VmId};
use crate::map::FastMap;
use crate::process::window::Window;

/// Reports arrive this much after what they report was spent.
const REPORT_LAG: Duration = Duration::from_secs(1);
/// How much of a second's demand a ceiling runs ahead, in thousandths.
const AHEAD: Tokens = 900;
/// The least that a ceiling runs ahead, so that one large request fits.
const AHEAD_LEAST: Tokens = 4_000;
/// How far beyond the present count the next recorded cap reaches, as a part of the pool.
const CAP_AHEAD: Tokens = 4;

/// What a VM may spend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ceiling {
    /// Tokens of the pool since the VM's process began.
    pub tokens: Tokens,
    /// Whether the pool could not give what was wanted.
    pub hungry: bool,
}

/// The pool of one workspace.
#[derive(Debug, Clone)]
pub struct TokenPool {
    size: Tokens,
    /// Tokens that have been spent, by the time of the report.
    used: Window,
    /// What a former holder of the pool may have let be spent, and until when it counts.
    unknown: (Tokens, Duration),
    /// What the store has recorded that this holder may let be spent.
    cap: Tokens,
    members: FastMap<VmId, Member>,
}

#[derive(Debug, Clone)]
struct Member {
    life: Incarnation,
    spent: Tokens,
    ceiling: Tokens,
    lapses: Duration,
    lapsed: bool,
}

impl TokenPool {
    /// Makes a pool after a former holder that may have let so many tokens be spent.
    ///
    /// ```
    /// use bamboocourse_decide::{Limit, TokenPool};
    /// use std::time::Duration;
    /// let window = Duration::from_secs(8);
    /// let limit = Limit { rate: 100.0, burst: 100.0, window, excess: 0.0, slack: 0 };
    /// let mut pool = TokenPool::new(limit, 0, Duration::ZERO);
    /// assert!(pool.next_cap(Duration::ZERO) > 0);
    /// ```
    pub fn new(limit: Limit, before: Tokens, now: Duration) -> Self {
        let span = limit.window + REPORT_LAG;
        let until = now + span + CEILING_TERM + CEILING_MARGIN;
        Self {
            size: limit.pool(),
            used: Window::new(span),
            unknown: (before, until),
            cap: 0,
            members: FastMap::default(),
        }
    }

    /// Sets the limit.
    pub fn set_limit(&mut self, limit: Limit) {
        self.size = limit.pool();
    }

    /// Returns the cap to record in the store before it is granted.
    pub fn next_cap(&mut self, now: Duration) -> Tokens {
        let charged = self.charged(now);
        (charged + self.size / CAP_AHEAD + AHEAD_LEAST).min(self.size.max(charged))
    }

    /// Notes that the store has recorded a cap.
    pub fn set_cap(&mut self, cap: Tokens) {
        self.cap = cap;
    }

    /// Takes in a VM's report and returns its new ceiling.
    pub fn on_report(
        &mut self,
        vm: &VmId,
        life: Incarnation,
        said: Spending,
        now: Duration,
    ) -> Ceiling {
        self.lapse(now);
        let vms = self.members.len().max(1) as u64;
        let member = self.members.entry(vm.clone()).or_insert_with(|| Member {
            life,
            spent: said.spent,
            ceiling: said.spent,
            lapses: now,
            lapsed: false,
        });
        if member.life != life {
            // The former process is gone; what it may have spent counts from now.
            self.used.add(now, member.ceiling.saturating_sub(member.spent));
            let spent = said.spent;
            *member = Member { life, spent, ceiling: spent, lapses: now, lapsed: false };
        }
        if member.lapsed {
            // Its open part was counted as spent; what it has left starts anew.
            member.spent = said.spent;
            member.ceiling = said.spent;
            member.lapsed = false;
        }
        let newly = said.spent.saturating_sub(member.spent);
        self.used.add(now, newly);
        member.spent = member.spent.max(said.spent);
        member.ceiling = member.ceiling.max(said.spent);
        let open = member.ceiling - member.spent;
        let ahead =
            (said.wanted * AHEAD / 1_000).max(if said.wanted > 0 { AHEAD_LEAST } else { 0 });
        let need = ahead.saturating_sub(open);
        let charged = self.charged(now);
        let room = self.size.min(self.cap).saturating_sub(charged);
        let given = if need <= room / vms.max(2) { need } else { need.min(room / vms.max(2)) };
        let member = self.members.get_mut(vm).expect("the member was just entered");
        member.ceiling += given;
        member.lapses = now + CEILING_TERM + CEILING_MARGIN;
        Ceiling { tokens: member.ceiling, hungry: given < need }
    }

    /// Returns what may have been spent within a window, or may be at any moment.
    pub fn charged(&mut self, now: Duration) -> Tokens {
        let open: Tokens = self.members.values().map(|m| m.ceiling - m.spent).sum();
        let unknown = if now < self.unknown.1 { self.unknown.0 } else { 0 };
        self.used.total(now) + open + unknown
    }

    /// Counts the ceilings of silent VMs as spent.
    fn lapse(&mut self, now: Duration) {
        for member in self.members.values_mut() {
            if now >= member.lapses && !member.lapsed {
                self.used.add(now, member.ceiling - member.spent);
                member.spent = member.ceiling;
                member.lapsed = true;
            }
        }
    }
}
