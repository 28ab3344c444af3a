//! The messages between VMs and their framing.

#[allow(missing_docs, clippy::all)]
mod peer;

pub(crate) mod convert;
pub(crate) mod size;

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

pub(crate) use peer::frame::Body;
pub(crate) use peer::{
    AskMessage, Demand, Digest, Entries, Entry, Frame, GrantMessage, Hello, ObjectContent,
    ObjectWanted, UnusedTokens, Wanted,
};

/// The largest frame between VMs, in bytes.
const MAX_FRAME_BYTES: usize = 16 << 20;

/// The codec of length-delimited frames, each with one protobuf message.
#[derive(Debug)]
pub(crate) struct FrameCodec {
    inner: LengthDelimitedCodec,
}

impl Default for FrameCodec {
    fn default() -> Self {
        let inner = LengthDelimitedCodec::builder()
            .length_field_length(4)
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self { inner }
    }
}

impl Decoder for FrameCodec {
    type Item = Body;
    type Error = std::io::Error;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Body>, Self::Error> {
        let Some(bytes) = self.inner.decode(source)? else { return Ok(None) };
        let frame = Frame::decode(bytes.freeze())?;
        frame.body.map(Some).ok_or_else(|| std::io::Error::other("frame without a body"))
    }
}

impl Encoder<Body> for FrameCodec {
    type Error = std::io::Error;

    fn encode(&mut self, body: Body, target: &mut BytesMut) -> Result<(), Self::Error> {
        let frame = Frame { body: Some(body) };
        self.inner.encode(Bytes::from(frame.encode_to_vec()), target)
    }
}
