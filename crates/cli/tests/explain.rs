//! `explain --log` on the log of an entry VM: prints the lines that explain how a request ended, and
//! no lines of other requests, models or endpoints.

use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A log with lines of two requests, two models and the lease.
const LOG: &str = "\
[2026-01-25T09:30:00.000Z INFO  loss] an endpoint broke a request off id=y1 endpoint=i-5 born=7 progress=begun parts=5c1e,bad0
[2026-01-25T09:30:01.000Z INFO  loss] an endpoint broke a request off id=y2 endpoint=i-6 born=8 progress=begun parts=5c1e,bad01
[2026-01-25T09:30:02.000Z WARN  crashes] a cause of endpoints' ends is held back kind=part cause=bad0 source=own ends=3 workspace=all
[2026-01-25T09:31:00.000Z INFO  scheduler] an endpoint wants no requests for a time endpoint=i-8 id=x1 quiet_ms=60000
[2026-01-25T09:34:00.000Z INFO  scheduler] an endpoint wants no requests for a time endpoint=i-9 id=x2 quiet_ms=120000
[2026-01-25T09:34:30.000Z INFO  limits] the limit of requests that an endpoint names has changed endpoint=i-7 born=4 from=x3 former=None rate=0.2
[2026-01-25T09:35:10.000Z INFO  lead] an order was given endpoint=i-1 command=Load(\"m7\") reply=Lost
[2026-01-25T09:35:11.000Z INFO  lead] an order was given endpoint=i-2 command=Load(\"m8\") reply=Lost
[2026-01-25T09:35:11.500Z WARN  lead] this VM no longer holds the fleet's lease fence=1
[2026-01-25T09:35:12.000Z INFO  trace] a request has ended id=abc kind=no_endpoint model=m7/a1 endpoint=
[2026-01-25T09:35:13.000Z INFO  trace] a request has ended id=abcd kind=answered model=m7 endpoint=i-1
[2026-01-25T09:35:14.000Z INFO  trace] a request has ended id=def kind=overloaded endpoint= notes=all quiet
[2026-01-25T09:35:14.500Z INFO  trace] a request has ended id=lim kind=overloaded endpoint= notes=all limited
[2026-01-25T09:34:40.000Z INFO  loss] an endpoint broke a request off id=z1 endpoint=i-3 born=7 progress=sent digest=f2604587 parts=
[2026-01-25T09:34:40.500Z INFO  loss] an endpoint broke a request off id=z2 endpoint=i-4 born=8 progress=sent digest=a1b2c3d4 parts=
[2026-01-25T09:34:41.000Z WARN  crashes] a cause of endpoints' ends is held back kind=request cause=f2604587 source=vm-3 ends=2 trials_left=5
[2026-01-25T09:35:14.700Z INFO  trace] a request has ended id=whole kind=request_held endpoint= detail=3 endpoints have ended under attempts of the request f2604587, the last one 34 s ago
[2026-01-25T09:35:15.000Z INFO  trace] a request has ended id=ghi kind=prompt_held endpoint= detail=3 endpoints have ended under requests with the part bad0 of the prompt, the last one 313 s ago
";

/// Runs `explain --log` about a subject and returns its output.
fn explain(subject: &str) -> String {
    // Tests of one process run at the same time, and writing empties a file first.
    static RUNS: AtomicUsize = AtomicUsize::new(0);
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    let name = format!("bamboocourse-explain-{}-{run}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, LOG).expect("the log is written");
    let output = Command::new(env!("CARGO_BIN_EXE_bamboocourse"))
        .args(["explain", "--log"])
        .arg(&path)
        .arg(subject)
        .output()
        .expect("the command runs");
    std::fs::remove_file(&path).expect("the log is removed");
    assert!(output.status.success());
    String::from_utf8(output.stdout).expect("text")
}

/// The id `abc` is also the beginning of the id `abcd`, whose line must not be printed.
#[test]
fn explain_prints_the_request_its_model_and_the_lease() {
    let text = explain("abc");
    assert!(text.contains("Load(\"m7\")"), "{text}");
    assert!(!text.contains("m8"), "{text}");
    assert!(text.contains("no longer holds"), "{text}");
    assert!(text.contains("id=abc kind") && !text.contains("id=abcd"), "{text}");
}

#[test]
fn explain_prints_the_limit_that_a_refusal_is_due_to() {
    let text = explain("lim");
    assert!(text.contains("endpoint=i-7") && text.contains("rate=0.2"), "{text}");
    assert!(!explain("abc").contains("rate=0.2"));
}

// The refused request names no endpoint, and the quiet of `i-8` had ended.
#[test]
fn explain_prints_the_quiet_that_a_refusal_is_due_to() {
    let text = explain("def");
    assert!(text.contains("endpoint=i-9") && !text.contains("endpoint=i-8"), "{text}");
    assert!(!explain("abc").contains("quiet_ms"));
}

#[test]
fn explain_reports_an_unknown_subject() {
    assert!(explain("nobody").contains("no lines about nobody"));
}

// The crashes may lie long before the refused request, which reached no endpoint.
#[test]
fn explain_prints_the_crashes_behind_a_held_part() {
    let text = explain("ghi");
    assert!(text.contains("id=y1") && text.contains("is held back"), "{text}");
    assert!(!text.contains("id=y2"), "{text}");
}

#[test]
fn explain_prints_the_crashes_behind_a_held_request() {
    let text = explain("whole");
    assert!(text.contains("id=z1") && text.contains("source=vm-3"), "{text}");
    assert!(!text.contains("id=z2") && !text.contains("cause=bad0"), "{text}");
}
