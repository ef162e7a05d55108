//! Faults of the workers and their channels, and announcements of other senders, in series and overlapping.

use std::time::{Duration, Instant};

use fastrand::Rng;
use platform_standin::{Deployment, OtherAnnouncement, ProxyMode, Result, Worker};

use super::print_fault;

/// Interval between checks for faults that begin or end.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of faults in a series on one worker.
const MAX_SERIES_LEN: usize = 4;
/// Range of the number of planned and active faults below which another series is planned; drawn for each seed.
const MAX_FAULTS: std::ops::RangeInclusive<usize> = 2..=8;
/// Duration of a reset that only closes the connections of the moment.
const RESET_DURATION: Duration = Duration::from_millis(50);
/// Delay of a slow channel in each direction.
const CHANNEL_DELAY: Duration = Duration::from_millis(200);

#[derive(Debug, Clone)]
enum WorkerFault {
    /// The worker neither carries out nor answers calls.
    Silent,
    /// The worker answers after a delay between the two.
    DelayedResponses(Duration, Duration),
    /// The proxy between the agent and the worker has a fault.
    FaultyChannel(ProxyMode),
    /// All connections between the agent and the worker are closed once.
    ResetOnce,
    /// Another sender sends one announcement.
    Announcement(OtherAnnouncement),
    /// Another sender sends announcements of these kinds in turn, at this interval.
    Announcements(Vec<OtherAnnouncement>, Duration),
    /// The worker restarts, and another sender announces its previous process afterwards.
    RestartBeforeLateAnnouncement,
}

#[derive(Debug, Clone)]
struct PlannedFault {
    worker: usize,
    begins_at: Instant,
    ends_at: Instant,
    fault: WorkerFault,
}

/// Faults of a seed, planned in series on one worker each.
pub(super) struct WorkerFaults {
    rng: Rng,
    workers: usize,
    max_faults: usize,
    modes: Vec<ProxyMode>,
    planned: Vec<PlannedFault>,
    active: Vec<PlannedFault>,
    next_series_at: Instant,
    pub(super) next_at: Instant,
}

impl WorkerFaults {
    pub(super) fn new(seed: u64, workers: usize) -> Self {
        // A generator of its own, so that the other choices of a seed stay as they were.
        let mut rng = Rng::with_seed(seed ^ 0x0f0e);
        let max_faults = rng.usize(MAX_FAULTS);
        let now = Instant::now();
        Self {
            rng,
            workers,
            max_faults,
            modes: channel_modes(seed),
            planned: Vec::new(),
            active: Vec::new(),
            next_series_at: now,
            next_at: now,
        }
    }

    /// Ends faults that have expired, begins those that are due, and plans another series, if it is time.
    pub(super) async fn advance(&mut self, deployment: &mut Deployment) -> Result<()> {
        let now = Instant::now();
        if now < self.next_at {
            return Ok(());
        }
        if now >= self.next_series_at && self.planned.len() + self.active.len() < self.max_faults {
            self.plan_series(now);
        }
        self.end_expired(deployment, now);
        let (due, planned) = std::mem::take(&mut self.planned)
            .into_iter()
            .partition(|fault| fault.begins_at <= now);
        self.planned = planned;
        let due: Vec<PlannedFault> = due;
        for fault in due {
            begin(deployment, &fault).await?;
            self.active.push(fault);
        }
        self.next_at = Instant::now() + CHECK_INTERVAL;
        Ok(())
    }

    /// Ends all faults.
    pub(super) fn end(&mut self, deployment: &Deployment) {
        self.planned.clear();
        self.end_expired(deployment, Instant::now() + Duration::from_mins(1));
    }

    /// Plans faults on one worker; each begins while the previous one is active or right after its end.
    fn plan_series(&mut self, now: Instant) {
        let worker = self.rng.usize(..self.workers);
        let faults = if self.rng.u8(..3) == 0 {
            self.faults_of_record()
        } else {
            let count = self.rng.usize(1..=MAX_SERIES_LEN);
            (0..count).map(|_| self.random_fault()).collect()
        };
        let mut begins_at = now;
        for fault in faults {
            let drawn = random_ms(&mut self.rng, 300..3_000);
            let lasts = match fault {
                WorkerFault::ResetOnce => RESET_DURATION,
                _ => drawn,
            };
            self.planned.push(PlannedFault {
                worker,
                begins_at,
                ends_at: begins_at + lasts,
                fault,
            });
            let share = if self.rng.bool() { 1.0 } else { self.rng.f64() };
            begins_at += lasts.mul_f64(share);
        }
        self.next_series_at = now + random_ms(&mut self.rng, 200..1_500);
    }

    /// Returns faults of the kinds that the users' record shows together, in random order.
    fn faults_of_record(&mut self) -> Vec<WorkerFault> {
        let kinds = vec![
            OtherAnnouncement::Unreadable,
            OtherAnnouncement::LaterProcess,
            OtherAnnouncement::LaterProcessOfUnknownService,
        ];
        let interval = random_ms(&mut self.rng, 150..600);
        let mut faults = vec![
            WorkerFault::Announcements(kinds, interval),
            WorkerFault::Silent,
            WorkerFault::ResetOnce,
        ];
        self.rng.shuffle(&mut faults);
        faults
    }

