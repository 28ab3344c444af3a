//! A client's connection, with bytes as they are.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// How many responses it has carried.
    pub responses: u32,
    /// Whether a byte of the response that is being read has come.
    pub begun: bool,
}

pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Response {
    /// Returns the value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().skip(1).filter_map(|line| line.split_once(':'));
        let mut found = lines.filter(|(other, _)| other.trim().eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.trim())
    }
}

impl Connection {
    pub async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, buffer: Vec::new(), responses: 0, begun: false })
    }

    /// Sends a request to the host `host.example`; `line` is its method and path.
    pub async fn send(
        &mut self,
        line: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> std::io::Result<()> {
        let mut head = format!("{line} HTTP/1.1\r\nHost: host.example\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        self.begun = false;
        self.stream.write_all(head.as_bytes()).await?;
        self.stream.write_all(body).await
    }

    /// Receives a complete response; fails if the connection ends before.
    pub async fn receive(&mut self) -> std::io::Result<Response> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end + 4;
            }
            self.more().await?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end);
        let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut response = Response { status, head, body: Vec::new() };
        if response.header("transfer-encoding").is_some_and(|coding| coding == "chunked") {
            loop {
                let line = loop {
                    if let Some(end) = find(&self.buffer, b"\r\n") {
                        break end;
                    }
                    self.more().await?;
                };
                let size = String::from_utf8_lossy(&self.buffer[..line]).trim().to_owned();
                let size = usize::from_str_radix(&size, 16).map_err(std::io::Error::other)?;
                while self.buffer.len() < line + 2 + size + 2 {
                    self.more().await?;
                }
                response.body.extend_from_slice(&self.buffer[line + 2..line + 2 + size]);
                self.buffer.drain(..line + 2 + size + 2);
                if size == 0 {
                    break;
                }
            }
        } else {
            let length =
                response.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            while self.buffer.len() < length {
                self.more().await?;
            }
            response.body = self.buffer.drain(..length).collect();
        }
        self.responses += 1;
        Ok(response)
    }

    async fn more(&mut self) -> std::io::Result<()> {
        if self.stream.read_buf(&mut self.buffer).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        self.begun = true;
        Ok(())
    }
}

pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
