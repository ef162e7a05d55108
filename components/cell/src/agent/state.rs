//! What an agent knows of its worker, and the report made of it.

use std::time::Duration;

use graph::lapse_after;
use indexmap::IndexMap;
use model::{
    EndReport, Epoch, Incarnation, Refusal, Room, RunReport, RunStatus, ServiceId, TaskRun,
    WorkerReport,
};
use tokio_util::sync::CancellationToken;

use crate::agent::runner::{Held, ListedRun};
use crate::agent::{Announcement, Started};
use crate::settings::AgentSettings;

/// Refused connections in a row after which nothing runs there: the process is gone.
const ABSENT_AFTER: u32 = 2;
/// How long outcomes of orders are kept for repeats of the orders.
const OUTCOME_KEPT: Duration = Duration::from_mins(1);

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Order {
    /// The start was sent and not answered yet.
    Starting,
    /// No try of the start was answered; it may be carried out later.
    Unanswered,
    /// The worker has begun.
    Started,
    /// The worker refused.
    Refused(Refusal),
    /// The stop was sent and not answered yet.
    Stopping,
    /// The run cannot begin any more since this time; the next list shows whether it has ended there.
    Stopped(Duration),
    /// The run was stopped before it began, or ended long ago.
    Gone,
}

/// The state of an agent.
#[derive(Debug)]
pub(crate) struct State {
    settings: AgentSettings,
    pub(crate) name: Box<str>,
    pub(crate) incarnation: Option<Incarnation>,
    sequence: u64,
    service: ServiceId,
    room: Room,
    labels: Vec<Box<str>>,
    /// When the worker leaves, once it drains.
    leaves_at: Option<Duration>,
    /// The highest epoch of an owner.
    pub(crate) epoch: Epoch,
    /// The highest epoch that the worker has confirmed.
    pub(crate) fenced: Epoch,
    /// When this process began to know the worker.
    created_at: Duration,
    /// When the newest list of this life of the worker was asked for.
    listed_at: Option<Duration>,
    /// Leases may be extended until then.
    pub(crate) permit_until: Duration,
    /// The clock of the worker and the boot clock at the same moment.
    clock: Option<(Duration, Duration)>,
    /// All leases have lapsed by then.
    lapses_at: Duration,
    refused_connections: u32,
    pub(crate) acknowledged: u64,
    pub(crate) orders: IndexMap<TaskRun, (Order, Duration)>,
    /// Starts that are still being tried, whatever became of their orders; cancelled to give up further tries.
    tries: IndexMap<TaskRun, CancellationToken>,
    listed: Vec<ListedRun>,
    ends: Vec<EndReport>,
    left: bool,
}

impl State {
    /// Creates the state before the worker was heard.
    pub(crate) fn new(settings: AgentSettings, now: Duration) -> Self {
        Self {
            created_at: now,
            listed_at: None,
            service: settings.service.clone(),
            settings,
            name: Box::default(),
            incarnation: None,
            sequence: 0,
            room: Room::default(),
            labels: Vec::new(),
            leaves_at: None,
            epoch: 0,
            fenced: 0,
            permit_until: Duration::ZERO,
            clock: None,
            lapses_at: Duration::ZERO,
            refused_connections: 0,
            acknowledged: 0,
            orders: IndexMap::new(),
            tries: IndexMap::new(),
            listed: Vec::new(),
            ends: Vec::new(),
            left: false,
        }
    }

    /// Returns the longest lease that the worker grants.
    pub(crate) fn max_lease(&self) -> Duration {
        self.settings.max_lease
    }

    /// Returns whether the worker takes no new tasks.
    pub(crate) fn is_draining(&self) -> bool {
        self.leaves_at.is_some() || self.left
    }

    /// Takes an announcement; returns whether it changed anything.
    pub(crate) fn announced(&mut self, told: Announcement, now: Duration) -> bool {
        let older = self.incarnation.is_some_and(|own| told.incarnation < own);
        let repeated = self.incarnation == Some(told.incarnation) && told.sequence <= self.sequence;
        if older || repeated {
            return false;
        }
        let before = (self.incarnation, self.room, self.is_draining());
        self.begin(told.incarnation);
        self.sequence = told.sequence;
        self.name = told.name;
        self.service = told.service;
        self.room = told.room;
        self.labels = told.labels;
        self.leaves_at = told.draining.map(|left| now + left);
        before != (self.incarnation, self.room, self.is_draining())
    }

