//! The burn report: how fast each objective uses up its allowance of failed or slow requests, over
//! several windows.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write as _;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bamboocourse_decide::{Config, ServiceId, WorkspaceId};
use serde::{Deserialize, Serialize};

/// The time that one slot of counts covers.
const SLOT_TIME: Duration = Duration::from_secs(60);
/// The number of slots that are kept: one a minute for six hours, the longest window.
const MAX_SLOTS: usize = 6 * 60;
/// The windows of the report, in minutes.
const WINDOWS_MINUTES: [usize; 4] = [5, 30, 60, 360];
/// The burn rate from which a person should step in: it uses up an allowance for 30 days in about
/// two days.
const PAGE_BURN_RATIO: f64 = 14.4;

/// The burn of all objectives.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// One row for each objective and workspace with requests.
    pub rows: Vec<BurnRow>,
}

/// The burn of one objective for one workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// The service.
    pub service: ServiceId,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The objective: the longest time to the first token, in milliseconds.
    pub within: u64,
    /// The share of requests that must meet the objective, from 0 to 1.
    pub share: f64,
    /// The counts of each window; the key is its length in minutes.
    pub windows: BTreeMap<usize, Counts>,
}

/// The requests that met an objective, and all requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that met the objective.
    pub good: u64,
    /// All requests.
    pub all: u64,
}

impl Counts {
    /// Returns the burn rate: the share of requests that missed the objective, divided by the share
    /// that may miss it.
    ///
    /// `share` is the share of requests that must meet the objective, from 0 to 1. A burn rate of 1
    /// uses the allowance up exactly in its period; without requests the rate is 0.
    pub fn burn(self, share: f64) -> f64 {
        if self.all == 0 {
            return 0.0;
        }
        let bad = (self.all - self.good) as f64 / self.all as f64;
        bad / (1.0 - share)
    }
}

/// The counts of one minute.
#[derive(Debug, Default)]
struct Slot {
    /// The minute, counted from the start of the process.
    minute: u64,
    /// Counts by service, workspace and objective, which is a time to the first token in
    /// milliseconds.
    counts: BTreeMap<(ServiceId, WorkspaceId, u64), Counts>,
}

/// The counts of the last hours, by minute.
#[derive(Debug, Default)]
pub(crate) struct BurnCounter {
    slots: Mutex<VecDeque<Slot>>,
}

impl BurnCounter {
    /// Counts a request for every objective that applies to it.
    ///
    /// `first` is the time to the first token, or `None` if the request failed.
    pub(crate) fn count(
        &self,
        config: &Config,
        service: &ServiceId,
        workspace: &WorkspaceId,
        first: Option<Duration>,
        now: Duration,
    ) {
        let objectives = config.objectives.iter().filter(|objective| {
            objective.service == *service
                && objective.workspace.as_ref().is_none_or(|name| name == workspace)
        });
        let minute = now.as_secs() / SLOT_TIME.as_secs();
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        if slots.back().is_none_or(|slot| slot.minute != minute) {
            slots.push_back(Slot { minute, ..Slot::default() });
            if slots.len() > MAX_SLOTS {
                slots.pop_front();
            }
        }
        let Some(slot) = slots.back_mut() else { return };
        for objective in objectives {
            let within = objective.within.as_millis() as u64;
            let key = (service.clone(), workspace.clone(), within);
            let counts = slot.counts.entry(key).or_default();
            counts.all += 1;
            counts.good += u64::from(first.is_some_and(|first| first <= objective.within));
        }
    }

    /// Returns the report of this VM's requests.
    pub(crate) fn report(&self, config: &Config, now: Duration) -> BurnReport {
        let minute = now.as_secs() / SLOT_TIME.as_secs();
        let slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        let mut rows: BTreeMap<(ServiceId, WorkspaceId, u64), BTreeMap<usize, Counts>> =
            BTreeMap::new();
        for slot in slots.iter() {
            for (key, counts) in &slot.counts {
                let windows = rows.entry(key.clone()).or_default();
                for window in WINDOWS_MINUTES {
                    if minute - slot.minute < window as u64 {
                        let sum = windows.entry(window).or_default();
                        sum.good += counts.good;
                        sum.all += counts.all;
                    }
                }
            }
        }
        let share = |service: &ServiceId, within: u64| {
            let same = config.objectives.iter().find(|objective| {
                objective.service == *service && objective.within.as_millis() as u64 == within
            });
            // The configuration may have lost the objective since its requests were counted.
            same.map_or(0.95, |objective| objective.share)
        };
        let rows = rows.into_iter().map(|((service, workspace, within), windows)| BurnRow {
            share: share(&service, within),
            service,
            workspace,
            within,
            windows,
        });
        BurnReport { rows: rows.collect() }
    }
}

