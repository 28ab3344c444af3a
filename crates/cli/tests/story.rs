//! `explain --log` on the log of an entry VM.

use std::process::Command;

const LOG: &str = "\
[2026-01-25T09:35:10.000Z INFO  lead] an order was given endpoint=i-1 command=Load(\"m7\") reply=Lost
[2026-01-25T09:35:11.000Z INFO  lead] an order was given endpoint=i-2 command=Load(\"m8\") reply=Lost
[2026-01-25T09:35:11.500Z WARN  lead] this VM no longer holds the fleet's lease fence=1
[2026-01-25T09:35:12.000Z INFO  trace] a request has ended id=abc kind=no_endpoint model=m7/a1 endpoint=
[2026-01-25T09:35:13.000Z INFO  trace] a request has ended id=abcd kind=answered model=m7 endpoint=i-1
";

fn explain(subject: &str) -> String {
    let path = std::env::temp_dir().join(format!("bamboocourse-story-{}", std::process::id()));
    std::fs::write(&path, LOG).expect("the log is written");
    let output = Command::new(env!("CARGO_BIN_EXE_bamboocourse"))
        .args(["explain", "--log"])
        .arg(&path)
        .arg(subject)
        .output()
        .expect("the command runs");
    assert!(output.status.success());
    String::from_utf8(output.stdout).expect("text")
}

#[test]
fn a_request_is_told_with_its_model_and_the_lease() {
    let story = explain("abc");
    assert!(story.contains("Load(\"m7\")"), "{story}");
    assert!(!story.contains("m8"), "{story}");
    assert!(story.contains("no longer holds"), "{story}");
    assert!(story.contains("id=abc kind") && !story.contains("id=abcd"), "{story}");
}

#[test]
fn what_the_log_does_not_know_is_said() {
    assert!(explain("nobody").contains("nothing about nobody"));
}
