//! Socket options that detect dead connections, and connections that are reset when closed.

use std::io::IoSlice;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

/// How long sent bytes may stay unacknowledged before the connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a connection is silent before the first keepalive probe.
const KEEPALIVE_DELAY: Duration = Duration::from_secs(1);
/// The time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// How long opening a connection may take.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(450);

/// Sets the options of an opened or accepted connection.
pub(crate) fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_DELAY)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// Tells when the first byte of a response arrived; clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct FirstByte(Arc<watch::Sender<Option<Instant>>>);

impl FirstByte {
    /// Forgets the byte of the last response.
    pub(crate) fn clear(&self) {
        self.0.send_replace(None);
    }

    /// Waits for the first byte and then for a time.
    pub(crate) async fn wait(&self, time: Duration) {
        let mut arrived = self.0.subscribe();
        // The sender lives as long as `self`.
        if let Ok(at) = arrived.wait_for(Option::is_some).await.map(|at| *at)
            && let Some(at) = at
        {
            tokio::time::sleep_until(at + time).await;
        }
    }

    fn record(&self) {
        self.0.send_if_modified(|at| {
            let is_first = at.is_none();
            at.get_or_insert_with(Instant::now);
            is_first
        });
    }
}

/// A connection that is reset when it is dropped, without an orderly shutdown.
///
/// A reset discards the bytes that are still queued for a broken link, so that they cannot arrive
/// after the link recovers.
#[derive(Debug)]
pub(crate) struct ResetOnClose {
    stream: TcpStream,
    first_byte: FirstByte,
}

impl ResetOnClose {
    /// Sets a connection to be reset when it is dropped.
    pub(crate) fn new(stream: TcpStream, first_byte: FirstByte) -> std::io::Result<Self> {
        stream.set_zero_linger()?;
        Ok(Self { stream, first_byte })
    }
}

impl AsyncRead for ResetOnClose {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            this.first_byte.record();
        }
        polled
    }
}

impl AsyncWrite for ResetOnClose {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        // An orderly shutdown would be queued behind the bytes that are not sent yet.
        Poll::Ready(Ok(()))
    }
}

/// Connects from a local address, within [`CONNECT_TIMEOUT`].
pub(crate) async fn connect(local: IpAddr, address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(local, 0))?;
    let stream =
        tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(address)).await.map_err(|_| {
            std::io::Error::new(std::io::ErrorKind::TimedOut, "connecting took too long")
        })??;
    set_options(&stream)?;
    Ok(stream)
}
