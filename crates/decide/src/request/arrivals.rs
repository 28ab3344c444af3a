//! Which sends of one request count as retries.

/// The sends of one request that may have arrived at an endpoint, and the retries taken for them.
///
/// The retry budget limits arrivals beyond the first, so a send that reached no endpoint is none: the
/// next one needs no further retry.
#[derive(Debug, Clone, Copy, Default)]
pub struct Arrivals {
    arrived: u32,
    retries: u32,
}

impl Arrivals {
    /// Returns the state after the first send has arrived.
    ///
    /// ```
    /// use bamboocourse_decide::Arrivals;
    /// assert!(Arrivals::first().needs_retry());
    /// assert!(!Arrivals::default().needs_retry());
    /// ```
    pub fn first() -> Self {
        Self { arrived: 1, retries: 0 }
    }

    /// Returns whether a retry must be taken from the budget before the next send.
    pub fn needs_retry(&self) -> bool {
        self.retries < self.arrived
    }

    /// Records that a retry was taken.
    pub fn on_retry(&mut self) {
        self.retries += 1;
    }

    /// Records a send; `arrived` says whether it may have arrived.
    pub fn on_send(&mut self, arrived: bool) {
        self.arrived += u32::from(arrived);
    }
}
