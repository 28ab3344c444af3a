//! Options of sockets: connections that go dead without a word are noticed.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
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
