//! What the giver of orders knows of one endpoint, and the order that it has open there.
//!
//! Each order names the number of orders that the endpoint must have accepted before it, so that of
//! two orders with the same number only one can ever take effect. An order without an answer may
//! take effect much later; until its number has been passed, its load is charged to the memory.

use std::time::Duration;

use crate::ids::{AdapterId, ModelId};
use crate::map::{FastMap, FastSet};

/// How long after it was sent an unanswered order may still be carried out.
const LATE_HORIZON: Duration = Duration::from_secs(13);
/// How old an endpoint's report of itself may be.
pub const REPORT_AGE: Duration = Duration::from_millis(300);
/// How long after its expected end an order's outcome is asked for.
const ASK_AFTER: Duration = Duration::from_millis(500);
/// How often it is asked for again.
const ASK_EVERY: Duration = Duration::from_millis(1_000);

/// What an endpoint holds: models, each with its adapters.
pub type Resident = FastMap<ModelId, FastSet<AdapterId>>;

/// An order to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Load a model.
    Load(ModelId),
    /// Unload a model.
    Unload(ModelId),
    /// Load an adapter of a model that is held.
    Fetch(ModelId, AdapterId),
    /// Unload an adapter.
    Release(ModelId, AdapterId),
}

/// What an endpoint says to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// It is carried out.
    Accepted,
    /// It holds already.
    Holds,
    /// Another order is in progress, or the number differs.
    Conflict,
    /// Another endpoint has the address.
    Elsewhere,
    /// The order is refused for good.
    Refused,
    /// Nothing was sent.
    NotSent,
    /// No answer came; it may be carried out later.
    Lost,
}

/// What an endpoint reports of itself.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Report {
    /// The start of its process, in Unix milliseconds.
    pub born: u64,
    /// The number of orders that it has accepted.
    pub seq: u64,
    /// Whether an order is in progress.
    pub busy: bool,
    /// What it holds.
    pub resident: Resident,
    /// Adapters on their way to it.
    pub coming: Vec<(ModelId, AdapterId)>,
    /// Models that it can load from its own memory or disk.
    pub near: FastSet<ModelId>,
}

/// One endpoint, for the giver of its orders.
#[derive(Debug, Clone)]
pub struct Station {
    born: u64,
    seq: Option<u64>,
    resident: Resident,
    near: FastSet<ModelId>,
    open: Option<Open>,
    /// Whether an order that this giver does not know of is in progress.
    foreign: bool,
    late: Vec<Late>,
    /// Whether it did not report when it was last asked.
    down: bool,
    /// When the endpoint's report is next needed.
    ask: Option<Duration>,
}

#[derive(Debug, Clone)]
struct Open {
    command: Command,
    accepted: bool,
    due: Duration,
}

#[derive(Debug, Clone)]
struct Late {
    command: Command,
    number: u64,
    until: Duration,
}

impl Station {
    /// Makes a station whose report is needed before any order.
    ///
    /// ```
    /// use bamboocourse_decide::Station;
    /// use std::time::Duration;
    /// let station = Station::new(7, Duration::ZERO);
    /// assert!(!station.idle());
    /// assert!(station.asks(Duration::ZERO));
    /// ```
    pub fn new(born: u64, now: Duration) -> Self {
        Self {
            born,
            seq: None,
            resident: Resident::default(),
            near: FastSet::default(),
            open: None,
            foreign: false,
            late: Vec::new(),
            down: false,
            ask: Some(now),
        }
    }

    /// Returns what it holds, less what an open order takes away.
    pub fn resident(&self) -> &Resident {
        &self.resident
    }

    /// Returns the models that load without the weight store.
    pub fn near(&self) -> &FastSet<ModelId> {
        &self.near
    }

    /// Returns the model that is being loaded.
    pub fn loading(&self) -> Option<&ModelId> {
        match self.open.as_ref().map(|open| &open.command) {
            Some(Command::Load(model)) => Some(model),
            _ => None,
        }
    }

    /// Returns the adapter that is being loaded.
    pub fn coming(&self) -> Option<(ModelId, AdapterId)> {
        match self.open.as_ref().map(|open| &open.command) {
            Some(Command::Fetch(model, adapter)) => Some((model.clone(), adapter.clone())),
            _ => None,
        }
    }

    /// Returns the start of the endpoint's process that is known.
    pub fn born(&self) -> u64 {
        self.born
    }

    /// Tells whether it is known what it holds.
    pub fn known(&self) -> bool {
        self.seq.is_some()
    }

    /// Tells whether an order may be given now.
    pub fn idle(&self) -> bool {
        self.seq.is_some() && self.open.is_none() && !self.foreign && self.ask.is_none()
    }

    /// Tells whether the endpoint's report is needed now.
    pub fn asks(&self, now: Duration) -> bool {
        self.ask.is_some_and(|at| now >= at)
    }

    /// Returns the models that late orders may still load.
    pub fn late_loads(&self, now: Duration) -> impl Iterator<Item = &ModelId> {
        let live = self.late.iter().filter(move |late| now < late.until);
        live.filter_map(|late| match &late.command {
            Command::Load(model) => Some(model),
            _ => None,
        })
    }

    /// Notes that the endpoint's process has started anew, or was never seen.
    pub fn on_born(&mut self, born: u64, now: Duration) {
        if born == self.born {
            return;
        }
        let late = std::mem::take(&mut self.late);
        let near = std::mem::take(&mut self.near);
        *self = Self { late, near, ..Self::new(born, now) };
    }

