//! A pool of HTTP connections to endpoints and to the store.
//!
//! Connections are reset when they are closed, so that bytes of an abandoned request that are still
//! queued on a broken link do not arrive after the link recovers. This matters most for orders.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bamboocourse_decide::{FastMap, is_final_status};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::time::Instant;

use crate::edge::blocks::{self, CollectError, Excess};
use crate::edge::budget::ByteBudget;
use crate::edge::socket::{self, FirstByte};

/// How long a connection is kept idle if the remote end does not say.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// How much earlier than the remote end an idle connection is closed.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// How long after its first byte the head of a response may take.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// The largest head of a response, and the most that is read ahead of a body, in bytes.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// The largest number of idle connections for one address.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// Why a request has no response; the texts are reasons for logs and refusals.
#[derive(Debug)]
pub enum SendError {
    /// No part of the request was written.
    NotSent(String),
    /// No part of the request was written, as the sender has withdrawn it.
    Withheld,
    /// The remote end may have received the request.
    Unknown(String),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) | Self::Unknown(why) => f.write_str(why),
            Self::Withheld => f.write_str("the request was withdrawn before it was written"),
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

/// A pool of HTTP/1.1 connections by address; clones share the connections.
#[derive(Debug, Clone)]
pub struct Pool {
    local: IpAddr,
    idle: Arc<Mutex<FastMap<SocketAddr, Vec<IdleConnection>>>>,
    budget: ByteBudget,
}

/// An open connection that carries one request at a time.
#[derive(Debug)]
struct Connection {
    sender: Sender,
    first_byte: FirstByte,
    /// Whether it has carried a response before the current one.
    reused: bool,
}

/// A connection without a request, and until when it is kept.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    until: Instant,
}

/// A connection whose response is being read; dropping it closes the connection.
#[derive(Debug)]
pub struct PooledConnection {
    pool: Pool,
    address: SocketAddr,
    connection: Connection,
}

impl PooledConnection {
    /// Reads the complete body of the response, of at most `limit` bytes.
    ///
    /// # Errors
    /// Returns an error if the body is longer or the process has no memory left for it, or if the
    /// connection closes within the body.
    pub async fn read_body(&self, body: Incoming, limit: usize) -> Result<Bytes, ReadError> {
        match blocks::collect(body, limit, &self.pool.budget, Excess::Unread).await {
            Ok((bytes, _)) => Ok(bytes),
            Err(CollectError::TooLarge | CollectError::NoMemory) => Err(ReadError::TooLarge),
            Err(CollectError::Broken(_)) => Err(ReadError::Broken),
        }
    }

    /// Returns whether the connection carried another response before this one, of which the remote
    /// end may write more.
    pub(crate) fn is_reused(&self) -> bool {
        self.connection.reused
    }

    /// Returns the connection to the pool; its response must have been read completely.
    ///
    /// `idle` is how long the remote end keeps the connection idle, if it says so.
    pub fn keep(self, idle: Option<Duration>) {
        let timeout = idle.unwrap_or(DEFAULT_IDLE_TIMEOUT).saturating_sub(IDLE_MARGIN);
        if timeout.is_zero() || self.connection.sender.is_closed() {
            return;
        }
        let mut idle_connections = self.pool.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle_connections.entry(self.address).or_default();
        if kept.len() < MAX_IDLE_CONNECTIONS {
            let until = Instant::now() + timeout;
            let connection = Connection { reused: true, ..self.connection };
            kept.push(IdleConnection { connection, until });
        }
    }
}

impl Pool {
    /// Creates a pool whose connections come from a local address.
    pub fn new(local: IpAddr) -> Self {
        Self { local, idle: Arc::default(), budget: ByteBudget::new() }
    }

    /// Returns the budget for the large messages that the process receives.
    pub(crate) fn budget(&self) -> &ByteBudget {
        &self.budget
    }

    /// Sends a request and returns the response, whose body is still to be read.
    ///
    /// The request is written at most once. If an idle connection is found to be closed before any
    /// byte of the request was written, another connection is used.
    ///
    /// # Errors
    /// Returns an error if no connection can be opened, or if the connection fails or the head takes
    /// too long or is too large before it has arrived.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, PooledConnection), SendError> {
        self.send_if(address, request, || true).await
    }

    /// Sends a request as [`send`](Self::send) does, if `may_send` holds once a connection is open.
    ///
    /// # Errors
    /// Fails as [`send`](Self::send) does, or with [`SendError::Withheld`].
    pub async fn send_if(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        may_send: impl Fn() -> bool + Send,
    ) -> Result<(Response<Incoming>, PooledConnection), SendError> {
        while let Some(mut connection) = self.take_idle(address) {
            if !may_send() {
                return Err(SendError::Withheld);
            }
            match connection.send(request).await {
                Ok(response) => {
                    check_status(&response)?;
                    return Ok((response, self.wrap(address, connection)));
                }
                Err((_, Some(unsent))) => request = unsent,
                Err((why, None)) => return Err(SendError::Unknown(why)),
            }
        }
        let mut connection = self.connect(address).await?;
        if !may_send() {
            return Err(SendError::Withheld);
        }
        match connection.send(request).await {
            Ok(response) => {
                check_status(&response)?;
                Ok((response, self.wrap(address, connection)))
            }
            Err((why, Some(_))) => Err(SendError::NotSent(why)),
            Err((why, None)) => Err(SendError::Unknown(why)),
        }
    }

    /// Opens a connection and closes it again; returns whether it was refused, as it is where no
    /// process listens.
    pub(crate) async fn is_refused(&self, address: SocketAddr) -> bool {
        let opened = socket::connect(self.local, address).await;
        opened.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
    }

    /// Closes the connections that have been idle for too long.
    pub fn prune(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, kept| {
            kept.retain(|kept| now < kept.until && !kept.connection.sender.is_closed());
            !kept.is_empty()
        });
    }

    fn wrap(&self, address: SocketAddr, connection: Connection) -> PooledConnection {
        PooledConnection { pool: self.clone(), address, connection }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, SendError> {
        let first_byte = FirstByte::default();
        let stream = socket::connect(self.local, address)
            .await
            .and_then(|stream| socket::ResetOnClose::new(stream, first_byte.clone()))
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| SendError::NotSent(error.to_string()))?;
        // Errors of the connection reach the caller through the current request.
        tokio::spawn(connection);
        Ok(Connection { sender, first_byte, reused: false })
    }

    /// Takes an idle connection that is ready for a request, if there is one.
    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.get_mut(&address)?;
        kept.retain(|kept| now < kept.until && !kept.connection.sender.is_closed());
        let ready = kept.iter().rposition(|kept| kept.connection.sender.is_ready())?;
        Some(kept.swap_remove(ready).connection)
    }
}

impl Connection {
    /// Sends a request and waits for the head of the response.
    ///
    /// Fails with the reason, and with the request if no byte of it was written.
    async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, (String, Option<Request<Full<Bytes>>>)> {
        self.first_byte.clear();
        let sent = tokio::select! {
            sent = self.sender.try_send_request(request) => sent,
            () = self.first_byte.wait(HEAD_TIMEOUT) => {
                return Err(("the head of the response does not end".to_owned(), None));
            }
        };
        sent.map_err(|mut error| {
            let unsent = error.take_message();
            (error.into_error().to_string(), unsent)
        })
    }
}

/// Why a body could not be read completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// The body is larger than the limit.
    TooLarge,
    /// The connection was closed before the end of the body.
    Broken,
}
