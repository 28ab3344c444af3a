//! Finds the lines of an entry VM's log that explain how a request ended.

use std::path::Path;

use jiff::{SignedDuration, Timestamp};

use crate::Exit;

/// How long before the last line of the subject the context begins.
const CONTEXT_SPAN: SignedDuration = SignedDuration::from_secs(5);
/// The most lines that are printed of the context, and of the lines about the subject.
const MAX_LINES: usize = 40;
/// Phrases of lines that concern all requests: changes of the lease and of the configuration.
const FLEET_PHRASES: [&str; 4] =
    ["fleet's lease", "cannot be followed", "is in force", "is taken over"];

/// Phrases of lines about endpoints that may not be sent to, and the notes of requests that they
/// concern.
const AVAILABILITY_PHRASES: [&str; 3] = [
    "wants no requests for a time",
    "leaves by its own answer",
    "the limit of requests that an endpoint names",
];
const AVAILABILITY_NOTES: [&str; 5] =
    ["all quiet", "all leave", "all limited", "endpoint wants quiet", "withheld"];

/// Phrases of lines about a part of prompts or a request that is held back, and of the crashes behind it.
const CAUSE_PHRASES: [&str; 7] = [
    "broke a request off",
    "with a part of their prompts",
    "counts against a cause",
    "the evidence against a cause",
    "is held back",
    "is no longer held back",
    "may be tried",
];
/// The words before the part or the request in the detail of a request that is refused because of it.
const CAUSE_PREFIXES: [&str; 2] = ["with the part ", "attempts of the request "];

/// A log line with its time.
struct Line<'a> {
    at: Timestamp,
    text: &'a str,
}

/// Prints the lines that mention the subject, after the lines shortly before them that mention its
/// endpoint or model or concern all requests.
pub(crate) fn explain_log(log: &Path, subject: &str) -> Exit {
    let text = match std::fs::read_to_string(log) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("bamboocourse: {}: {error}", log.display());
            return Exit::Failure;
        }
    };
    let lines: Vec<Line<'_>> = text.lines().filter_map(parse_line).collect();
    let own: Vec<&Line<'_>> = lines.iter().filter(|line| mentions(line.text, subject)).collect();
    let Some(last) = own.last() else {
        println!("the log has no lines about {subject}");
        return Exit::Success;
    };
    let mut subjects: Vec<&str> = vec![subject];
    subjects.extend(["endpoint", "model"].iter().filter_map(|name| field_value(last.text, name)));
    let unavailable = AVAILABILITY_NOTES.iter().any(|note| last.text.contains(note));
    let details = CAUSE_PREFIXES.iter().filter_map(|prefix| last.text.split_once(prefix));
    let cause = details.filter_map(|(_, rest)| rest.split([' ', ',']).next()).next();
    let context = lines.iter().filter(|line| {
        if cause.is_some_and(|cause| concerns_cause(line, cause)) {
            return line.at <= last.at;
        }
        if unavailable && holds_at(line, last.at) {
            return true;
        }
        let recent = line.at <= last.at && last.at.duration_since(line.at) <= CONTEXT_SPAN;
        let fleet_wide = FLEET_PHRASES.iter().any(|phrase| line.text.contains(phrase));
        let relevant = fleet_wide || subjects.iter().any(|word| mentions(line.text, word));
        recent && relevant && !line.text.contains("a request has ended")
    });
    let context: Vec<&Line<'_>> = context.collect();
    for line in context.iter().skip(context.len().saturating_sub(MAX_LINES)) {
        println!("{}", line.text);
    }
    println!("-- lines about {subject}:");
    for line in own.iter().skip(own.len().saturating_sub(MAX_LINES)) {
        println!("{}", line.text);
    }
    Exit::Success
}

/// Returns whether a line tells of a part or a request that is held back, or of a crash behind it.
fn concerns_cause(line: &Line<'_>, cause: &str) -> bool {
    CAUSE_PHRASES.iter().any(|phrase| line.text.contains(phrase)) && mentions(line.text, cause)
}

/// Returns whether a line tells that an endpoint leaves, or wants quiet until `at` or longer.
fn holds_at(line: &Line<'_>, at: Timestamp) -> bool {
    let quiet = field_value(line.text, "quiet_ms").and_then(|text| text.parse().ok());
    let until = quiet.map(|quiet| line.at + SignedDuration::from_millis(quiet));
    AVAILABILITY_PHRASES.iter().any(|phrase| line.text.contains(phrase))
        && line.at <= at
        && until.is_none_or(|until| until >= at)
}

/// Parses a line that begins with a time in brackets; a prefix before the bracket is dropped.
fn parse_line(line: &str) -> Option<Line<'_>> {
    let text = &line[line.find('[')?..];
    let time = text[1..].split(' ').next()?;
    Some(Line { at: time.parse().ok()?, text })
}

/// Returns whether a line contains the word, not as a part of a longer name.
fn mentions(line: &str, word: &str) -> bool {
    let is_boundary = |c: char| !c.is_ascii_alphanumeric() && c != '-' && c != '_';
    line.match_indices(word).any(|(start, _)| {
        let before = line[..start].chars().next_back().is_none_or(is_boundary);
        before && line[start + word.len()..].chars().next().is_none_or(is_boundary)
    })
}

/// Returns the value of a field up to a slash, so without the adapter of a model.
fn field_value<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let prefix = format!(" {name}=");
    let start = line.find(&prefix)? + prefix.len();
    let value = line[start..].split([' ', '/']).next()?;
    (!value.is_empty()).then_some(value)
}
