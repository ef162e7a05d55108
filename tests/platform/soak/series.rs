//! Faults of the processes, the store and the paths to it, in series that overlap, with calm gaps between them.

mod planning;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use fastrand::Rng;
use platform_standin::{Deployment, ProxyMode, Result, StoreFaults, Target};

use super::print_fault;

/// Interval between checks for actions that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Range of the number of series that overlap at most; drawn for each seed.
const MAX_OVERLAPPING: std::ops::RangeInclusive<usize> = 1..=4;
/// Time that a process has to exit after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(8);
/// Time in which series begin between two calm gaps.
const STORMY_TIME: Duration = Duration::from_secs(10);
/// Time from the last series of a storm to a last fault.
const LAUNCH_TIME: Duration = Duration::from_secs(1);
/// Calm time after that. The checks need 7 s from the end of all faults.
const CALM_TIME: Duration = Duration::from_secs(12);

#[derive(Debug, Clone, Copy)]
enum Action {
    /// Kills a process, and starts it again after a time.
    Kill(Target, Duration),
    /// Kills the owner of this moment, and starts it again after a time.
    KillOwner(Duration),
    Pause(Target, Duration),
    Terminate(Target),
    Signal(Target, &'static str),
    Launch(Target),
    LaunchAfterExit(Target, Instant),
    RestartWorker(usize),
    SetStorePath(Target, ProxyMode),
    /// The open connections to the store forward nothing any more.
    StallStorePath(Target),
    /// Ends a process, and its worker if it is an agent, until the next storm or the end.
    RemoveMachine(Target),
    SetStoreFaults(StoreFaults),
    Compact,
}

/// Series of a seed.
pub(super) struct Series {
    rng: Rng,
    max_overlapping: usize,
    planned: Vec<(Instant, Action)>,
    /// Ends of the series.
    ends: Vec<Instant>,
    /// Until when each process belongs to a series.
    reserved: HashMap<Target, Instant>,
    storm_ends_at: Instant,
    /// When the last fault before a calm gap is due.
    last_fault_at: Option<Instant>,
    next_series_at: Instant,
    pub(super) next_at: Instant,
}

impl Series {
    pub(super) fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed ^ 0x5e21);
        let max_overlapping = rng.usize(MAX_OVERLAPPING);
        let now = Instant::now();
        Self {
            rng,
            max_overlapping,
            planned: Vec::new(),
            ends: Vec::new(),
            reserved: HashMap::new(),
            storm_ends_at: now + STORMY_TIME,
            last_fault_at: None,
            next_series_at: now + Duration::from_millis(500),
            next_at: now,
        }
    }

    /// Returns the end of the calm gap if one begins or goes on.
    pub(super) fn calm_until(&self) -> Option<Instant> {
        (Instant::now() >= self.storm_ends_at).then_some(self.next_series_at)
    }

    /// Carries out the actions that are due, and plans another series, if it is time.
    pub(super) async fn advance(&mut self, deployment: &mut Deployment) -> Result<()> {
        let now = Instant::now();
        if now < self.next_at {
            return Ok(());
        }
        deployment.restart_crashed_workers().await?;
        self.ends.retain(|end| *end > now);
        if now >= self.next_series_at {
            if now >= self.storm_ends_at {
                self.storm_ends_at = now + STORMY_TIME;
                deployment.restore_machines().await?;
            }
            if self.ends.len() < self.max_overlapping {
                self.plan_series(deployment, now);
            }
            self.next_series_at = now + self.random_ms(200..1_500);
            if self.next_series_at >= self.storm_ends_at {
                let last = self.ends.iter().copied().max().unwrap_or(now);
                self.storm_ends_at = now;
                self.last_fault_at = Some(last + LAUNCH_TIME);
                self.next_series_at = last + LAUNCH_TIME + CALM_TIME;
            }
        }
        self.carry_out_due(deployment, now).await?;
        if self.last_fault_at.is_some_and(|at| at <= now) {
            self.last_fault_at = None;
            self.inject_last_fault(deployment).await?;
        }
        self.next_at = Instant::now() + CHECK_INTERVAL;
        Ok(())
    }

    /// Carries out all actions that are left, without waiting for their times.
    pub(super) async fn end(&mut self, deployment: &mut Deployment) -> Result<()> {
        self.planned.retain(|(_, action)| match action {
            Action::Signal(_, signal) => *signal == "CONT",
            Action::Launch(_) | Action::LaunchAfterExit(..) => true,
            Action::SetStorePath(_, mode) => *mode == ProxyMode::Pass,
            Action::SetStoreFaults(faults) => *faults == StoreFaults::default(),
            _ => false,
        });
        while !self.planned.is_empty() {
            let last = Instant::now() + Duration::from_mins(1);
            self.carry_out_due(deployment, last).await?;
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        Ok(())
    }

    async fn carry_out_due(&mut self, deployment: &mut Deployment, now: Instant) -> Result<()> {
        let (mut due, planned): (Vec<_>, Vec<_>) = std::mem::take(&mut self.planned)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.planned = planned;
        due.sort_by_key(|(at, _)| *at);
        for (_, action) in due {
            self.carry_out(deployment, action).await?;
        }
        Ok(())
    }

    async fn carry_out(&mut self, deployment: &mut Deployment, action: Action) -> Result<()> {
        if !matches!(action, Action::LaunchAfterExit(..)) {
            print_fault(&format_args!("fault={action:?}"))?;
        }
        match action {
            Action::Signal(target, signal) => deployment.signal(target, signal)?,
            Action::Kill(target, down_for) => {
                deployment.kill(target);
                self.plan(Instant::now() + down_for, Action::Launch(target));
            }
            Action::KillOwner(down_for) => {
                let owner = deployment.last_ownership()?.entry;
                if self.reserve(owner, Instant::now() + down_for) {
                    deployment.kill(owner);
                    self.plan(Instant::now() + down_for, Action::Launch(owner));
                }
            }
            Action::Pause(target, lasts) => {
                deployment.signal(target, "STOP")?;
                self.plan(Instant::now() + lasts, Action::Signal(target, "CONT"));
            }
            Action::Terminate(target) => {
                deployment.signal(target, "TERM")?;
                let deadline = Instant::now() + EXIT_TIMEOUT;
                self.plan(Instant::now(), Action::LaunchAfterExit(target, deadline));
            }
            Action::Launch(target) => deployment.launch(target)?,
            Action::LaunchAfterExit(target, deadline) => {
                let exit = deployment.wait(target, Duration::from_millis(1)).await;
                match exit {
                    Ok(()) => deployment.launch(target)?,
                    Err(e) if Instant::now() > deadline => return Err(e),
                    Err(_) => self.plan(Instant::now() + CHECK_INTERVAL, action),
                }
            }
            Action::RestartWorker(index) => deployment.restart_worker(index).await?,
            Action::SetStorePath(target, mode) => deployment.store_proxy(target).set_mode(mode),
            Action::StallStorePath(target) => {
                deployment.store_proxy(target).stall_open_connections();
            }
            Action::SetStoreFaults(faults) => deployment.store.set_faults(faults),
            Action::RemoveMachine(target) => deployment.remove_machine(target),
            Action::Compact => deployment.store.compact(),
        }
        Ok(())
    }

    fn plan(&mut self, at: Instant, action: Action) {
        self.planned.push((at, action));
    }

    /// Reserves a process for a series; returns whether it was free.
    fn reserve(&mut self, target: Target, until: Instant) -> bool {
        let is_free = self
            .reserved
            .get(&target)
            .is_none_or(|end| *end <= Instant::now());
        if is_free {
            self.reserved.insert(target, until + EXIT_TIMEOUT / 4);
        }
        is_free
    }

    fn random_ms(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.u64(range))
    }
}
