//! Writes the committed message types from the protocol definition.
//!
//! Run it after a change below `proto/`: `cargo run -p bamboocourse-wiregen`.

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