    /// Notes that the worker leaves.
    pub(crate) fn left(&mut self, name: &str) {
        if *self.name == *name {
            self.left = true;
        }
    }

    /// Starts over if the worker is another than before.
    fn begin(&mut self, incarnation: Incarnation) {
        if self.incarnation == Some(incarnation) {
            return;
        }
        log::info!(
            target: "limpethook",
            incarnation = incarnation, before = self.incarnation.unwrap_or(0);
            "worker_began"
        );
        if self.incarnation.is_some() {
            // The capacity of another life is not known before it announces itself.
            self.room = Room::default();
        }
        self.incarnation = Some(incarnation);
        self.sequence = 0;
        self.fenced = 0;
        self.acknowledged = 0;
        self.clock = None;
        self.listed_at = None;
        self.refused_connections = 0;
        // A try in progress may reach this life of the worker, also after a stop in the last one; the owner has to know.
        self.tries.values().for_each(CancellationToken::cancel);
        self.orders.retain(|run, _| self.tries.contains_key(run));
        for (order, _) in self.orders.values_mut() {
            *order = Order::Starting;
        }
        self.listed.clear();
        self.ends.clear();
        self.left = false;
        self.leaves_at = None;
    }

    /// Returns the end of a lease on the clock of the worker, if leases may be extended and the clock is known.
    pub(crate) fn lease_end(&mut self, now: Duration) -> Option<Duration> {
        let (clock, at) = self.clock?;
        let left = self.permit_until.checked_sub(now)?;
        let left = left.min(self.settings.max_lease);
        if left.is_zero() {
            return None;
        }
        self.lapses_at = self.lapses_at.max(now + lapse_after(left));
        Some(clock + now.saturating_sub(at) + left)
    }

    /// Takes a list that the worker was asked for at `asked_at`; returns whether there is news for the owner.
    pub(crate) fn held(
        &mut self,
        held: Held,
        epoch: Epoch,
        asked_at: Duration,
        now: Duration,
    ) -> bool {
        if let Some(incarnation) = held.incarnation {
            if self.incarnation.is_some_and(|own| incarnation < own) {
                return false;
            }
            self.begin(incarnation);
        }
        self.refused_connections = 0;
        self.clock = Some((held.clock, now));
        if held.fenced {
            return false;
        }
        let news = self.fenced < epoch || held.ends.len() != self.ends.len() || {
            let last = |ends: &[EndReport]| ends.last().map(|end| end.sequence);
            last(&held.ends) != last(&self.ends)
        };
        self.fenced = self.fenced.max(epoch);
        self.listed_at = self.listed_at.max(Some(asked_at));
        let known: Vec<TaskRun> = self.listed.iter().map(|listed| listed.run).collect();
        let appeared = held.runs.iter().any(|listed| !known.contains(&listed.run));
        self.listed = held.runs;
        self.ends = held.ends;
        let settled = self.settle_orders(asked_at, now);
        news || settled || appeared
    }

    /// Compares the orders with the lists; returns whether one has come to its outcome.
    fn settle_orders(&mut self, asked_at: Duration, now: Duration) -> bool {
        let mut settled = false;
        for (run, (order, changed_at)) in &mut self.orders {
            let listed = self.listed.iter().any(|listed| listed.run == *run);
            let ended = self.ends.iter().any(|end| end.run == *run);
            match order {
                Order::Stopped(at) if *at <= asked_at && !listed && !ended => {
                    *order = Order::Gone;
                    *changed_at = now;
                    settled = true;
                }
                Order::Started if *changed_at <= asked_at && !listed && !ended => {
                    *order = Order::Gone;
                    *changed_at = now;
                    settled = true;
                }
                _ => {}
            }
        }
        self.orders.retain(|run, (order, changed_at)| {
            let final_order = matches!(order, Order::Refused(_) | Order::Gone | Order::Started);
            let listed = self.listed.iter().any(|listed| listed.run == *run);
            !final_order || listed || now < *changed_at + OUTCOME_KEPT
        });
        settled
    }

