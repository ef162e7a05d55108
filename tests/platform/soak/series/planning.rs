//! Choice of the faults of a series.

use std::time::{Duration, Instant};

use platform_standin::{Deployment, ProxyMode, Result, StoreFaults, Target};

use super::{Action, EXIT_TIMEOUT, Series};
use crate::soak::faults::random_store_faults;

impl Series {
    /// Draws up to `max` different processes that are of the kind.
    fn draw_targets(
        &mut self,
        deployment: &Deployment,
        max: usize,
        is_kind: impl Fn(&Target) -> bool,
    ) -> Vec<Target> {
        let mut targets = deployment.targets();
        targets.retain(is_kind);
        self.rng.shuffle(&mut targets);
        targets.truncate(max);
        targets
    }

    pub(super) fn plan_series(&mut self, deployment: &Deployment, now: Instant) {
        let lasts = self.random_ms(300..4_000);
        let end = now + lasts;
        self.ends.push(end);
        let is_entry = |target: &Target| matches!(target, Target::Entry(_));
        let is_agent = |target: &Target| matches!(target, Target::Agent(_));
        match self.rng.u8(..13) {
            0..=2 => self.plan_loss_of_owner_with_machines(deployment, now, lasts),
            3 => {
                let count = self.rng.usize(1..4);
                for target in self.draw_targets(deployment, count, |_| true) {
                    if self.reserve(target, end) {
                        self.plan(now, Action::Kill(target, lasts));
                    }
                }
            }
            4 => {
                let count = self.rng.usize(1..3);
                for target in self.draw_targets(deployment, count, |_| true) {
                    if self.reserve(target, end) {
                        self.plan(now, Action::Pause(target, lasts));
                    }
                }
            }
            5 => {
                let roll = if self.rng.bool() {
                    self.draw_targets(deployment, 4, is_entry)
                } else {
                    self.draw_targets(deployment, 4, is_agent)
                };
                self.plan_roll(roll, now);
            }
            6 => {
                for target in self.draw_targets(deployment, usize::MAX, |_| true) {
                    let at = now + self.random_ms(0..500);
                    if self.reserve(target, at) {
                        self.plan(at, Action::Signal(target, "HUP"));
                    }
                }
            }
            7 | 8 => {
                // All entries at once, or some of them; they are silent for at most a few watches.
                let max = if self.rng.bool() { usize::MAX } else { 2 };
                let modes = [ProxyMode::Reset, ProxyMode::Silent, ProxyMode::OneWay];
                let mode = modes[self.rng.usize(..modes.len())];
                for target in self.draw_targets(deployment, max, is_entry) {
                    self.plan(now, Action::SetStorePath(target, mode));
                    self.plan(end, Action::SetStorePath(target, ProxyMode::Pass));
                }
            }
            9 => {
                let max = if self.rng.bool() { usize::MAX } else { 2 };
                for target in self.draw_targets(deployment, max, |_| true) {
                    self.plan(now, Action::StallStorePath(target));
                }
            }
            10 => {
                let faults = random_store_faults(&mut self.rng);
                self.plan(now, Action::SetStoreFaults(faults));
                self.plan(end, Action::SetStoreFaults(StoreFaults::default()));
            }
            11 => {
                for _ in 0..self.rng.usize(1..4) {
                    let worker = self.rng.usize(..deployment.workers.len());
                    let at = now + self.random_ms(0..1_000);
                    self.plan(at, Action::RestartWorker(worker));
                }
            }
            _ => self.plan(now, Action::Compact),
        }
    }

    /// Plans the loss of the owner together with agents, workers or both.
    fn plan_loss_of_owner_with_machines(
        &mut self,
        deployment: &Deployment,
        now: Instant,
        lasts: Duration,
    ) {
        self.plan(now, Action::KillOwner(lasts));
        let count = self.rng.usize(1..4);
        let targets = self.draw_targets(deployment, count, |target| {
            matches!(target, Target::Agent(_))
        });
        for target in targets {
            let kind = self.rng.u8(..3);
            if kind < 2 && self.reserve(target, now + lasts) {
                self.plan(now, Action::Kill(target, lasts));
            }
            if let Target::Agent(index) = target
                && kind > 0
            {
                self.plan(now, Action::RestartWorker(index));
            }
        }
    }

    /// Plans the restart of processes one after the other; the next one may begin while the previous one exits.
    fn plan_roll(&mut self, targets: Vec<Target>, now: Instant) {
        let mut at = now;
        for target in targets {
            let deadline = at + EXIT_TIMEOUT;
            if self.reserve(target, deadline) {
                self.plan(at, Action::Terminate(target));
                at += self.random_ms(100..1_500);
            }
        }
        self.ends.push(at + EXIT_TIMEOUT / 2);
    }

    /// Injects a fault of one moment before a calm time, which has to be got over without help.
    pub(in crate::soak) async fn inject_last_fault(
        &mut self,
        deployment: &mut Deployment,
    ) -> Result<()> {
        let is_entry = |target: &Target| matches!(target, Target::Entry(_));
        let is_agent = |target: &Target| matches!(target, Target::Agent(_));
        let owner = deployment.last_ownership()?.entry;
        let actions: Vec<Action> = match self.rng.u8(..8) {
            0 | 1 => {
                let count = self.rng.usize(1..3);
                let agents = self.draw_targets(deployment, count, is_agent);
                let lost = [owner].into_iter().chain(agents);
                lost.map(Action::RemoveMachine).collect()
            }
            2 => vec![Action::RemoveMachine(owner)],
            3 => {
                let agents = self.draw_targets(deployment, 2, is_agent);
                agents.into_iter().map(Action::RemoveMachine).collect()
            }
            4 | 5 => {
                let entries = self.draw_targets(deployment, usize::MAX, is_entry);
                entries.into_iter().map(Action::StallStorePath).collect()
            }
            6 => {
                let all = self.draw_targets(deployment, usize::MAX, |_| true);
                all.into_iter().map(Action::StallStorePath).collect()
            }
            _ => Vec::new(),
        };
        for action in actions {
            self.carry_out(deployment, action).await?;
        }
        Ok(())
    }
}
