//! Messages between VMs and their framing.

#[allow(missing_docs, clippy::all)]
mod fleet;

use bamboocourse_decide::{ConfigStamp, StorePosition};
use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::edge::budget::{ByteBudget, Reservation};

pub(crate) use fleet::frame::Body;
pub(crate) use fleet::{
    AdapterUse, Ask, Ceiling, Demand, DoubtfulPart, EmptiedDomain, EndpointEnd, EndpointLimit,
    FloorSpend, Frame, Grant, Held, HeldModel, HeldPart, Lead, LeavingEndpoint, LimitRaise,
    ListRow, Outcome, PermitWant, Permits, Position, Prompt, Refund, Relay, Role, Roster,
    SoundPart, Spend, Status, Wait,
};

impl Status {
    /// Returns which configuration the sender has.
    pub(crate) fn config_stamp(&self) -> ConfigStamp {
        let row = StorePosition::new(self.config_era, self.config);
        ConfigStamp { version: self.config_version, row }
    }

    /// Sets which configuration the sender has.
    pub(crate) fn set_config_stamp(&mut self, stamp: ConfigStamp) {
        self.config_version = stamp.version;
        (self.config_era, self.config) = (stamp.row.era, stamp.row.version);
    }

    /// Returns the position up to which the sender knows the list of endpoints.
    pub(crate) fn listed_position(&self) -> StorePosition {
        StorePosition::new(self.listed_era, self.listed)
    }

    /// Sets the position up to which the sender knows the list of endpoints.
    pub(crate) fn set_listed_position(&mut self, position: StorePosition) {
        (self.listed_era, self.listed) = (position.era, position.version);
    }
}

impl Lead {
    /// Returns which configuration the sender has.
    pub(crate) fn config_stamp(&self) -> ConfigStamp {
        let row = StorePosition::new(self.config_era, self.config);
        ConfigStamp { version: self.config_version, row }
    }

    /// Sets which configuration the sender has.
    pub(crate) fn set_config_stamp(&mut self, stamp: ConfigStamp) {
        self.config_version = stamp.version;
        (self.config_era, self.config) = (stamp.row.era, stamp.row.version);
    }

    /// Returns the position up to which the rows bring the receiver's list of endpoints.
    pub(crate) fn listed_position(&self) -> StorePosition {
        StorePosition::new(self.listed_era, self.listed)
    }

    /// Sets the position up to which the rows bring the receiver's list of endpoints.
    pub(crate) fn set_listed_position(&mut self, position: StorePosition) {
        (self.listed_era, self.listed) = (position.era, position.version);
    }

    /// Returns the position of the lease's row that the sender wrote last.
    pub(crate) fn renewed_position(&self) -> StorePosition {
        StorePosition::new(self.renewed_era, self.renewed)
    }

    /// Sets the position of the lease's row that the sender wrote last.
    pub(crate) fn set_renewed_position(&mut self, position: StorePosition) {
        (self.renewed_era, self.renewed) = (position.era, position.version);
    }
}

/// The largest frame between VMs, in bytes; a configuration with many routes needs the most.
const MAX_FRAME_BYTES: usize = 2 << 20;
/// The length of the field before each frame that holds the frame's length, in bytes.
const LENGTH_BYTES: usize = 4;

/// A message from another VM.
#[derive(Debug)]
pub(crate) struct Received {
    pub(crate) body: Body,
    /// The memory that the message takes from the process's budget.
    pub(crate) memory: Option<Reservation>,
}

/// Length-delimited frames of protobuf messages.
///
/// A frame that is being received counts against the process's budget for large messages.
#[derive(Debug)]
pub(crate) struct FrameCodec {
    inner: LengthDelimitedCodec,
    budget: ByteBudget,
    /// The memory of the frame whose length has been received; `None` between frames.
    receiving: Option<Reservation>,
}

impl FrameCodec {
    pub(crate) fn new(budget: ByteBudget) -> Self {
        let inner = LengthDelimitedCodec::builder()
            .length_field_length(LENGTH_BYTES)
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self { inner, budget, receiving: None }
    }

    /// Reserves the memory of the next frame once its length has been received.
    fn reserve(&mut self, source: &BytesMut) -> std::io::Result<()> {
        let Some(field) = source.first_chunk::<LENGTH_BYTES>() else { return Ok(()) };
        if self.receiving.is_none() {
            let mut reserved = self.budget.reserve();
            if !reserved.cover(u32::from_be_bytes(*field) as usize) {
                return Err(std::io::Error::other("no memory is left for a frame"));
            }
            self.receiving = Some(reserved);
        }
        Ok(())
    }
}

impl Decoder for FrameCodec {
    type Item = Received;
    type Error = std::io::Error;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Received>, Self::Error> {
        self.reserve(source)?;
        let Some(bytes) = self.inner.decode(source)? else { return Ok(None) };
        let memory = self.receiving.take();
        let frame = Frame::decode(bytes.freeze())?;
        let body = frame.body.ok_or_else(|| std::io::Error::other("frame without a body"))?;
        Ok(Some(Received { body, memory }))
    }
}

impl Encoder<Body> for FrameCodec {
    type Error = std::io::Error;

    fn encode(&mut self, body: Body, target: &mut BytesMut) -> Result<(), Self::Error> {
        let frame = Frame { body: Some(body) };
        self.inner.encode(Bytes::from(frame.encode_to_vec()), target)
    }
}
