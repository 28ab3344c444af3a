//! A token bucket that lends tokens, takes refunds and never issues more than its limit.
//!
//! Tokens count as issued when they are taken, less what is refunded later. A refund may therefore
//! add no more than the bucket had room for at every moment since the tokens were taken: with that
//! much more in it all along, the bucket would still have kept within its limit.

use std::collections::VecDeque;
use std::time::Duration;

use crate::process::limits::{FULL_WEIGHT, MICRO_PER_TOKEN, MicroTokens, Weight};

/// A position in a bucket's history, from which room is measured.
pub(crate) type Mark = u64;

/// The most marks that are kept; beyond this number the oldest marks are joined.
const MAX_MARKS: usize = 512;
/// Nanoseconds in a second.
const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// A token bucket for a weight of a workspace's limit.
#[derive(Debug, Default)]
pub(crate) struct Bucket {
    /// The refill, in millionths of a token per second.
    rate: MicroTokens,
    /// The most tokens in the bucket, in millionths.
    burst: MicroTokens,
    /// The tokens in the bucket, in millionths; negative after [`Self::overdraw`].
    level: MicroTokens,
    /// Tokens that are lent and not yet known to be spent, in millionths.
    lent: MicroTokens,
    /// The time up to which refill is in the level.
    updated: Duration,
    /// The refill below a millionth of a token, times `NANOS_PER_SECOND`.
    fraction: u128,
    /// The latest mark.
    mark: Mark,
    /// The least room since each mark, in ascending order of both.
    min_rooms: VecDeque<(Mark, MicroTokens)>,
}

impl Bucket {
    /// Sets the limit from a workspace's rate, its burst and this bucket's weight.
    pub(crate) fn set_limit(&mut self, rate: u64, burst: u64, weight: Weight, now: Duration) {
        self.advance(now);
        self.rate = scale(rate, weight);
        self.burst = scale(burst, weight);
        self.level = self.level.min(self.burst - self.lent);
        self.record_room();
    }

    /// Adds the refill up to a time.
    pub(crate) fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated);
        if elapsed.is_zero() {
            return;
        }
        self.updated = now;
        let gained = self.rate as u128 * elapsed.as_nanos() + self.fraction;
        self.fraction = gained % NANOS_PER_SECOND;
        let refill = MicroTokens::try_from(gained / NANOS_PER_SECOND).unwrap_or(MicroTokens::MAX);
        let cap = self.burst - self.lent;
        self.level = self.level.saturating_add(refill).min(cap);
        if self.level >= cap {
            self.fraction = 0;
        }
        self.record_room();
    }

    /// Returns the tokens in the bucket, in millionths; negative while it is overdrawn.
    pub(crate) fn level(&self) -> MicroTokens {
        self.level
    }

    /// Returns what the level will be at a time, if nothing else happens.
    pub(crate) fn level_at(&self, now: Duration) -> MicroTokens {
        let elapsed = now.saturating_sub(self.updated).as_nanos();
        let gained = (self.rate as u128 * elapsed + self.fraction) / NANOS_PER_SECOND;
        let refill = MicroTokens::try_from(gained).unwrap_or(MicroTokens::MAX);
        self.level.saturating_add(refill).min(self.burst - self.lent)
    }

    /// Returns the refill, in millionths of a token per second.
    pub(crate) fn rate(&self) -> MicroTokens {
        self.rate
    }

    /// Returns the most tokens that the bucket holds, in millionths.
    pub(crate) fn burst(&self) -> MicroTokens {
        self.burst
    }

    /// Takes tokens that are in the bucket, and returns the mark to refund them from.
    pub(crate) fn take(&mut self, amount: MicroTokens) -> Mark {
        self.level -= amount;
        self.next_mark()
    }

    /// Takes tokens whether or not they are in the bucket; the level may become negative.
    pub(crate) fn overdraw(&mut self, amount: MicroTokens) {
        self.level -= amount;
        self.next_mark();
    }

    /// Refunds tokens taken at a mark, but no more than the least room since then, and returns the
    /// refunded amount.
    pub(crate) fn refund(&mut self, since: Mark, amount: MicroTokens) -> MicroTokens {
        let room = self.room_since(since).max(0);
        let credit = amount.min(room);
        self.level += credit;
        self.use_room(since, credit);
        self.record_room();
        credit
    }

    /// Lowers the room at every mark from `since` on, so that no two refunds use the same room.
    fn use_room(&mut self, since: Mark, credit: MicroTokens) {
        let from = self.min_rooms.partition_point(|(mark, _)| *mark < since);
        self.min_rooms.iter_mut().skip(from).for_each(|(_, room)| *room -= credit);
        let Some((_, least)) = self.min_rooms.get(from).copied() else { return };
        let keep = self.min_rooms.partition_point(|(_, room)| *room < least).min(from);
        self.min_rooms.drain(keep..from);
    }

    /// Lends tokens: they leave the level but still count against the burst.
    pub(crate) fn lend(&mut self, amount: MicroTokens) {
        self.level -= amount;
        self.lent += amount;
        self.next_mark();
    }

    /// Counts lent tokens as spent, and returns the mark to refund them from.
    pub(crate) fn settle(&mut self, amount: MicroTokens) -> Mark {
        self.lent -= amount;
        self.next_mark()
    }

    /// Takes lent tokens back unspent.
    pub(crate) fn take_back(&mut self, amount: MicroTokens) {
        self.lent -= amount;
        self.level += amount;
        self.next_mark();
    }

    /// Adds tokens that came with a weight.
    pub(crate) fn add(&mut self, amount: MicroTokens) {
        self.level = (self.level + amount).min(self.burst - self.lent);
        self.record_room();
    }

    /// Empties the bucket unless it is overdrawn, and allows no refund of tokens taken before.
    pub(crate) fn reset(&mut self) {
        self.level = self.level.min(0);
        self.min_rooms.clear();
        self.min_rooms.push_back((self.mark, 0));
        self.mark += 1;
    }

    /// Returns how much could be added without exceeding the burst.
    fn room(&self) -> MicroTokens {
        self.burst - self.level - self.lent
    }

    /// Returns the least room since a mark.
    fn room_since(&self, since: Mark) -> MicroTokens {
        let index = self.min_rooms.partition_point(|(mark, _)| *mark < since);
        self.min_rooms.get(index).map_or(self.room(), |(_, room)| (*room).min(self.room()))
    }

    /// Starts the next mark, and returns it.
    fn next_mark(&mut self) -> Mark {
        self.mark += 1;
        self.record_room();
        self.mark
    }

    /// Records the present room for the latest mark.
    fn record_room(&mut self) {
        let room = self.room();
        while self.min_rooms.back().is_some_and(|(_, last)| *last >= room) {
            self.min_rooms.pop_back();
        }
        self.min_rooms.push_back((self.mark, room));
        if self.min_rooms.len() > MAX_MARKS {
            // Joining the two oldest marks keeps the smaller room, which only makes refunds
            // smaller.
            let Some((_, oldest)) = self.min_rooms.pop_front() else { return };
            if let Some(front) = self.min_rooms.front_mut() {
                front.1 = oldest;
            }
        }
    }
}

/// Multiplies a limit in tokens by a weight.
fn scale(limit: u64, weight: Weight) -> MicroTokens {
    // FULL_WEIGHT and MICRO_PER_TOKEN are equal, so limit times weight is in millionths of a token.
    const { assert!(FULL_WEIGHT as MicroTokens == MICRO_PER_TOKEN) };
    MicroTokens::try_from(u128::from(limit) * u128::from(weight)).unwrap_or(MicroTokens::MAX / 4)
}
