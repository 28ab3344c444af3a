//! Sound servers: a plain service and a service with models, which keep no bodies.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bamboocourse_emulator::Store;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::http::find;

/// How often each request was run, by its id.
pub type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// One server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: u32,
    pub models: Vec<String>,
    /// How long a plain request takes, or the pause before each event.
    pub work: Duration,
    /// The events of a stream; 0 for a plain service.
    pub events: u64,
    pub runs: Runs,
    pub running: Arc<AtomicU64>,
}

impl Server {
    /// Listens on a free port of 127.0.0.1 and writes the server's entry into the store.
    pub async fn start(self, store: &Store) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let models: Vec<_> = self
            .models
            .iter()
            .map(|name| json!({"name": name, "version": 1, "adapters": []}))
            .collect();
        let entry = json!({"service": self.service, "address": address.to_string(),
            "zone": self.zone, "version": "v1", "slots": self.slots, "state": "ready",
            "cold_left_ms": 0, "stage": "both", "models": models, "seq": 0,
            "born": 1_790_000_000_000_u64});
        store.write("servers", &self.id, Some(&entry));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = self.clone();
                tokio::spawn(async move { server.serve(stream).await });
            }
        });
        Ok(address)
    }

    async fn serve(self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = find(&buffer, b"\r\n\r\n") {
                    break end + 4;
                }
                if stream.read_buf(&mut buffer).await? == 0 {
                    return Ok(());
                }
            };
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end);
            let header = |name: &str| {
                let mut lines = head.lines().skip(1).filter_map(|line| line.split_once(':'));
                let found = lines.find(|(other, _)| other.trim().eq_ignore_ascii_case(name));
                found.map(|(_, value)| value.trim().to_owned())
            };
            // The body is read and forgotten.
            let mut left: usize =
                header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            while left > 0 {
                let taken = left.min(buffer.len());
                buffer.drain(..taken);
                left -= taken;
                if left > 0 && stream.read_buf(&mut buffer).await? == 0 {
                    return Ok(());
                }
            }
            let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
            let id = header("x-bamboocourse-request-id").unwrap_or_default();
            if header("x-bamboocourse-expect-instance").is_some_and(|other| other != self.id) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Bamboocourse-Request-Id: {id}\r\n\
                     X-Bamboocourse-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                stream.write_all(answer.as_bytes()).await?;
                continue;
            }
            if path == "/bamboocourse/report" {
                let models: Vec<_> = self
                    .models
                    .iter()
                    .map(|name| json!({"name": name, "version": 1, "adapters": []}))
                    .collect();
                let report = json!({"stage": "both", "models": models, "busy": false, "seq": 0,
                    "born": 1_790_000_000_000_u64, "queued": 0,
                    "running": self.running.load(Ordering::Relaxed), "kv_used": 0,
                    "kv_total": 100_000, "handles": 0})
                .to_string();
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
                     Content-Length: {}\r\n\r\n{report}",
                    report.len()
                );
                stream.write_all(answer.as_bytes()).await?;
                continue;
            }
            if path == "/bamboocourse/order" {
                // Another order is under way, for ever: all models that are asked for are there.
                stream.write_all(b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n").await?;
                continue;
            }
            if let Ok(mut runs) = self.runs.lock() {
                *runs.entry(id.clone()).or_default() += 1;
            }
            self.running.fetch_add(1, Ordering::Relaxed);
            let answered = self.answer(&mut stream, &id).await;
            self.running.fetch_sub(1, Ordering::Relaxed);
            answered?;
        }
    }

    /// Runs a request and answers it.
    async fn answer(&self, stream: &mut TcpStream, id: &str) -> std::io::Result<()> {
        let running = self.running.load(Ordering::Relaxed);
        let mut head = format!(
            "HTTP/1.1 200 OK\r\nX-Bamboocourse-Request-Id: {id}\r\n\
             X-Bamboocourse-Response-Seal: seal-of-{id}\r\n\
             X-Bamboocourse-Server-Load: {running},0,{}\r\nKeep-Alive: timeout=10\r\n",
            self.slots
        );
        if self.events == 0 {
            tokio::time::sleep(self.work).await;
            let body = format!("answer to {id}");
            head.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
            return stream.write_all(head.as_bytes()).await;
        }
        head.push_str("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for number in 1..=self.events {
            tokio::time::sleep(self.work).await;
            let event = format!("id: {number}\ndata: event {number} of {id}\n\n");
            head.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
            stream.write_all(head.as_bytes()).await?;
            head.clear();
        }
        stream.write_all(b"0\r\n\r\n").await
    }
}