    /// Begins an order and returns the number that it expects.
    ///
    /// `takes` is how long it is expected to take.
    pub fn begin(&mut self, command: Command, takes: Duration, now: Duration) -> Option<u64> {
        let number = self.seq.filter(|_| self.idle())?;
        match &command {
            Command::Unload(model) => {
                self.resident.remove(model);
            }
            Command::Release(model, adapter) => {
                if let Some(adapters) = self.resident.get_mut(model) {
                    adapters.remove(adapter);
                }
            }
            Command::Load(_) | Command::Fetch(..) => {}
        }
        self.open = Some(Open { command, accepted: false, due: now + takes });
        Some(number)
    }

    /// Takes in the answer to the open order; returns whether what it holds has changed.
    pub fn on_reply(&mut self, reply: Reply, now: Duration) -> bool {
        let Some(open) = &mut self.open else { return false };
        match reply {
            Reply::Accepted | Reply::Holds => {
                open.accepted = true;
                self.pass(reply);
                self.settle(reply, now)
            }
            Reply::Lost => {
                let number = self.seq.unwrap_or_default();
                let until = now + LATE_HORIZON;
                let command = open.command.clone();
                self.late.push(Late { command, number, until });
                self.open = None;
                self.ask = Some(now + REPORT_AGE);
                true
            }
            Reply::Conflict | Reply::NotSent | Reply::Refused | Reply::Elsewhere => {
                self.open = None;
                self.ask = Some(now + REPORT_AGE);
                true
            }
        }
    }

    /// Takes in the endpoint's report; returns whether what it holds has changed.
    pub fn on_report(&mut self, report: Report, now: Duration) -> bool {
        if report.born != self.born {
            self.on_born(report.born, now);
        }
        self.down = false;
        if self.seq.is_some_and(|seq| report.seq < seq) {
            // Older than the last answer.
            self.ask = Some(now + REPORT_AGE);
            return false;
        }
        self.seq = Some(report.seq);
        self.near = report.near;
        self.late.retain(|late| late.number >= report.seq && now < late.until);
        if report.busy && self.open.is_some() {
            self.ask = Some(now + ASK_EVERY);
            return false;
        }
        self.foreign = report.busy;
        self.ask = report.busy.then_some(now + ASK_EVERY);
        self.open = None;
        let mut resident = report.resident;
        for (model, adapter) in report.coming {
            resident.entry(model).or_default().insert(adapter);
        }
        let changed = self.resident != resident;
        self.resident = resident;
        changed
    }

    /// Takes in what the platform's list says it holds; returns whether an order has ended.
    ///
    /// The list tells of models at once, of adapters never. Which weights are at hand is the
    /// endpoint's to say: what it has not used for long it drops.
    pub fn on_listed(&mut self, listed: &Report, now: Duration) -> bool {
        if listed.born != self.born {
            self.on_born(listed.born, now);
            self.near = listed.near.clone();
            return true;
        }
        self.near = listed.near.clone();
        let models = &listed.resident;
        let Some(open) = &self.open else { return false };
        let ended = match &open.command {
            Command::Load(model) => open.accepted && models.contains_key(model),
            Command::Unload(model) => open.accepted && !models.contains_key(model),
            Command::Fetch(..) | Command::Release(..) => false,
        };
        if ended {
            self.finish();
        }
        ended
    }

    /// Lets an accepted order that is overdue be asked for.
    pub fn tick(&mut self, now: Duration) {
        if let Some(open) = &self.open
            && open.accepted
            && self.ask.is_none()
            && now >= open.due + ASK_AFTER
        {
            self.ask = Some(now);
        }
    }

    /// Notes that a report is asked for; the next one is due later.
    pub fn on_asked(&mut self, now: Duration) {
        self.ask = Some(now + ASK_EVERY);
    }

    /// Notes that no report came; until one does, nothing that it holds can be counted on.
    pub fn on_no_report(&mut self, now: Duration) {
        self.down = true;
        self.ask = Some(now + ASK_EVERY);
    }

    /// Asks for a report soon, since a VM could not reach the endpoint.
    pub fn suspect(&mut self, now: Duration) {
        if !self.down && self.ask.is_none() {
            self.ask = Some(now);
        }
    }

    /// Tells whether it did not report when it was last asked.
    pub fn down(&self) -> bool {
        self.down
    }

    fn pass(&mut self, reply: Reply) {
        let counts = match (&self.open, reply) {
            (_, Reply::Accepted) => true,
            (Some(open), Reply::Holds) => matches!(open.command, Command::Release(..)),
            _ => false,
        };
        if counts && let Some(seq) = &mut self.seq {
            *seq += 1;
        }
        let seq = self.seq.unwrap_or_default();
        self.late.retain(|late| late.number >= seq);
    }

    fn settle(&mut self, reply: Reply, now: Duration) -> bool {
        let Some(open) = &self.open else { return false };
        match (&open.command, reply) {
            (Command::Load(_) | Command::Unload(_), Reply::Accepted) => true,
            (Command::Load(_), Reply::Holds) => {
                // Its report is older than what it holds.
                self.open = None;
                self.ask = Some(now);
                true
            }
            _ => {
                self.finish();
                true
            }
        }
    }

    fn finish(&mut self) {
        match self.open.take().map(|open| open.command) {
            Some(Command::Load(model)) => {
                self.resident.entry(model).or_default();
            }
            Some(Command::Fetch(model, adapter)) => {
                self.resident.entry(model).or_default().insert(adapter);
            }
            Some(Command::Unload(_) | Command::Release(..)) | None => {}
        }
        self.ask = None;
    }
}