/// Adds up the reports of several VMs.
///
/// ```
/// use bamboocourse_serve::{BurnReport, merge_reports};
/// assert!(merge_reports(vec![BurnReport::default()]).rows.is_empty());
/// ```
pub fn merge_reports(reports: Vec<BurnReport>) -> BurnReport {
    let mut merged: BTreeMap<(ServiceId, WorkspaceId, u64), BurnRow> = BTreeMap::new();
    for row in reports.into_iter().flat_map(|report| report.rows) {
        let key = (row.service.clone(), row.workspace.clone(), row.within);
        let Some(sum) = merged.get_mut(&key) else {
            merged.insert(key, row);
            continue;
        };
        for (window, counts) in row.windows {
            let total = sum.windows.entry(window).or_default();
            total.good += counts.good;
            total.all += counts.all;
        }
    }
    BurnReport { rows: merged.into_values().collect() }
}

/// A report as text or HTML.
#[derive(Debug)]
pub struct ReportPage<'a>(pub &'a BurnReport);

impl ReportPage<'_> {
    /// Returns the report as a text table.
    ///
    /// ```
    /// use bamboocourse_serve::{BurnReport, ReportPage};
    /// assert!(ReportPage(&BurnReport::default()).text().contains("workspace"));
    /// ```
    pub fn text(&self) -> String {
        let mut text = format!("{:<20} {:<16} {:>9}", "service", "workspace", "objective");
        for window in WINDOWS_MINUTES {
            let _ = write!(text, " {:>12}", format!("burn {window}m"));
        }
        text.push('\n');
        for row in &self.0.rows {
            let objective = format!("{}ms {}%", row.within, row.share * 100.0);
            let _ = write!(text, "{:<20} {:<16} {objective:>9}", row.service, row.workspace);
            for window in WINDOWS_MINUTES {
                let counts = row.windows.get(&window).copied().unwrap_or_default();
                let _ = write!(text, " {:>12}", format!("{:.2}", counts.burn(row.share)));
            }
            text.push('\n');
        }
        text
    }

    /// Returns the report as an HTML page with a bar for each window.
    ///
    /// ```
    /// use bamboocourse_serve::{BurnReport, ReportPage};
    /// assert!(ReportPage(&BurnReport::default()).html().starts_with("<!doctype html>"));
    /// ```
    pub fn html(&self) -> String {
        let mut rows = String::new();
        for row in &self.0.rows {
            let name = format!("{} / {}", escape(&row.service), escape(&row.workspace));
            let objective = format!("{} ms for {}%", row.within, row.share * 100.0);
            let _ = write!(rows, "<tr><td>{name}</td><td>{objective}</td>");
            for window in WINDOWS_MINUTES {
                let counts = row.windows.get(&window).copied().unwrap_or_default();
                let burn = counts.burn(row.share);
                let _ = write!(rows, "<td>{}</td>", bar(burn, counts.all));
            }
            rows.push_str("</tr>\n");
        }
        let heads: String =
            WINDOWS_MINUTES.iter().map(|window| format!("<th>{window} min</th>")).collect();
        format!(
            "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
             <title>Service-level burn</title><style>body{{font-family:sans-serif;margin:2em}}\
             td,th{{padding:.4em 1em;text-align:left;border-bottom:1px solid #ddd}}</style></head>\
             <body><h1>Service-level burn</h1><p>1.0 uses the allowance up exactly in its period; \
             {PAGE_BURN_RATIO} and more calls for a person.</p><table><tr><th>service / workspace</th>\
             <th>objective</th>{heads}</tr>\n{rows}</table></body></html>\n"
        )
    }
}

/// Returns an HTML bar for a burn rate; the full width stands for [`PAGE_BURN_RATIO`].
fn bar(burn: f64, all: u64) -> String {
    if all == 0 {
        return "no requests".to_string();
    }
    let width = (burn / PAGE_BURN_RATIO * 100.0).clamp(1.0, 100.0);
    let color = match burn {
        burn if burn >= PAGE_BURN_RATIO => "#c0392b",
        burn if burn >= 1.0 => "#e08e0b",
        _ => "#2e8b57",
    };
    format!(
        "<svg width=\"104\" height=\"14\"><rect width=\"{width:.0}\" height=\"14\" \
         fill=\"{color}\"/></svg> {burn:.2} of {all}"
    )
}

/// Escapes text for HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
