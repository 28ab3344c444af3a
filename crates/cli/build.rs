//! Tells the program which commit it was built from, for its log.

use std::path::Path;

fn main() {
    let git = Path::new("../../.git");
    println!("cargo::rerun-if-changed=../../.git/HEAD");
    println!("cargo::rerun-if-changed=../../.git/logs/HEAD");
    println!(
        "cargo::rustc-env=BAMBOOCOURSE_COMMIT={}",
        commit(git).as_deref().unwrap_or("unknown")
    );
}

/// Returns the commit that is checked out; `None` outside a repository.
fn commit(git: &Path) -> Option<String> {
    let head = std::fs::read_to_string(git.join("HEAD")).ok()?;
    let Some(name) = head.trim().strip_prefix("ref: ") else {
        return Some(head.trim().to_owned());
    };
    if let Ok(commit) = std::fs::read_to_string(git.join(name)) {
        return Some(commit.trim().to_owned());
    }
    let packed = std::fs::read_to_string(git.join("packed-refs")).ok()?;
    let line = packed.lines().find(|line| line.ends_with(name))?;
    line.split(' ').next().map(str::to_owned)
}