    /// Notes that a connection to the worker was refused.
    pub(crate) fn connection_refused(&mut self) {
        self.refused_connections = self.refused_connections.saturating_add(1);
    }

    /// Returns whether nothing runs on the worker any more.
    fn is_absent(&self, now: Duration) -> bool {
        let lapsed =
            self.lapses_at > Duration::ZERO && now > self.lapses_at && self.listed.is_empty();
        self.refused_connections >= ABSENT_AFTER || (self.left && lapsed)
    }

    /// Notes that a start is being tried; the tries go on until the result is cancelled.
    pub(crate) fn begin_tries(&mut self, run: TaskRun, now: Duration) -> CancellationToken {
        self.orders.insert(run, (Order::Starting, now));
        let given_up = CancellationToken::new();
        self.tries.insert(run, given_up.clone());
        given_up
    }

    /// Ends the tries of a start once the one in progress is answered or given up.
    pub(crate) fn give_up_tries(&self, run: TaskRun) {
        if let Some(given_up) = self.tries.get(&run) {
            given_up.cancel();
        }
    }

    /// Notes the answer to a start, or that there was none, after its last try.
    pub(crate) fn started(&mut self, run: TaskRun, started: Option<Started>, now: Duration) {
        self.tries.swap_remove(&run);
        if !matches!(self.orders.get(&run), Some((Order::Starting, _))) {
            return;
        }
        let order = match started {
            Some(Started::Yes) => Order::Started,
            // The lease has ended on the way; the owner sends the order again.
            Some(Started::Late) | None => Order::Unanswered,
            // The run has been there: an earlier try was carried out, and the next list shows its end.
            Some(Started::Refused(Refusal::Outdated)) => Order::Stopped(now),
            Some(Started::Refused(refusal)) => Order::Refused(refusal),
        };
        self.orders.insert(run, (order, now));
    }

    fn has_ended(&self, run: TaskRun) -> bool {
        self.ends.iter().any(|end| end.run == run)
    }

    /// Returns the report for the owner.
    pub(crate) fn report(&self, now: Duration) -> WorkerReport {
        WorkerReport {
            agent: self.settings.agent.clone(),
            name: self.name.clone(),
            service: self.service.clone(),
            incarnation: self.incarnation,
            room: self.room,
            labels: self.labels.clone(),
            draining: match self.leaves_at {
                Some(at) => Some(at.saturating_sub(now)),
                None => self.left.then_some(Duration::ZERO),
            },
            absent: self.is_absent(now),
            fenced: self.fenced,
            followed: self.epoch,
            complete: self.is_complete(),
            runs: self.run_reports(now),
            ends: self.ends.clone(),
            sent_at: now,
        }
    }

    /// Returns whether a list was read after every order of an earlier process of this agent had arrived or lapsed: an
    /// order that comes after the end of its lease is refused.
    fn is_complete(&self) -> bool {
        let arrived = self.created_at + lapse_after(self.settings.max_lease);
        self.listed_at.is_some_and(|at| at >= arrived)
    }

    fn run_reports(&self, now: Duration) -> Vec<RunReport> {
        let absent = self.is_absent(now);
        let mut reports: Vec<RunReport> = self
            .listed
            .iter()
            .map(|listed| RunReport {
                run: listed.run,
                status: RunStatus::Running {
                    percent: listed.percent,
                    checkpoint: listed.checkpoint.clone(),
                },
            })
            .collect();
        for (run, (order, _)) in &self.orders {
            let listed = self.listed.iter().any(|listed| listed.run == *run);
            let ended = self.has_ended(*run);
            // Nothing carries out what a worker that is gone left without an answer.
            let void = absent && *order == Order::Unanswered;
            if listed || ended || void {
                continue;
            }
            let status = match order {
                Order::Starting | Order::Unanswered | Order::Stopping | Order::Stopped(_) => {
                    RunStatus::Starting
                }
                Order::Started => RunStatus::Running {
                    percent: 0,
                    checkpoint: Box::default(),
                },
                Order::Refused(refusal) => RunStatus::Refused(*refusal),
                Order::Gone => RunStatus::Gone,
            };
            reports.push(RunReport { run: *run, status });
        }
        reports
    }
}
