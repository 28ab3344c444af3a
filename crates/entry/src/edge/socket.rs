//! Options of sockets: connections that go dead without a word are noticed.

use std::io::IoSlice;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};

/// How long sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);
/// How long a connection is silent before it is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// How often it is probed.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Probes without an answer that end it.
const PROBES: u32 = 2;
/// How long a connection may take to be opened.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(450);

/// Sets the options of a connection, opened or accepted.
pub(crate) fn tune(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let probes =
        TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_EVERY).with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// A connection that is reset when it is closed, never closed in order.
///
/// What a cut link still holds of it is lost then, and cannot arrive once the link has healed.
#[derive(Debug)]
pub(crate) struct Abrupt(TcpStream);

impl Abrupt {
    /// Makes a connection one that is reset when it is closed.
    pub(crate) fn new(stream: TcpStream) -> std::io::Result<Self> {
        stream.set_zero_linger()?;
        Ok(Self(stream))
    }
}

impl AsyncRead for Abrupt {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.get_mut().0).poll_read(context, buffer)
    }
}

impl AsyncWrite for Abrupt {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.get_mut().0).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.get_mut().0).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.get_mut().0).poll_flush(context)
    }

    fn poll_shutdown(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        // An orderly end would be queued behind what is not sent yet.
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
    tune(&stream)?;
    Ok(stream)
}
