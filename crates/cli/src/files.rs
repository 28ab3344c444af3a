//! Reads service files.

use std::fs;
use std::io;
use std::path::Path;

use bamboocourse_decide::SourceFile;

/// Reads the `.toml` files of the given directories, and the given files, sorted by name.
///
/// # Errors
/// Fails if a path cannot be read or two files have the same name.
pub(crate) fn read(paths: &[String]) -> io::Result<Vec<SourceFile>> {
    let mut files = Vec::new();
    for path in paths {
        let path = Path::new(path);
        if path.is_dir() {
            read_directory(path, &mut files)?;
        } else {
            files.push(read_file(path)?);
        }
    }
    files.sort_by(|a, b| a.name.cmp(&b.name));
    if let Some(pair) = files.windows(2).find(|pair| pair[0].name == pair[1].name) {
        return Err(io::Error::other(format!("two files are named {}", pair[0].name)));
    }
    Ok(files)
}

fn read_directory(path: &Path, files: &mut Vec<SourceFile>) -> io::Result<()> {
    for entry in fs::read_dir(path).map_err(|error| with_path(path, &error))? {
        let path = entry?.path();
        if path.extension().is_some_and(|extension| extension == "toml") {
            files.push(read_file(&path)?);
        }
    }
    Ok(())
}

fn read_file(path: &Path) -> io::Result<SourceFile> {
    let text = fs::read_to_string(path).map_err(|error| with_path(path, &error))?;
    let name = path.file_name().map(|name| name.to_string_lossy().into_owned());
    Ok(SourceFile { name: name.unwrap_or_default().into(), text })
}

/// Adds the path to the message of an error.
fn with_path(path: &Path, error: &io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{}: {error}", path.display()))
}
