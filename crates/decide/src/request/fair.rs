//! A queue that workspaces share fairly, with interactive requests before batch requests.
//!
//! Each workspace has a lane for each priority. A pop serves the lane that has received the least
//! service so far, counted in tokens. A lane that was empty starts level with the others, so that
//! it cannot save up service. One pop in [`BATCH_INTERVAL`] serves a batch request if any waits, so
//! that batch requests are delayed but not starved.

use std::collections::VecDeque;

use crate::ids::WorkspaceId;
use crate::map::FastMap;
use crate::version::config::Priority;

/// The number of pops of which one serves batch requests first.
pub const BATCH_INTERVAL: u64 = 10;

/// A queue of tickets in lanes by workspace and priority.
#[derive(Debug, Default)]
pub struct FairQueue {
    lanes: FastMap<(Priority, WorkspaceId), Lane>,
    /// The service of the lane that was popped last, in tokens, for each priority.
    clock: [u64; 2],
    pops: u64,
    size: usize,
}

#[derive(Debug, Default)]
struct Lane {
    /// The service received so far, in tokens.
    served: u64,
    /// The waiting tickets with their costs in tokens, oldest first.
    waiting: VecDeque<(u64, u64)>,
}

impl FairQueue {
    /// Adds a ticket with its cost in tokens.
    ///
    /// ```
    /// use bamboocourse_decide::{FairQueue, Priority};
    /// let mut queue = FairQueue::default();
    /// queue.push(1, &"desk".into(), Priority::Interactive, 10);
    /// assert_eq!(queue.pop(), Some(1));
    /// ```
    pub fn push(&mut self, ticket: u64, workspace: &WorkspaceId, priority: Priority, cost: u64) {
        let clock = self.clock[priority as usize];
        let lane = self.lanes.entry((priority, workspace.clone())).or_default();
        if lane.waiting.is_empty() {
            lane.served = lane.served.max(clock);
        }
        lane.waiting.push_back((ticket, cost));
        self.size += 1;
    }

    /// Removes and returns the next ticket; `None` if the queue is empty.
    pub fn pop(&mut self) -> Option<u64> {
        self.pops += 1;
        let batch_first = self.pops.is_multiple_of(BATCH_INTERVAL);
        let order = if batch_first {
            [Priority::Batch, Priority::Interactive]
        } else {
            [Priority::Interactive, Priority::Batch]
        };
        order.into_iter().find_map(|priority| self.pop_from(priority))
    }

    /// Removes a ticket whose caller has disconnected; returns whether it was queued.
    pub fn remove(&mut self, ticket: u64) -> bool {
        let before = self.size;
        for lane in self.lanes.values_mut() {
            let waiting = lane.waiting.len();
            lane.waiting.retain(|(other, _)| *other != ticket);
            self.size -= waiting - lane.waiting.len();
        }
        self.size < before
    }

    /// Returns the number of tickets.
    pub fn len(&self) -> usize {
        self.size
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.size == 0
    }

    fn pop_from(&mut self, priority: Priority) -> Option<u64> {
        let waiting = self
            .lanes
            .iter_mut()
            .filter(|((own, _), lane)| *own == priority && !lane.waiting.is_empty());
        let (_, lane) = waiting.min_by(|a, b| (a.1.served, &a.0.1).cmp(&(b.1.served, &b.0.1)))?;
        let (ticket, cost) = lane.waiting.pop_front()?;
        self.clock[priority as usize] = lane.served;
        lane.served += cost.max(1);
        self.size -= 1;
        let clock = self.clock[priority as usize];
        // An empty lane that is not ahead of the clock would start there anyway.
        self.lanes.retain(|_, lane| !lane.waiting.is_empty() || lane.served > clock);
        Some(ticket)
    }
}
