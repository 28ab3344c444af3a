//! The commands `status`, `explain` and `report`, which query running VMs.

use std::net::SocketAddr;
use std::time::Duration;

use bamboocourse_serve::{BurnReport, Pool, ReportPage, merge_reports, read_body};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde_json::Value;

use crate::args::{ExplainOptions, ReportOptions, StatusOptions};
use crate::explain;
use crate::{Exit, block_on};

/// The largest body of a VM's response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// How long the body of a response may take.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Prints the status of VMs.
pub(crate) fn status(options: &StatusOptions) -> Exit {
    if options.vms.is_empty() {
        eprintln!("pass the operator address of at least one VM");
        return Exit::Usage;
    }
    let mut exit = Exit::Success;
    for vm in &options.vms {
        match fetch_json(*vm, "/status") {
            Ok(value) if options.json => println!("{value}"),
            Ok(value) => print_status(&value),
            Err(error) => {
                eprintln!("{vm}: {error}");
                exit = Exit::Unreachable;
            }
        }
    }
    exit
}

/// Prints the decisions about a subject, from the log of an entry VM or from a running VM.
pub(crate) fn explain(options: &ExplainOptions) -> Exit {
    if let (Some(log), Some(subject)) = (&options.log, &options.about) {
        return explain::explain_log(log, subject);
    }
    let Some(vm) = options.vm else {
        eprintln!("bamboocourse: pass --vm, or --log and what to explain");
        return Exit::Usage;
    };
    let path = match &options.about {
        Some(subject) => format!("/decisions?about={subject}"),
        None => "/decisions".to_string(),
    };
    let value = match fetch_json(vm, &path) {
        Ok(value) => value,
        Err(error) => {
            eprintln!("{vm}: {error}");
            return Exit::Unreachable;
        }
    };
    let decisions = value["decisions"].as_array().cloned().unwrap_or_default();
    if decisions.is_empty() {
        println!("this VM has no matching decisions");
    }
    for decision in decisions {
        println!(
            "{} {}: {}: {}",
            decision["at"],
            as_text(&decision["subject"]),
            as_text(&decision["what"]),
            as_text(&decision["why"])
        );
    }
    Exit::Success
}

/// Prints or writes the burn rates of all service-level objectives, summed over the given VMs.
pub(crate) fn report(options: &ReportOptions) -> Exit {
    let mut reports = Vec::new();
    let mut exit = Exit::Success;
    for vm in &options.vms {
        let response = fetch_json(*vm, "/report");
        match response.and_then(|value| {
            serde_json::from_value::<BurnReport>(value).map_err(|error| error.to_string())
        }) {
            Ok(report) => reports.push(report),
            Err(error) => {
                eprintln!("{vm}: {error}; the report does not include this VM");
                exit = Exit::Unreachable;
            }
        }
    }
    let merged = merge_reports(reports);
    let content = match options.format.as_deref() {
        None | Some("text") => ReportPage(&merged).text(),
        Some("json") => serde_json::to_string_pretty(&merged).unwrap_or_default(),
        Some("html") => ReportPage(&merged).html(),
        Some(other) => {
            eprintln!("--format: `{other}` must be text, json or html");
            return Exit::Usage;
        }
    };
    let Some(path) = &options.output else {
        println!("{content}");
        return exit;
    };
    if let Err(error) = std::fs::write(path, content) {
        eprintln!("{path}: {error}");
        return Exit::Failure;
    }
    exit
}

/// Prints the status of one VM.
fn print_status(value: &Value) {
    println!(
        "{} in {}: {}, version {}, confirmed {} s ago, {} running{}",
        as_text(&value["vm"]),
        as_text(&value["domain"]),
        if value["ready"] == true { "ready" } else { "not ready" },
        value["version"],
        value["confirmed_seconds_ago"].as_f64().map_or("?".into(), |age| format!("{age:.1}")),
        value["running"],
        if value["leads_with_fence"].is_null() { "" } else { ", leads its domain" }
    );
    for member in value["members"].as_array().into_iter().flatten() {
        println!("  member {} version {}", as_text(&member["vm"]), member["version"]);
    }
    for limit in value["limits"].as_array().into_iter().flatten() {
        println!(
            "  workspace {}: {:.1}% of the limit on this VM, {} tokens available, {} tokens/s demand, {} waiting",
            as_text(&limit["workspace"]),
            limit["weight"].as_f64().unwrap_or(0.0) / 10_000.0,
            limit["available"],
            limit["demand"],
            limit["waiting"]
        );
    }
    for (model, endpoints) in value["models"].as_object().into_iter().flatten() {
        let names: Vec<&str> = endpoints.as_array().into_iter().flatten().map(as_text).collect();
        println!("  model {model}: {}", names.join(" "));
    }
}

/// Returns a JSON string, or an empty one for any other value.
fn as_text(value: &Value) -> &str {
    value.as_str().unwrap_or("")
}

/// Returns the JSON that a VM serves at a path of its operator address.
fn fetch_json(vm: SocketAddr, path: &str) -> Result<Value, String> {
    let future = async {
        let request = Request::get(path)
            .header("host", vm.to_string())
            .body(Full::new(Bytes::new()))
            .map_err(|error| error.to_string())?;
        let pool = Pool::new(None);
        let response = pool.send(vm, request).await.map_err(|error| error.to_string())?;
        let body = read_body(response.into_body(), MAX_RESPONSE_BYTES, READ_TIMEOUT).await;
        let body = body.map_err(|error| format!("{error:?}"))?;
        serde_json::from_slice(&body).map_err(|error| error.to_string())
    };
    block_on(future).map_err(|error| error.to_string())?
}
