//! An endpoint closes or resets its connection after each byte of an answer: no answer is taken for
//! whole that is not.

use std::time::Duration;

use bamboocourse_entry::Pool;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The head's lines that all answers have.
const HEAD: &str = "HTTP/1.1 200 OK\r\nX-Seal: s\r\n";
const BODY: &str = "a whole answer";
/// The most of a body that is read, in bytes.
const MAX_BODY_BYTES: usize = 1 << 16;

/// How a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

/// Returns an answer with this text ahead of it and these lines and body behind its head.
fn answer(ahead: &str, lines: &str, body: &str) -> (usize, String) {
    let head = format!("{ahead}{HEAD}{lines}\r\n");
    (head.len(), format!("{head}{body}"))
}

/// Reads a request of these tests, which has no body.
async fn read_request(stream: &mut TcpStream) {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => bytes.push(byte),
            Err(_) => return,
        }
    }
}

/// Answers a request with all of `first`, if there is one, and the next one with `text`.
async fn serve(listener: &TcpListener, first: Option<&str>, text: &str, end: End) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    for text in first.into_iter().chain([text]) {
        read_request(&mut stream).await;
        stream.write_all(text.as_bytes()).await.expect("the other end reads");
    }
    // What was written arrives before the connection ends.
    tokio::time::sleep(Duration::from_millis(1)).await;
    if end == End::Reset {
        stream.set_zero_linger().expect("the option is known");
    }
}

/// Sends a request and returns the body if the answer counts as whole.
async fn request(pool: &Pool, listener: &TcpListener, keep: bool) -> Option<Bytes> {
    let address = listener.local_addr().expect("an address");
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = "/x".parse().expect("a path");
    let (response, connection) = pool.send(address, request).await.ok()?;
    assert_eq!(response.status(), 200);
    let body = connection.read_body(response.into_body(), MAX_BODY_BYTES).await.ok()?;
    if keep {
        connection.keep(None);
    }
    Some(body)
}

/// Cuts an answer after each byte, on a new and on a kept connection.
async fn check(ahead: &str, lines: &str, body: &str, is_framed: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (head_bytes, text) = answer(ahead, lines, body);
    let (_, whole) = answer("", &format!("Content-Length: {}\r\n", BODY.len()), BODY);
    for cut in 0..=text.len() {
        for end in [End::Close, End::Reset] {
            for first in [None, Some(whole.as_str())] {
                let pool = Pool::new(address.ip());
                let requests = async {
                    if first.is_some() {
                        let kept = request(&pool, &listener, true).await;
                        assert_eq!(kept.as_deref(), Some(BODY.as_bytes()));
                    }
                    request(&pool, &listener, false).await
                };
                let (answered, ()) =
                    tokio::join!(requests, serve(&listener, first, &text[..cut], end));
                let case =
                    format!("{cut} of {} bytes, {end:?}, kept: {}", text.len(), first.is_some());
                match answered {
                    // Without a length or chunks, a closed connection ends the body.
                    Some(answered) if !is_framed && end == End::Close && cut >= head_bytes => {
                        assert_eq!(answered, &text[head_bytes..cut], "{case}");
                    }
                    Some(answered) => {
                        assert_eq!(answered, BODY, "{case}");
                        assert!(is_framed && cut == text.len(), "{case}");
                    }
                    None if cut < text.len() => {}
                    None => assert!(!is_framed && end == End::Reset, "{case}"),
                }
            }
        }
    }
}

macro_rules! broken_case {
    ($name:ident, $ahead:expr, $lines:expr, $body:expr, $framed:expr) => {
        #[tokio::test]
        async fn $name() {
            check($ahead, $lines, $body, $framed).await;
        }
    };
}

const LENGTH: &str = "Content-Length: 14\r\n";
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";
const CHUNKS: &str = "7\r\na whole\r\n7\r\n answer\r\n0\r\n\r\n";
const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";

broken_case!(answer_with_a_length_is_whole_or_broken, "", LENGTH, BODY, true);
broken_case!(answer_in_chunks_is_whole_or_broken, "", CHUNKED, CHUNKS, true);
broken_case!(
    answer_with_trailers_is_whole_or_broken,
    "",
    "Transfer-Encoding: chunked\r\nTrailer: a\r\n",
    "e\r\na whole answer\r\n0\r\nA: b\r\n\r\n",
    true
);
broken_case!(answer_without_a_length_is_broken_by_a_reset, "", "", BODY, false);
broken_case!(answer_after_an_interim_one_is_whole_or_broken, INTERIM, LENGTH, BODY, true);
broken_case!(
    answer_in_chunks_after_an_interim_one_is_whole_or_broken,
    INTERIM,
    CHUNKED,
    CHUNKS,
    true
);
