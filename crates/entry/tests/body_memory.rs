//! The memory that bodies without end take while they are read.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

use bamboocourse_entry::Pool;
use bytes::Bytes;
use futures_util::future::join_all;
use http::Request;
use http_body_util::Full;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// The memory in use and the most of it, in bytes.
static USED: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);

struct Counting;

// SAFETY: all calls are forwarded to the system's allocator.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let used = USED.fetch_add(layout.size(), Ordering::Relaxed) + layout.size();
        PEAK.fetch_max(used, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, start: *mut u8, layout: Layout) {
        USED.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(start, layout) }
    }
}

#[global_allocator]
static COUNTING: Counting = Counting;

/// The connections at a time.
const CONNECTIONS: usize = 12;
/// The process's memory for large messages and half of it again for the connections' own buffers,
/// in bytes.
const MAX_PEAK_BYTES: usize = 12 << 20;

#[tokio::test]
async fn bodies_without_end_take_the_memory_for_large_messages_and_no_more() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n").await;
                while stream.write_all(&[b'x'; 16 << 10]).await.is_ok() {}
            });
        }
    });
    let pool = Pool::new(address.ip());
    let before = USED.load(Ordering::Relaxed);
    let read = async || {
        let request = Request::new(Full::new(Bytes::new()));
        let (response, connection) = pool.send(address, request).await.expect("a response");
        connection.read_body(response.into_body(), usize::MAX).await
    };
    for result in join_all((0..CONNECTIONS).map(|_| read())).await {
        assert!(result.is_err(), "the body has no end");
    }
    let peak = PEAK.load(Ordering::Relaxed) - before;
    assert!(peak <= MAX_PEAK_BYTES, "{} KB are in use", peak >> 10);
}
