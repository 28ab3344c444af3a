//! When requests with a part were answered, which speaks for the part.

use std::time::Duration;

use super::{CrashLog, EVIDENCE_TERM};
use crate::ids::{PartId, WorkspaceId};
use crate::map::{FastMap, FastSet};

/// How long it is remembered that a request with a part was answered.
pub(super) const SOUND_MEMORY: Duration = Duration::from_secs(600);

/// The parts in answered requests of one workspace that are remembered; the newest half stays.
pub(super) const MAX_SOUND_PARTS: usize = 512;

/// The parts in requests that other VMs saw answered that are remembered; the newest half stays.
pub(super) const MAX_TOLD_PARTS: usize = 4_096;

/// The workspaces of which they are remembered.
pub(super) const MAX_SOUND_WORKSPACES: usize = 256;

/// Drops the older half of the entries if there are more than `most`.
pub(super) fn keep_newest(parts: &mut FastMap<PartId, Duration>, most: usize) {
    if parts.len() <= most {
        return;
    }
    let mut times: Vec<Duration> = parts.values().copied().collect();
    let (_, middle, _) = times.select_nth_unstable(most / 2);
    let middle = *middle;
    parts.retain(|_, at| *at > middle);
}

impl CrashLog {
    /// Records that requests of a workspace with these parts are answered; the endpoint began to
    /// answer at `began`.
    pub fn on_sound(
        &mut self,
        workspace: &WorkspaceId,
        parts: &[PartId],
        began: Duration,
        now: Duration,
    ) {
        if parts.is_empty() {
            return;
        }
        if !self.sound.contains_key(workspace) && self.sound.len() >= MAX_SOUND_WORKSPACES {
            self.sound.retain(|_, parts| parts.values().any(|at| now < *at + EVIDENCE_TERM));
            if self.sound.len() >= MAX_SOUND_WORKSPACES {
                return;
            }
        }
        for part in parts {
            self.note_news(part, began);
        }
        let known = self.sound.entry(workspace.clone()).or_default();
        for part in parts {
            let at = known.entry(part.clone()).or_default();
            *at = began.max(*at);
        }
        keep_newest(known, MAX_SOUND_PARTS);
        for part in parts {
            self.release_sound(part, began, now);
        }
    }

    /// Records that another VM saw requests with a part being answered from `began` on.
    pub fn on_told_sound(&mut self, part: &PartId, began: Duration, now: Duration) {
        self.note_news(part, began.min(now));
        self.note_told_sound(part.clone(), began.min(now));
        self.release_sound(part, began.min(now), now);
    }

    /// Notes that the VM which this one reports to waits for the word that a part was answered.
    pub(super) fn note_news(&mut self, part: &PartId, began: Duration) {
        let Some(first) = self.told_doubts.get(part) else { return };
        self.has_news |= *first < began && self.sound_at(part).is_none_or(|at| at <= *first);
    }

    /// Returns whether there is something to report soon, once.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    pub(super) fn note_told_sound(&mut self, part: PartId, began: Duration) {
        let at = self.told_sound.entry(part).or_default();
        *at = began.max(*at);
        keep_newest(&mut self.told_sound, MAX_TOLD_PARTS);
    }

    /// Returns the parts that are held back or in doubt although requests with them were answered since,
    /// and when these began to be answered.
    pub fn cleared(&self) -> Vec<(PartId, Duration)> {
        let held = self.held.iter().map(|(part, hold)| (part, hold.held.first));
        let doubts = self.told_doubts.iter().map(|(part, first)| (part, *first));
        let parts: FastMap<&PartId, Duration> = doubts.chain(held).collect();
        let cleared = parts.into_iter().filter_map(|(part, first)| {
            let at = self.sound_at(part)?;
            (first < at).then(|| (part.clone(), at))
        });
        cleared.collect()
    }

    pub(super) fn known_sound<'a>(
        &self,
        parts: impl Iterator<Item = &'a PartId>,
    ) -> Vec<(PartId, Duration)> {
        let parts: FastSet<&PartId> = parts.collect();
        let known = parts.into_iter().filter_map(|part| Some((part.clone(), self.sound_at(part)?)));
        known.collect()
    }

    /// Returns when a request with a part last began to be answered.
    pub(super) fn sound_at(&self, part: &PartId) -> Option<Duration> {
        let own = self.sound.values().filter_map(|parts| parts.get(part));
        own.chain(self.told_sound.get(part)).copied().max()
    }
}
