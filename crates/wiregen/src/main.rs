//! Generates the Rust message types from the protocol definitions in `proto/`.
//!
//! The generated files are committed. Run this after a change of a definition:
//! `cargo run -p bamboocourse-wiregen`.

use std::error::Error;
use std::path::Path;

fn main() -> Result<(), Box<dyn Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let proto = root.join("proto");
    for (file, crate_name) in [("peer.proto", "serve"), ("fleet.proto", "entry")] {
        let output = root.join("..").join(crate_name).join("src/wire");
        let descriptors = protox::compile([proto.join(file)], [&proto])?;
        prost_build::Config::new().out_dir(output).compile_fds(descriptors)?;
    }
    Ok(())
}