    fn random_fault(&mut self) -> WorkerFault {
        let rng = &mut self.rng;
        match rng.u8(..10) {
            0 | 1 => WorkerFault::Silent,
            2 => {
                let delay = random_ms(rng, 100..900);
                WorkerFault::DelayedResponses(delay, delay)
            }
            3 => WorkerFault::DelayedResponses(Duration::ZERO, random_ms(rng, 200..900)),
            4 => WorkerFault::FaultyChannel(self.modes[rng.usize(..self.modes.len())]),
            5 => WorkerFault::ResetOnce,
            6 | 7 => WorkerFault::Announcement(random_announcement(rng)),
            8 => {
                let kinds = (0..rng.usize(1..4)).map(|_| random_announcement(rng));
                WorkerFault::Announcements(kinds.collect(), random_ms(rng, 150..600))
            }
            _ => WorkerFault::RestartBeforeLateAnnouncement,
        }
    }

    /// Plans no more faults until a time, and drops those that have not begun.
    pub(super) fn pause_until(&mut self, at: Instant) {
        self.planned.clear();
        self.next_series_at = at;
    }

    fn end_expired(&mut self, deployment: &Deployment, now: Instant) {
        self.active.retain(|active| {
            let expired = active.ends_at <= now;
            if expired {
                end(deployment, active);
            }
            !expired
        });
    }
}

fn random_ms(rng: &mut Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.u64(range))
}

/// Returns the faults of channels in a seed. Only even seeds refuse the connections to a worker that is up.
fn channel_modes(seed: u64) -> Vec<ProxyMode> {
    let mut modes = vec![
        ProxyMode::Reset,
        ProxyMode::Silent,
        ProxyMode::OneWay,
        ProxyMode::Delay(CHANNEL_DELAY),
    ];
    if seed.is_multiple_of(2) {
        modes.push(ProxyMode::Refuse);
    }
    modes
}

fn random_announcement(rng: &mut Rng) -> OtherAnnouncement {
    OtherAnnouncement::ALL[rng.usize(..OtherAnnouncement::ALL.len())]
}

async fn begin(deployment: &mut Deployment, planned: &PlannedFault) -> Result<()> {
    let index = planned.worker;
    let lasts = planned.ends_at - planned.begins_at;
    print_fault(&format_args!(
        "worker={index} lasts={lasts:?} fault={:?}",
        planned.fault
    ))?;
    match &planned.fault {
        WorkerFault::Silent => {
            deployment.workers[index].fall_silent(lasts);
        }
        WorkerFault::DelayedResponses(min, max) => {
            deployment.workers[index].delay_responses(*min, *max);
        }
        WorkerFault::FaultyChannel(mode) => deployment.worker_proxies[index].set_mode(*mode),
        WorkerFault::ResetOnce => deployment.worker_proxies[index].set_mode(ProxyMode::Reset),
        WorkerFault::Announcement(kind) => {
            send_until(deployment, planned, vec![*kind], lasts);
        }
        WorkerFault::Announcements(kinds, interval) => {
            send_until(deployment, planned, kinds.clone(), *interval);
        }
        WorkerFault::RestartBeforeLateAnnouncement => {
            deployment.restart_worker(index).await?;
            let kinds = vec![OtherAnnouncement::EndedProcess];
            send_until(deployment, planned, kinds, lasts);
        }
    }
    Ok(())
}

/// Starts to send announcements in the background until the fault ends.
fn send_until(
    deployment: &Deployment,
    planned: &PlannedFault,
    kinds: Vec<OtherAnnouncement>,
    interval: Duration,
) {
    let worker = deployment.workers[planned.worker].clone();
    tokio::spawn(send_repeatedly(worker, kinds, interval, planned.ends_at));
}

async fn send_repeatedly(
    worker: Worker,
    kinds: Vec<OtherAnnouncement>,
    interval: Duration,
    until: Instant,
) {
    for kind in kinds.into_iter().cycle() {
        if Instant::now() >= until {
            return;
        }
        // A failure is ignored because the agent may be down.
        let _ = kind.send(&worker).await;
        tokio::time::sleep(interval).await;
    }
}

/// Ends a fault, and with it other faults of the same kind on the same worker.
fn end(deployment: &Deployment, active: &PlannedFault) {
    let index = active.worker;
    match active.fault {
        WorkerFault::DelayedResponses(..) => {
            deployment.workers[index].delay_responses(Duration::ZERO, Duration::ZERO);
        }
        WorkerFault::FaultyChannel(_) | WorkerFault::ResetOnce => {
            deployment.worker_proxies[index].set_mode(ProxyMode::Pass);
        }
        // These end by themselves.
        WorkerFault::Silent
        | WorkerFault::Announcement(_)
        | WorkerFault::Announcements(..)
        | WorkerFault::RestartBeforeLateAnnouncement => {}
    }
}
