//! When requests with a cause were answered, which clears it.

use std::time::Duration;

use super::{Cause, CrashLog, EVIDENCE_TERM};
use crate::ids::WorkspaceId;
use crate::map::{FastMap, FastSet};

/// How long it is remembered that a request with a part was answered.
pub(super) const SOUND_MEMORY: Duration = Duration::from_secs(600);
/// The parts in answered requests of one workspace that are remembered; the newest half stays.
pub(super) const MAX_SOUND_PARTS: usize = 512;
/// The parts in requests that other VMs saw answered that are remembered; the newest half stays.
pub(super) const MAX_TOLD_PARTS: usize = 4_096;
/// The workspaces of which they are remembered.
pub(super) const MAX_SOUND_WORKSPACES: usize = 256;
/// The requests of one workspace that were answered and are remembered; the newest half stays.
const MAX_SOUND_REQUESTS: usize = 512;

/// When requests of one workspace with a cause last began to be answered.
#[derive(Debug, Default)]
pub(super) struct Answered {
    /// Plain traffic is of endless different requests, which must not displace parts.
    parts: FastMap<Cause, Duration>,
    requests: FastMap<Cause, Duration>,
}

impl Answered {
    fn of_kind(&mut self, cause: &Cause) -> &mut FastMap<Cause, Duration> {
        if cause.is_request() { &mut self.requests } else { &mut self.parts }
    }

    fn get(&self, cause: &Cause) -> Option<&Duration> {
        if cause.is_request() { self.requests.get(cause) } else { self.parts.get(cause) }
    }

    fn values(&self) -> impl Iterator<Item = &Duration> {
        self.parts.values().chain(self.requests.values())
    }

    /// Forgets what was answered at a time or earlier.
    pub(super) fn forget_until(&mut self, time: Duration) {
        self.parts.retain(|_, at| *at > time);
        self.requests.retain(|_, at| *at > time);
    }

    /// Returns how many causes are remembered.
    pub(super) fn len(&self) -> usize {
        self.parts.len() + self.requests.len()
    }
}

/// Drops the older half of the entries if there are more than `most`.
pub(super) fn keep_newest(causes: &mut FastMap<Cause, Duration>, most: usize) {
    if causes.len() <= most {
        return;
    }
    let mut times: Vec<Duration> = causes.values().copied().collect();
    let (_, middle, _) = times.select_nth_unstable(most / 2);
    let middle = *middle;
    causes.retain(|_, at| *at > middle);
}

impl CrashLog {
    /// Records that requests of a workspace with these causes are answered; the endpoint began to
    /// answer at `began`.
    pub fn on_sound(
        &mut self,
        workspace: &WorkspaceId,
        causes: &[Cause],
        began: Duration,
        now: Duration,
    ) {
        if causes.is_empty() {
            return;
        }
        if !self.sound.contains_key(workspace) && self.sound.len() >= MAX_SOUND_WORKSPACES {
            self.sound.retain(|_, known| known.values().any(|at| now < *at + EVIDENCE_TERM));
            if self.sound.len() >= MAX_SOUND_WORKSPACES {
                return;
            }
        }
        for cause in causes {
            self.note_news(cause, began);
        }
        let known = self.sound.entry(workspace.clone()).or_default();
        for cause in causes {
            let at = known.of_kind(cause).entry(cause.clone()).or_default();
            *at = began.max(*at);
        }
        keep_newest(&mut known.parts, MAX_SOUND_PARTS);
        keep_newest(&mut known.requests, MAX_SOUND_REQUESTS);
        for cause in causes {
            self.release_sound(cause, began, now);
        }
    }

    /// Records that another VM saw requests with a cause being answered from `began` on.
    pub fn on_told_sound(&mut self, cause: &Cause, began: Duration, now: Duration) {
        self.note_news(cause, began.min(now));
        self.note_told_sound(cause.clone(), began.min(now));
        self.release_sound(cause, began.min(now), now);
    }

    /// Notes that the VM which this one reports to waits for the word that a cause was answered.
    pub(super) fn note_news(&mut self, cause: &Cause, began: Duration) {
        let held = self.held.get(cause).filter(|hold| hold.told).map(|hold| &hold.held.first);
        let Some(first) = self.told_doubts.get(cause).or(held) else { return };
        self.has_news |= *first < began && self.sound_at(cause).is_none_or(|at| at <= *first);
    }

    /// Returns whether there is something to report soon, once.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    pub(super) fn note_told_sound(&mut self, cause: Cause, began: Duration) {
        let at = self.told_sound.entry(cause).or_default();
        *at = began.max(*at);
        keep_newest(&mut self.told_sound, MAX_TOLD_PARTS);
    }

    /// Returns the causes that are held back or in doubt although requests with them were answered since,
    /// and when these began to be answered.
    pub fn cleared(&self) -> Vec<(Cause, Duration)> {
        let held = self.held.iter().map(|(cause, hold)| (cause, hold.held.first));
        let doubts = self.told_doubts.iter().map(|(cause, first)| (cause, *first));
        let causes: FastMap<&Cause, Duration> = doubts.chain(held).collect();
        let cleared = causes.into_iter().filter_map(|(cause, first)| {
            let at = self.sound_at(cause)?;
            (first < at).then(|| (cause.clone(), at))
        });
        cleared.collect()
    }

    pub(super) fn known_sound<'a>(
        &self,
        causes: impl Iterator<Item = &'a Cause>,
    ) -> Vec<(Cause, Duration)> {
        let causes: FastSet<&Cause> = causes.collect();
        let known =
            causes.into_iter().filter_map(|cause| Some((cause.clone(), self.sound_at(cause)?)));
        known.collect()
    }

    /// Returns until when ends under a cause do not count.
    pub(super) fn cleared_until(&self, cause: &Cause) -> Option<Duration> {
        self.sound_at(cause).max(self.let_go.get(cause).copied())
    }

    /// Returns when a request with a cause last began to be answered.
    pub(super) fn sound_at(&self, cause: &Cause) -> Option<Duration> {
        let own = self.sound.values().filter_map(|known| known.get(cause));
        own.chain(self.told_sound.get(cause)).copied().max()
    }
}
