//! Tells from an entry VM's log what led to a request's end.

use std::path::Path;

use jiff::{SignedDuration, Timestamp};

use crate::Exit;

/// How long before a request's end lines may have to do with it.
const BEFORE: SignedDuration = SignedDuration::from_secs(5);
/// The most lines that are told of beside the request's own.
const LINES_MOST: usize = 40;
/// Words of lines that concern every request.
const COMMON: [&str; 4] = ["fleet's lease", "cannot be followed", "is in force", "is taken over"];

/// One line of a log.
struct Line<'a> {
    at: Timestamp,
    text: &'a str,
}

/// Prints the lines of a subject, and those of its endpoint and model shortly before.
pub(crate) fn tell(log: &Path, subject: &str) -> Exit {
    let text = match std::fs::read_to_string(log) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("bamboocourse: {}: {error}", log.display());
            return Exit::Failed;
        }
    };
    let lines: Vec<Line<'_>> = text.lines().filter_map(read).collect();
    let own: Vec<&Line<'_>> = lines.iter().filter(|line| names(line.text, subject)).collect();
    let Some(last) = own.last() else {
        println!("the log has nothing about {subject}");
        return Exit::Fine;
    };
    let mut about: Vec<&str> = vec![subject];
    about.extend(["endpoint", "model"].iter().filter_map(|name| field(last.text, name)));
    let near = lines.iter().filter(|line| {
        let close = line.at <= last.at && last.at.duration_since(line.at) <= BEFORE;
        let common = COMMON.iter().any(|words| line.text.contains(words));
        let concerns = common || about.iter().any(|word| names(line.text, word));
        close && concerns && !line.text.contains("a request has ended")
    });
    let near: Vec<&Line<'_>> = near.collect();
    for line in near.iter().skip(near.len().saturating_sub(LINES_MOST)) {
        println!("{}", line.text);
    }
    println!("-- {subject} itself:");
    for line in own.iter().skip(own.len().saturating_sub(LINES_MOST)) {
        println!("{}", line.text);
    }
    Exit::Fine
}

/// Reads a line that begins with a time in brackets; what stands before the bracket is left out.
fn read(line: &str) -> Option<Line<'_>> {
    let text = &line[line.find('[')?..];
    let time = text[1..].split(' ').next()?;
    Some(Line { at: time.parse().ok()?, text })
}

/// Tells whether a line has a word, as a value or within quotes or a path of names.
fn names(line: &str, word: &str) -> bool {
    let edge = |c: char| !c.is_ascii_alphanumeric() && c != '-' && c != '_';
    line.match_indices(word).any(|(start, _)| {
        let before = line[..start].chars().next_back().is_none_or(edge);
        before && line[start + word.len()..].chars().next().is_none_or(edge)
    })
}

/// Returns the value of a field, without the adapter of a model.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let mark = format!(" {name}=");
    let start = line.find(&mark)? + mark.len();
    let value = line[start..].split([' ', '/']).next()?;
    (!value.is_empty()).then_some(value)
}
