//! Logs that never block: lines are gathered in memory and written by a thread of their own.

use std::io::Write;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use env_logger::{Builder, Env, Target};

/// The most that waits to be written, in bytes; what comes beyond is dropped and counted.
const WAITING_MOST: usize = 512 << 10;
/// How often what waits is written.
const WRITE_EVERY: Duration = Duration::from_millis(250);

static WAITING: Mutex<Waiting> = Mutex::new(Waiting { bytes: Vec::new(), dropped: 0 });

struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
}

struct Pipe;

impl Write for Pipe {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let mut waiting = lock();
        if waiting.bytes.len() + line.len() > WAITING_MOST {
            waiting.dropped += 1;
        } else {
            waiting.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Starts logging to standard output.
pub(crate) fn start() {
    let env = Env::default().default_filter_or("info");
    Builder::from_env(env).format_timestamp_millis().target(Target::Pipe(Box::new(Pipe))).init();
    std::thread::spawn(|| {
        loop {
            std::thread::sleep(WRITE_EVERY);
            flush();
        }
    });
}

/// Writes what waits.
pub(crate) fn flush() {
    let (bytes, dropped) = {
        let mut waiting = lock();
        (std::mem::take(&mut waiting.bytes), std::mem::take(&mut waiting.dropped))
    };
    let mut out = std::io::stdout().lock();
    // Whoever no longer reads the log cannot be told by it.
    let _ = out.write_all(&bytes);
    if dropped > 0 {
        let _ = writeln!(out, "[WARN] log lines were dropped; dropped={dropped}");
    }
    let _ = out.flush();
}

fn lock() -> MutexGuard<'static, Waiting> {
    WAITING.lock().unwrap_or_else(PoisonError::into_inner)
}
