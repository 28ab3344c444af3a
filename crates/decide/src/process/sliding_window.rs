//! Sums of amounts over a sliding window of time.

use std::collections::VecDeque;
use std::time::Duration;

/// The number of buckets of a window; an amount leaves the sum up to one bucket late, never early.
const BUCKETS: u32 = 40;

/// The amounts of the last span of time, and their sum.
#[derive(Debug, Clone)]
pub struct SlidingWindow {
    span: Duration,
    bucket_span: Duration,
    /// The number and the sum of each bucket that holds an amount, oldest first.
    buckets: VecDeque<(u64, u64)>,
    total: u64,
}

impl SlidingWindow {
    /// Creates an empty window.
    ///
    /// ```
    /// use bamboocourse_decide::SlidingWindow;
    /// use std::time::Duration;
    /// let mut window = SlidingWindow::new(Duration::from_secs(8));
    /// window.add(Duration::from_secs(1), 5);
    /// assert_eq!(window.total(Duration::from_secs(9)), 5);
    /// assert_eq!(window.total(Duration::from_secs(10)), 0);
    /// ```
    pub fn new(span: Duration) -> Self {
        let bucket_span = (span / BUCKETS).max(Duration::from_millis(1));
        Self { span, bucket_span, buckets: VecDeque::new(), total: 0 }
    }

    /// Adds an amount at a time, which must not lie more than one bucket before the latest one.
    ///
    /// An amount of an earlier time counts in the newest bucket, so it leaves the sum late.
    pub fn add(&mut self, now: Duration, amount: u64) {
        if amount == 0 {
            return;
        }
        let index = self.index(now);
        match self.buckets.back_mut() {
            Some((last, sum)) if *last >= index => *sum += amount,
            _ => self.buckets.push_back((index, amount)),
        }
        self.total += amount;
    }

    /// Adds an amount at a time that may lie before those of other amounts, so that it leaves the sum
    /// in time.
    ///
    /// ```
    /// use bamboocourse_decide::SlidingWindow;
    /// use std::time::Duration;
    /// let mut window = SlidingWindow::new(Duration::from_secs(8));
    /// window.add(Duration::from_secs(5), 2);
    /// window.insert(Duration::from_secs(1), 5);
    /// assert_eq!(window.total(Duration::from_secs(10)), 2);
    /// ```
    pub fn insert(&mut self, at: Duration, amount: u64) {
        let index = self.index(at);
        let place = self.buckets.partition_point(|(bucket, _)| *bucket < index);
        match self.buckets.get_mut(place) {
            Some((bucket, sum)) if *bucket == index => *sum += amount,
            _ => self.buckets.insert(place, (index, amount)),
        }
        self.total += amount;
    }

    /// Returns the sum of the amounts that are still inside the window.
    pub fn total(&mut self, now: Duration) -> u64 {
        let oldest = self.index(now.saturating_sub(self.span + self.bucket_span));
        while let Some((index, amount)) = self.buckets.front() {
            if now < self.span + self.bucket_span || *index > oldest {
                break;
            }
            self.total -= amount;
            self.buckets.pop_front();
        }
        self.total
    }

    /// Returns the time until the sum has fallen to a bound, if it is above the bound now.
    pub fn time_to_fall(&mut self, bound: u64, now: Duration) -> Option<Duration> {
        let mut left = self.total(now);
        for (index, amount) in &self.buckets {
            if left <= bound {
                return None;
            }
            left -= amount;
            if left <= bound {
                let end = self.bucket_span * (*index as u32 + 2) + self.span;
                return Some(end.saturating_sub(now));
            }
        }
        None
    }

    /// Returns the sums of the last `count` parts of length `part`, newest first.
    pub fn parts(&self, part: Duration, count: u32, now: Duration) -> Vec<u64> {
        let mut parts = vec![0; count as usize];
        for (index, amount) in &self.buckets {
            let end = self.bucket_span * (*index as u32 + 1);
            let age = now.saturating_sub(end);
            let position = (age.as_nanos() / part.as_nanos().max(1)) as usize;
            if let Some(sum) = parts.get_mut(position) {
                *sum += amount;
            }
        }
        parts
    }

    /// Returns the number of the bucket that a time falls into.
    fn index(&self, at: Duration) -> u64 {
        (at.as_nanos() / self.bucket_span.as_nanos()) as u64
    }
}
