//! The client of the platform's services over HTTP.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::edge::pool::{Pool, SendError, read_body};
use crate::edge::{
    BoxFuture, Commit, CommitReply, Objects, PlatformError, Row, Table, VmList, VmListing,
};

/// How long one request to the platform may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest body of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A client of the platform's table service, object store and list of VMs.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    address: SocketAddr,
    pool: Pool,
}

#[derive(Deserialize)]
struct Rows {
    rows: Vec<Row>,
}

#[derive(Deserialize)]
struct Vms {
    vms: Vec<VmListing>,
}

impl HttpPlatform {
    /// Creates a client for the platform at `address`.
    ///
    /// Its connections use the local address `local`; `None` lets the system choose one.
    pub fn new(address: SocketAddr, local: Option<IpAddr>) -> Self {
        Self { address, pool: Pool::new(local) }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(u16, Bytes), PlatformError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|error| PlatformError::Unreachable(error.to_string()))?;
        let sending = async {
            let response = self.pool.send(self.address, request).await.map_err(from_send_error)?;
            let status = response.status().as_u16();
            let body = read_body(response.into_body(), MAX_RESPONSE_BYTES, CALL_TIMEOUT).await;
            let body = body.map_err(|error| PlatformError::Lost(format!("{error:?}")))?;
            Ok((status, body))
        };
        let result = tokio::time::timeout(CALL_TIMEOUT, sending).await;
        result.unwrap_or_else(|_| Err(PlatformError::Lost("no answer in time".to_string())))
    }

    async fn fetch_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, PlatformError> {
        let (status, body) = self.call(Method::GET, path, Bytes::new()).await?;
        decode_response(status, &body)
    }
}

impl Table for HttpPlatform {
    fn rows<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<Row>, PlatformError>> {
        Box::pin(async move {
            let path = format!("/table/rows?prefix={prefix}");
            Ok(self.fetch_json::<Rows>(&path).await?.rows)
        })
    }

    fn commit(&self, commit: Commit) -> BoxFuture<'_, Result<CommitReply, PlatformError>> {
        Box::pin(async move {
            let body = serde_json::to_vec(&commit)
                .map_err(|error| PlatformError::Unreadable(error.to_string()))?;
            let (status, body) = self.call(Method::POST, "/table/commit", body.into()).await?;
            decode_response(status, &body)
        })
    }
}

impl Objects for HttpPlatform {
    fn fetch<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<Option<Bytes>, PlatformError>> {
        Box::pin(async move {
            let path = format!("/objects/{name}");
            let (status, body) = self.call(Method::GET, &path, Bytes::new()).await?;
            match status {
                200 => Ok(Some(body)),
                404 => Ok(None),
                status => Err(PlatformError::Refused(status)),
            }
        })
    }

    fn store<'a>(
        &'a self,
        name: &'a str,
        bytes: Bytes,
    ) -> BoxFuture<'a, Result<(), PlatformError>> {
        Box::pin(async move {
            let (status, _) = self.call(Method::PUT, &format!("/objects/{name}"), bytes).await?;
            if status == 200 { Ok(()) } else { Err(PlatformError::Refused(status)) }
        })
    }
}

impl VmList for HttpPlatform {
    fn vms(&self) -> BoxFuture<'_, Result<Vec<VmListing>, PlatformError>> {
        Box::pin(async move { Ok(self.fetch_json::<Vms>("/vms").await?.vms) })
    }
}

fn from_send_error(error: SendError) -> PlatformError {
    match error {
        SendError::NotSent(why) => PlatformError::Unreachable(why),
        SendError::Unknown(why) => PlatformError::Lost(why),
    }
}

fn decode_response<T: DeserializeOwned>(status: u16, body: &[u8]) -> Result<T, PlatformError> {
    if status != 200 {
        return Err(PlatformError::Refused(status));
    }
    serde_json::from_slice(body).map_err(|error| PlatformError::Unreadable(error.to_string()))
}
