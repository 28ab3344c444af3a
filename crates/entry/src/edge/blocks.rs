//! The bytes of a message whose length is not known in advance.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::edge::budget::{ByteBudget, Reservation};

/// The size of a block, in bytes.
const BLOCK_BYTES: usize = 64 << 10;

/// Bytes that are appended to; they are kept in blocks, since one buffer that grows by doubling
/// takes up to three times its bytes while it is copied.
#[derive(Debug, Default)]
pub(crate) struct Blocks {
    full: Vec<Bytes>,
    last: BytesMut,
    length: usize,
}

impl Blocks {
    /// Appends bytes.
    pub(crate) fn extend(&mut self, mut data: &[u8]) {
        self.length += data.len();
        while !data.is_empty() {
            if self.last.len() == BLOCK_BYTES {
                let next = BytesMut::with_capacity(BLOCK_BYTES);
                self.full.push(std::mem::replace(&mut self.last, next).freeze());
            }
            let (fitting, rest) = data.split_at(data.len().min(BLOCK_BYTES - self.last.len()));
            self.last.extend_from_slice(fitting);
            data = rest;
        }
    }

    /// Returns all bytes in one buffer.
    pub(crate) fn freeze(self) -> Bytes {
        if self.full.is_empty() {
            return self.last.freeze();
        }
        let mut joined = BytesMut::with_capacity(self.length);
        for block in self.full {
            joined.extend_from_slice(&block);
        }
        joined.extend_from_slice(&self.last);
        joined.freeze()
    }
}

/// Why a body was not read.
#[derive(Debug)]
pub(crate) enum CollectError {
    /// It is longer than the limit.
    TooLarge,
    /// The process has no memory left for it.
    NoMemory,
    /// Its connection failed within it.
    Broken(hyper::Error),
}

/// What becomes of a body for which there is no memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Excess {
    /// It is not read any further.
    Unread,
    /// It is read to its end and discarded: a caller reads no response before it has written its body,
    /// and a connection that is closed first is reset.
    Discarded,
}

/// Reads a complete body of at most `limit` bytes; the reservation of its memory is to be dropped with it.
pub(crate) async fn collect(
    mut body: Incoming,
    limit: usize,
    budget: &ByteBudget,
    excess: Excess,
) -> Result<(Bytes, Reservation), CollectError> {
    if body.size_hint().lower() > limit as u64 {
        return Err(CollectError::TooLarge);
    }
    let mut reserved = budget.reserve();
    let mut bytes = Some(Blocks::default());
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(CollectError::Broken)?;
        let Some(data) = frame.data_ref() else { continue };
        length += data.len();
        if length > limit {
            return Err(CollectError::TooLarge);
        }
        match &mut bytes {
            Some(bytes) if reserved.cover(length) => bytes.extend(data),
            Some(_) if excess == Excess::Unread => return Err(CollectError::NoMemory),
            Some(_) => (bytes, reserved) = (None, budget.reserve()),
            None => {}
        }
    }
    let bytes = bytes.ok_or(CollectError::NoMemory)?;
    Ok((bytes.freeze(), reserved))
}
