//! The discrete-event simulation of one trace under one policy.

use std::time::{Duration, Instant};

use board::{Board, ConfigSnapshot};
use placement::{Event, Strategy, step};

use crate::event_queue::{EventQueue, ScheduledEvent};
use crate::invariants::{CheckContext, InvariantChecker};
use crate::jobs::Jobs;
use crate::learner::Learner;
use crate::membership::membership;
use crate::metrics;
use crate::options::Options;
use crate::platform::Platform;
use crate::report::Report;
use crate::trace::Trace;
use crate::utilisation::UtilisationMeter;

/// Replays a trace under each policy and returns a report that compares them.
pub fn run(trace: &Trace, policies: &[Strategy], options: &Options) -> Report {
    let runs = policies.iter().map(|strategy| {
        let mut replay = Replay::new(trace, *strategy, options);
        replay.run();
        replay.finish()
    });
    metrics::report(trace, runs.collect())
}

/// The results of a replay after its last event.
#[derive(Debug)]
pub(crate) struct FinishedReplay<'a> {
    pub(crate) strategy: Strategy,
    pub(crate) jobs: Jobs<'a>,
    pub(crate) meter: UtilisationMeter,
    pub(crate) invariants: InvariantChecker,
}

/// A replay of a trace under one policy.
pub(crate) struct Replay<'a> {
    pub(crate) trace: &'a Trace,
    pub(crate) strategy: Strategy,
    pub(crate) options: &'a Options,
    pub(crate) board: Board,
    /// The instant at virtual time zero; all other instants are offsets from it.
    pub(crate) origin: Instant,
    pub(crate) event_queue: EventQueue,
    pub(crate) platform: Platform,
    pub(crate) jobs: Jobs<'a>,
    pub(crate) learner: Learner,
    pub(crate) meter: UtilisationMeter,
    pub(crate) invariants: InvariantChecker,
    pub(crate) last_event: Duration,
    pub(crate) tick_pending: bool,
}

impl<'a> Replay<'a> {
    fn new(trace: &'a Trace, strategy: Strategy, options: &'a Options) -> Self {
        let origin = Instant::now();
        let board = Board::default();
        board.config.publish(ConfigSnapshot {
            revision: 1,
            document: trace.header.document.clone(),
            ..ConfigSnapshot::default()
        });
        let mut event_queue = EventQueue::default();
        for (index, line) in trace.lines.iter().enumerate() {
            event_queue.schedule(line.at(), ScheduledEvent::TraceLine(index));
        }
        Self {
            trace,
            strategy,
            options,
            board,
            origin,
            event_queue,
            platform: Platform::new(options.clone()),
            jobs: Jobs::default(),
            learner: Learner::default(),
            meter: UtilisationMeter::new(trace),
            invariants: InvariantChecker::default(),
            last_event: Duration::ZERO,
            tick_pending: false,
        }
    }

    fn run(&mut self) {
        self.publish_membership(Duration::ZERO);
        self.decide(
            vec![Event::ConfigChanged, Event::MembershipChanged],
            Duration::ZERO,
        );
        while let Some((at, batch)) = self.event_queue.pop_batch() {
            self.meter.advance(&self.board, at);
            let only_tick = matches!(batch[..], [ScheduledEvent::Tick]);
            if !only_tick {
                self.last_event = at;
            }
            let events: Vec<Event> = batch
                .into_iter()
                .filter_map(|scheduled| self.handle_event(scheduled, at))
                .collect();
            if !events.is_empty() {
                self.decide(events, at);
            }
            self.schedule_tick(at);
        }
    }

    fn finish(mut self) -> FinishedReplay<'a> {
        self.jobs.record_unfinished(self.last_event);
        FinishedReplay {
            strategy: self.strategy,
            jobs: self.jobs,
            meter: self.meter,
            invariants: self.invariants,
        }
    }

    fn decide(&mut self, events: Vec<Event>, at: Duration) {
        let membership_changed = events
            .iter()
            .any(|event| matches!(event, Event::MembershipChanged));
        let actions = step(&self.board, self.strategy, events, self.origin + at);
        for action in &actions {
            self.apply_action(action, at);
        }
        let context = CheckContext {
            board: &self.board,
            platform: &self.platform,
            jobs: &self.jobs,
            at,
        };
        self.invariants
            .check_batch(&context, &actions, membership_changed);
    }

    /// Schedules the next tick while jobs wait, until only ticks have occurred for `stall_timeout`.
    fn schedule_tick(&mut self, at: Duration) {
        let waiting = !self.board.queue.load().queued.is_empty();
        if waiting && !self.tick_pending && at < self.last_event + self.options.stall_timeout {
            self.tick_pending = true;
            self.event_queue
                .schedule(at + self.options.tick_interval, ScheduledEvent::Tick);
        }
    }

    pub(crate) fn publish_membership(&mut self, at: Duration) {
        let now = self.origin + at;
        let membership = membership(&self.trace.header, &self.platform.lost_workers, now);
        self.board.membership.publish(membership);
        self.learner.retain_members(&self.board, now);
    }
}
