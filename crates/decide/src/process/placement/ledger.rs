//! Accounts for the memory of one endpoint and for the orders sent to its engine.
//!
//! An order is written to the table before it is sent. The ledger charges the memory for the worst
//! of all possible outcomes: an item counts from the time its load order is written until the
//! engine confirms that the item is gone and no copy of a load order can still arrive.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::{ByteSize, Fence};

/// How long a copy of an order may be under way to an engine that ignores fencing numbers. After
/// this time an order without a known outcome counts as lost.
pub const ORDER_DELIVERY_LIMIT: Duration = Duration::from_secs(120);

/// How long to wait for a reply before an order is sent again.
pub const ORDER_RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// What can be resident on an endpoint: `MODEL@VERSION` or `MODEL/ADAPTER`.
pub type Item = SmolStr;

/// The number of an order, unique for its endpoint.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct OrderNumber {
    /// The fencing number of the leader that issued the order.
    pub fence: Fence,
    /// The order's number among those issued under this fencing number, from 1.
    pub number: u64,
}

/// What an order asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Order {
    /// Make an item resident.
    Load,
    /// Remove an item.
    Unload,
}

/// An order whose outcome is not known yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenOrder {
    /// The order's number.
    pub number: OrderNumber,
    /// What the order asks for.
    pub order: Order,
    /// The item to load or unload.
    pub item: Item,
    /// The item's memory, in bytes.
    pub memory: ByteSize,
}

/// The row of one endpoint in the table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRow {
    /// The fencing number of the leader that wrote the row.
    pub fence: Fence,
    /// The number of the next order.
    pub next: u64,
    /// The items that are confirmed to be resident, with their memory in bytes.
    pub resident: BTreeMap<Item, ByteSize>,
    /// The order without a known outcome; there is at most one.
    pub open: Option<OpenOrder>,
    /// Items that were loaded and of which another copy of the load order may still arrive, with
    /// their memory in bytes.
    pub late: BTreeMap<Item, ByteSize>,
}

/// The state that an engine reports.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineState {
    /// The highest fencing number that the engine has seen.
    pub fence: Fence,
    /// The resident items, with their memory in bytes.
    pub resident: BTreeMap<Item, ByteSize>,
    /// The orders that the engine has carried out recently.
    pub done: Vec<OrderNumber>,
}

/// Why an order cannot be issued.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderDenied {
    /// Another order has no known outcome yet.
    Busy,
    /// The item would not fit in the worst case: this many bytes are missing.
    NoMemory(ByteSize),
    /// The item is already resident, or already gone.
    NoEffect,
    /// Another copy of the item's load order may still arrive.
    Late,
}

/// The ledger of one endpoint, kept by the leader of its domain.
#[derive(Debug, Clone)]
pub struct Ledger {
    /// The endpoint's memory, in bytes.
    memory: ByteSize,
    /// Whether the engine rejects orders with an old fencing number.
    fencing: bool,
    row: EndpointRow,
    /// When this leader took over or last sent the open order.
    open_since: Duration,
    /// When each of the row's late items was loaded, or this leader took over.
    late_since: BTreeMap<Item, Duration>,
}

impl Ledger {
    /// Takes an endpoint over from its row, under the fencing number of this leader.
    ///
    /// `memory` is the endpoint's memory in bytes; `fencing` says that its engine rejects orders
    /// with an old fencing number.
    ///
    /// ```
    /// use bamboocourse_decide::{EndpointRow, Ledger};
    /// use std::time::Duration;
    /// let ledger = Ledger::take_over(EndpointRow::default(), 100, true, 1, Duration::ZERO);
    /// assert_eq!(ledger.charged(), 0);
    /// ```
    pub fn take_over(
        mut row: EndpointRow,
        memory: ByteSize,
        fencing: bool,
        fence: Fence,
        now: Duration,
    ) -> Self {
        if fence > row.fence {
            row.fence = fence;
            row.next = 1;
        }
        let late_since = row.late.keys().map(|item| (item.clone(), now)).collect();
        Self { memory, fencing, row, open_since: now, late_since }
    }

    /// Returns the row to write to the table.
    pub fn row(&self) -> &EndpointRow {
        &self.row
    }

    /// Returns the memory that is in use in the worst case, in bytes.
    pub fn charged(&self) -> ByteSize {
        let mut items = self.row.resident.clone();
        items.extend(self.row.late.iter().map(|(item, memory)| (item.clone(), *memory)));
        if let Some(open) = self.row.open.as_ref().filter(|open| open.order == Order::Load) {
            items.insert(open.item.clone(), open.memory);
        }
        items.values().sum()
    }

