//! Runs one trace under one policy in virtual time.

use std::time::{Duration, Instant};

use board::{Board, ConfigSnapshot};
use placement::{Event, Strategy, step};

use crate::fleet_check::{Context, FleetCheck};
use crate::jobs::Jobs;
use crate::learn::Learner;
use crate::measure::Meter;
use crate::membership::membership;
use crate::options::Options;
use crate::platform::Platform;
use crate::report::Report;
use crate::score;
use crate::timeline::{Due, Timeline};
use crate::trace::Trace;

/// Replays a trace under each policy and reports them side by side.
pub fn run(trace: &Trace, policies: &[Strategy], options: &Options) -> Report {
    let runs = policies.iter().map(|strategy| {
        let mut replay = Replay::new(trace, *strategy, options);
        replay.run();
        replay.finish()
    });
    score::report(trace, runs.collect())
}

/// What is left of a run when its events are used up.
#[derive(Debug)]
pub(crate) struct FinishedReplay<'a> {
    pub(crate) strategy: Strategy,
    pub(crate) jobs: Jobs<'a>,
    pub(crate) meter: Meter,
    pub(crate) check: FleetCheck,
}

/// One run of a trace under one policy.
pub(crate) struct Replay<'a> {
    pub(crate) trace: &'a Trace,
    pub(crate) strategy: Strategy,
    pub(crate) options: &'a Options,
    pub(crate) board: Board,
    /// Virtual time zero; every instant is this one plus an offset.
    pub(crate) origin: Instant,
    pub(crate) timeline: Timeline,
    pub(crate) platform: Platform,
    pub(crate) jobs: Jobs<'a>,
    pub(crate) learner: Learner,
    pub(crate) meter: Meter,
    pub(crate) check: FleetCheck,
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
        let mut timeline = Timeline::default();
        for (index, line) in trace.lines.iter().enumerate() {
            timeline.add(line.at(), Due::Line(index));
        }
        Self {
            trace,
            strategy,
            options,
            board,
            origin,
            timeline,
            platform: Platform::new(options.clone()),
            jobs: Jobs::default(),
            learner: Learner::default(),
            meter: Meter::new(trace),
            check: FleetCheck::default(),
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
        while let Some((at, batch)) = self.timeline.next_batch() {
            self.meter.advance(&self.board, at);
            let only_tick = matches!(batch[..], [Due::Tick]);
            if !only_tick {
                self.last_event = at;
            }
            let events: Vec<Event> = batch
                .into_iter()
                .filter_map(|due| self.occur(due, at))
                .collect();
            if !events.is_empty() {
                self.decide(events, at);
            }
            self.schedule_tick(at);
        }
    }

    fn finish(mut self) -> FinishedReplay<'a> {
        self.jobs.report_open(self.last_event);
        FinishedReplay {
            strategy: self.strategy,
            jobs: self.jobs,
            meter: self.meter,
            check: self.check,
        }
    }

    fn decide(&mut self, events: Vec<Event>, at: Duration) {
        let membership = events
            .iter()
            .any(|event| matches!(event, Event::MembershipChanged));
        let actions = step(&self.board, self.strategy, events, self.origin + at);
        for action in &actions {
            self.act(action, at);
        }
        let context = Context {
            board: &self.board,
            platform: &self.platform,
            jobs: &self.jobs,
            at,
        };
        self.check.after_batch(&context, &actions, membership);
    }

    /// Ticks while jobs wait, until nothing else has happened for the stall limit.
    fn schedule_tick(&mut self, at: Duration) {
        let waiting = !self.board.queue.load().queued.is_empty();
        if waiting && !self.tick_pending && at < self.last_event + self.options.stall_limit {
            self.tick_pending = true;
            self.timeline.add(at + self.options.tick, Due::Tick);
        }
    }

    pub(crate) fn publish_membership(&mut self, at: Duration) {
        let now = self.origin + at;
        let membership = membership(&self.trace.header, &self.platform.lost, now);
        self.board.membership.publish(membership);
        self.learner.membership_changed(&self.board, now);
    }
}
