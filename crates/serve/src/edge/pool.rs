//! Reusable HTTP connections to endpoints and to the platform.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bamboocourse_decide::{FastMap, is_final_status};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpSocket, TcpStream};

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The number of idle connections that are kept for one address.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Why a request has no response.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The request was sent, in whole or in part, and may have been received.
    Unknown(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) | Self::Unknown(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for SendError {}

/// Checks that a response has a status that ends a request; if it has not, its connection is closed.
fn check_status(response: &Response<Incoming>) -> Result<(), SendError> {
    let status = response.status();
    if is_final_status(status.as_u16()) {
        return Ok(());
    }
    Err(SendError::Unknown(format!("it answered with the status {}", status.as_u16())))
}

type Sender = SendRequest<Full<Bytes>>;

/// A pool of HTTP/1.1 connections by address.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    local: Option<IpAddr>,
    idle: Arc<Mutex<FastMap<SocketAddr, Vec<Sender>>>>,
}

impl Pool {
    /// Creates a pool whose connections use the local address `local`; `None` lets the system
    /// choose one.
    pub fn new(local: Option<IpAddr>) -> Self {
        Self { local, idle: Arc::default() }
    }

    /// Sends a request and returns the response, whose body has not been read yet.
    ///
    /// Dropping the body before its end closes the connection. A request is sent at most once: only
    /// if an idle connection was closed before anything was written is another connection used.
    ///
    /// # Errors
    /// Fails if connecting fails or takes longer than a second, or if the connection fails before
    /// the head of the response has arrived. The caller limits the time until then.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        while let Some(mut sender) = self.take_idle(address) {
            match sender.try_send_request(request).await {
                Ok(response) => {
                    check_status(&response)?;
                    self.put_idle(address, sender);
                    return Ok(response);
                }
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::Unknown(error.into_error().to_string())),
                },
            }
        }
        let mut sender = self.connect(address).await?;
        match sender.try_send_request(request).await {
            Ok(response) => {
                check_status(&response)?;
                self.put_idle(address, sender);
                Ok(response)
            }
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let why = error.into_error().to_string();
                Err(if unsent { SendError::NotSent(why) } else { SendError::Unknown(why) })
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Sender, SendError> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connect(self.local, address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(SendError::NotSent(error.to_string())),
            Err(_) => return Err(SendError::NotSent("connecting took too long".to_string())),
        };
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        tokio::spawn(connection);
        Ok(sender)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.get_mut(&address)?;
        senders.retain(|sender| !sender.is_closed());
        let ready = senders.iter().rposition(SendRequest::is_ready)?;
        Some(senders.swap_remove(ready))
    }

    fn put_idle(&self, address: SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.entry(address).or_default();
        if senders.len() < MAX_IDLE_CONNECTIONS {
            senders.push(sender);
        }
    }
}

/// Opens a TCP connection from the local address `local`; `None` lets the system choose one.
pub(crate) async fn connect(
    local: Option<IpAddr>,
    address: SocketAddr,
) -> std::io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(local) = local {
        socket.bind(SocketAddr::new(local, 0))?;
    }
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Why a body could not be read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// The body is larger than the limit.
    TooLarge,
    /// The connection failed before the end of the body.
    Broken,
    /// The body did not arrive in time.
    TimedOut,
}

/// Reads a body to its end.
///
/// # Errors
/// Fails if the body is longer than `limit` bytes, breaks off, or takes longer than `timeout`.
pub async fn read_body(
    body: Incoming,
    limit: usize,
    timeout: Duration,
) -> Result<Bytes, ReadError> {
    let reading = async move {
        let mut body = body;
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return Err(ReadError::Broken) };
            let Some(data) = frame.data_ref() else { continue };
            if bytes.len() + data.len() > limit {
                return Err(ReadError::TooLarge);
            }
            bytes.extend_from_slice(data);
        }
        Ok(bytes.freeze())
    };
    tokio::time::timeout(timeout, reading).await.unwrap_or(Err(ReadError::TimedOut))
}
