//! Logging that never blocks: lines are buffered in memory and written by a separate thread.
//!
//! A process that is killed takes along what is buffered. So from when it leaves service, each line is
//! written at once, and a panic writes the buffer before the process can end.

use std::io::Write;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError, TryLockError};
use std::time::Duration;

use env_logger::{Builder, Env, Target};

/// The size of the buffer. Lines that do not fit are dropped and counted.
const MAX_BUFFER_BYTES: usize = 512 << 10;
/// The time between two writes of the buffer while the process serves.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// The lines that are not yet written.
static BUFFER: Mutex<Buffer> =
    Mutex::new(Buffer { bytes: Vec::new(), dropped: 0, is_prompt: false });
/// Wakes the thread that writes.
static FILLED: Condvar = Condvar::new();

struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
    /// Whether lines are written as soon as they come.
    is_prompt: bool,
}

impl Buffer {
    /// Takes what is to be written.
    fn take(&mut self) -> (Vec<u8>, u64) {
        (std::mem::take(&mut self.bytes), std::mem::take(&mut self.dropped))
    }
}

/// Appends log lines to the buffer.
struct BufferWriter;

impl Write for BufferWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let mut buffer = lock();
        if buffer.bytes.len() + line.len() > MAX_BUFFER_BYTES {
            buffer.dropped += 1;
        } else {
            buffer.bytes.extend_from_slice(line);
        }
        if buffer.is_prompt {
            FILLED.notify_one();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Starts logging to standard output, at the level `info` unless `RUST_LOG` says otherwise.
pub(crate) fn start() {
    let env = Env::default().default_filter_or("info");
    Builder::from_env(env)
        .format_timestamp_millis()
        .target(Target::Pipe(Box::new(BufferWriter)))
        .init();
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        hook(panic);
        flush_unlocked();
    }));
    std::thread::spawn(|| {
        loop {
            wait_for_lines();
            flush();
        }
    });
}

/// From now on lines are written as soon as they come.
pub(crate) fn write_promptly() {
    lock().is_prompt = true;
    FILLED.notify_one();
}

/// Waits until the buffer is due to be written.
fn wait_for_lines() {
    let is_early = |buffer: &mut Buffer| !buffer.is_prompt || buffer.bytes.is_empty();
    let waited = FILLED.wait_timeout_while(lock(), WRITE_INTERVAL, is_early);
    drop(waited.unwrap_or_else(PoisonError::into_inner));
}

/// Writes the buffered lines.
pub(crate) fn flush() {
    let lines = lock().take();
    write(lines);
}

/// The same, unless this thread may hold the buffer itself.
fn flush_unlocked() {
    let lines = match BUFFER.try_lock() {
        Ok(mut buffer) => buffer.take(),
        Err(TryLockError::Poisoned(buffer)) => buffer.into_inner().take(),
        Err(TryLockError::WouldBlock) => return,
    };
    write(lines);
}

fn write((bytes, dropped): (Vec<u8>, u64)) {
    let mut out = std::io::stdout().lock();
    // Errors are ignored: if standard output is closed, there is nowhere to report them.
    let _ = out.write_all(&bytes);
    if dropped > 0 {
        let _ = writeln!(out, "[WARN] log lines were dropped; dropped={dropped}");
    }
    let _ = out.flush();
}

fn lock() -> MutexGuard<'static, Buffer> {
    BUFFER.lock().unwrap_or_else(PoisonError::into_inner)
}