    /// Returns the memory that is free in the worst case, in bytes.
    pub fn free(&self) -> ByteSize {
        self.memory.saturating_sub(self.charged())
    }

    /// Returns whether an item is confirmed to be resident and no open order removes it.
    pub fn holds(&self, item: &Item) -> bool {
        let unloading = self
            .row
            .open
            .as_ref()
            .is_some_and(|open| open.order == Order::Unload && open.item == *item);
        self.row.resident.contains_key(item) && !unloading
    }

    /// Returns the items that cannot be unloaded yet: a copy of their load order may still arrive.
    pub fn pinned(&self) -> Vec<Item> {
        self.row.late.keys().cloned().collect()
    }

    /// Writes an order into the row; it may be sent once the row is committed.
    ///
    /// `memory` is the item's memory in bytes.
    ///
    /// # Errors
    /// Returns [`OrderDenied`] if another order is open, if the order does not fit or has no
    /// effect, or if a copy of the item's load order may still arrive after an unload.
    pub fn issue(
        &mut self,
        order: Order,
        item: &Item,
        memory: ByteSize,
        now: Duration,
    ) -> Result<OpenOrder, OrderDenied> {
        if self.row.open.is_some() {
            return Err(OrderDenied::Busy);
        }
        let resident = self.row.resident.contains_key(item);
        match order {
            Order::Load if resident => return Err(OrderDenied::NoEffect),
            Order::Unload if !resident => return Err(OrderDenied::NoEffect),
            Order::Unload if self.row.late.contains_key(item) => return Err(OrderDenied::Late),
            Order::Load if self.row.late.contains_key(item) => {}
            Order::Load if memory > self.free() => {
                return Err(OrderDenied::NoMemory(memory - self.free()));
            }
            Order::Load | Order::Unload => {}
        }
        let number = OrderNumber { fence: self.row.fence, number: self.row.next };
        let open = OpenOrder { number, order, item: item.clone(), memory };
        self.row.next += 1;
        self.row.open = Some(open.clone());
        self.open_since = now;
        Ok(open)
    }

    /// Removes an order from the row again if the row could not be committed.
    pub fn withdraw(&mut self) {
        self.row.open = None;
    }

    /// Applies the engine's reply that an order is done.
    pub fn on_done(&mut self, number: OrderNumber, now: Duration) {
        let Some(open) = self.row.open.take_if(|open| open.number == number) else { return };
        match open.order {
            Order::Load => {
                self.row.resident.insert(open.item.clone(), open.memory);
                self.row.late.insert(open.item.clone(), open.memory);
                self.late_since.insert(open.item, now);
            }
            Order::Unload => {
                self.row.resident.remove(&open.item);
            }
        }
    }

    /// Applies the state that the engine reports; returns whether the row changed.
    ///
    /// The state must have been requested after this leader took over.
    pub fn on_state(&mut self, state: &EngineState, now: Duration) -> bool {
        let before = self.row.clone();
        let done = self.row.open.as_ref().filter(|open| state.done.contains(&open.number));
        if let Some(number) = done.map(|open| open.number) {
            self.on_done(number, now);
        }
        let fenced = self.fencing && state.fence >= self.row.fence;
        if let Some(open) = &self.row.open {
            let superseded = fenced && open.number.fence < self.row.fence;
            let expired = now >= self.open_since + ORDER_DELIVERY_LIMIT;
            if superseded || expired {
                self.row.open = None;
            }
        }
        self.expire_late(now);
        if self.row.open.is_none() {
            self.set_resident(state);
        }
        self.row != before
    }

    /// Returns the open order if it is time to send it again; commit the row before sending.
    pub fn retry(&mut self, now: Duration) -> Option<OpenOrder> {
        let due = self.open_since + ORDER_RETRY_INTERVAL;
        let fence = self.row.fence;
        let open = self.row.open.as_ref()?;
        // Orders of a former leader are only resolved, never sent again.
        if now < due || open.number.fence != fence {
            return None;
        }
        self.open_since = now;
        Some(open.clone())
    }

    /// Replaces the resident items by those that the engine reports.
    fn set_resident(&mut self, state: &EngineState) {
        self.row.resident = state.resident.clone();
    }

    /// Removes the late items whose load orders can no longer arrive.
    fn expire_late(&mut self, now: Duration) {
        let expired =
            self.late_since.iter().filter(|(_, since)| now >= **since + ORDER_DELIVERY_LIMIT);
        let expired: Vec<Item> = expired.map(|(item, _)| item.clone()).collect();
        for item in expired {
            self.late_since.remove(&item);
            self.row.late.remove(&item);
        }
    }
}
