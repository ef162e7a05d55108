//! Tests of the blame controller.

use std::sync::Arc;
use std::time::{Duration, Instant};

use board::{Agent, Board, Membership};
use model::{JobId, Location, Resources, Worker, WorkerId};
use policy::blame::{BlameController, Observation, TaskEvent, may_use_worker};

struct Fixture {
    board: Board,
    blame: BlameController,
    now: Instant,
}

impl Fixture {
    fn new() -> Self {
        Self {
            board: Board::default(),
            blame: BlameController::default(),
            now: Instant::now(),
        }
    }

    fn event(&mut self, job: JobId, workers: &[&str], event: TaskEvent) {
        let workers = workers
            .iter()
            .map(|worker| WorkerId::from(*worker))
            .collect();
        let observation = Observation {
            job,
            workers,
            event,
        };
        self.blame.observe(&self.board, &[observation], self.now);
    }

    fn fail(&mut self, job: JobId, workers: &[&str]) {
        self.event(
            job,
            workers,
            TaskEvent::Failed {
                failed_worker: None,
            },
        );
    }

    fn succeed(&mut self, job: JobId, workers: &[&str]) {
        self.event(job, workers, TaskEvent::Succeeded);
    }

    fn quarantined(&self) -> Vec<WorkerId> {
        self.board
            .blame
            .load()
            .quarantined
            .keys()
            .cloned()
            .collect()
    }

    fn faulty_jobs(&self) -> Vec<JobId> {
        self.board
            .blame
            .load()
            .faulty_jobs
            .keys()
            .copied()
            .collect()
    }

    fn join(&mut self, names: &[&str]) {
        let worker = |name: &&str| Worker {
            id: (*name).into(),
            agent: "agent".into(),
            location: Location {
                region: "caribe".into(),
                data_centre: "c1".into(),
                rack: "r1".into(),
            },
            capacity: Resources::default(),
        };
        let agent = Agent {
            id: "agent".into(),
            addr: ([127, 0, 0, 1], 1).into(),
            incarnation: 1,
            workers: names.iter().map(worker).collect(),
            last_seen: self.now,
            config_revision: 0,
        };
        let agents = [("agent".into(), Arc::new(agent))].into_iter().collect();
        self.board.membership.publish(Membership {
            agents,
            ..Membership::default()
        });
    }

    /// Returns a random gang without quarantined workers, as placement chooses it.
    fn gang<'n>(&self, names: &[&'n str], size: usize, rng: &mut fastrand::Rng) -> Vec<&'n str> {
        let mut usable: Vec<_> = names
            .iter()
            .copied()
            .filter(|name| self.is_usable(name))
            .collect();
        rng.shuffle(&mut usable);
        usable.truncate(size);
        usable
    }

    fn is_usable(&self, worker: &str) -> bool {
        may_use_worker(&self.board.blame.load(), worker, true, self.now)
    }
}

/// Guards against a job that is retried without end, and against one that counts as faulty because of a single worker.
#[test]
fn observe_finds_faulty_job_on_three_workers() {
    let mut fixture = Fixture::new();
    for worker in ["a", "a", "a", "b"] {
        fixture.fail(1, &[worker]);
    }
    assert!(fixture.faulty_jobs().is_empty());
    fixture.fail(1, &["c"]);
    assert_eq!(fixture.faulty_jobs(), [1]);
    for _ in 0..6 {
        fixture.fail(2, &["a", "b", "c", "d"]);
    }
    assert_eq!(
        fixture.faulty_jobs(),
        [1, 2],
        "failures on overlapping gangs count too"
    );
    assert!(fixture.quarantined().is_empty());
}

/// Guards against a faulty worker that fails every job, and against jobs that are held at fault for its failures.
#[test]
fn observe_quarantines_worker_of_three_jobs() {
    let mut fixture = Fixture::new();
    fixture.fail(1, &["bad"]);
    fixture.fail(1, &["bad"]);
    fixture.fail(2, &["bad"]);
    assert!(fixture.quarantined().is_empty());
    fixture.fail(3, &["bad"]);
    assert_eq!(fixture.quarantined(), ["bad".into()]);
    fixture.fail(1, &["a"]);
    fixture.fail(1, &["b"]);
    assert!(
        fixture.faulty_jobs().is_empty(),
        "the failures on the faulty worker do not count"
    );
    fixture.fail(1, &["c"]);
    assert_eq!(fixture.faulty_jobs(), [1]);
}

/// Guards against failures on a faulty worker that count against their jobs again once the worker is repaired.
#[test]
fn observe_keeps_failures_explained_after_probe() {
    let mut fixture = Fixture::new();
    for job in 1..=3 {
        fixture.fail(job, &["bad"]);
    }
    fixture.succeed(4, &["bad"]);
    fixture.fail(1, &["a"]);
    fixture.fail(1, &["b"]);
    assert!(fixture.faulty_jobs().is_empty());
}

/// Guards against healthy workers quarantined by a burst of jobs that fail everywhere, and against such jobs that are
/// retried without end.
#[test]
fn observe_frees_workers_of_faulty_jobs() {
    arbtest::arbtest(|u| {
        let mut fixture = Fixture::new();
        let names = ["a", "b", "c", "d", "e", "f"];
        if u.arbitrary()? {
            fixture.join(&names);
        }
        let mut open: Vec<JobId> = (1..=u.int_in_range(3..=8)?).collect();
        let mut rng = fastrand::Rng::with_seed(u.arbitrary()?);
        for _ in 0..200 {
            let Some(job) = rng.choice(&open).copied() else {
                break;
            };
            fixture.now += Duration::from_secs(30);
            let usable = fixture.gang(&names, 2, &mut rng);
            fixture.fail(job, &usable);
            open.retain(|job| !fixture.faulty_jobs().contains(job));
        }
        assert!(open.is_empty() && fixture.quarantined().is_empty());
        Ok(())
    });
}

/// Guards against a burst of jobs that fail everywhere and leave no worker for other jobs.
#[test]
fn observe_quarantines_at_most_half() {
    let mut fixture = Fixture::new();
    let names = ["a", "b", "c", "d"];
    fixture.join(&names);
    for worker in names {
        for job in 1..=8 {
            fixture.fail(job, &[worker]);
            assert!(fixture.quarantined().len() <= 2);
        }
    }
}

/// Guards against jobs that are retried without end because workers that they put in quarantine explain their failures.
#[test]
fn observe_limits_explained_failures() {
    let mut fixture = Fixture::new();
    for worker in ["a", "b", "c", "d", "e", "f"].repeat(2) {
        for job in 1..=8 {
            fixture.fail(job, &[worker]);
        }
    }
    assert_eq!(fixture.faulty_jobs().len(), 8);
    assert!(fixture.quarantined().is_empty());
}

/// Guards against a faulty worker that is not found among the members of its gangs, or whose failures count against
/// healthy members and jobs.
#[test]
fn observe_finds_faulty_gang_member() {
    arbtest::arbtest(|u| {
        let mut fixture = Fixture::new();
        let names = ["a", "b", "c", "d", "bad", "e", "f", "g", "h"];
        let mut rng = fastrand::Rng::with_seed(u.arbitrary()?);
        for job in 0..60 {
            let gang = fixture.gang(&names, 4, &mut rng);
            if gang.contains(&"bad") {
                fixture.fail(job, &gang);
            } else {
                fixture.succeed(job, &gang);
            }
        }
        // A healthy worker that was always in the same gangs as the faulty one is freed by its first probe.
        for worker in fixture
            .quarantined()
            .iter()
            .filter(|worker| &***worker != "bad")
        {
            fixture.succeed(100, &[worker]);
        }
        assert_eq!(fixture.quarantined(), ["bad".into()]);
        assert!(fixture.faulty_jobs().is_empty());
        Ok(())
    });
    let mut fixture = Fixture::new();
    fixture.fail(1, &["a", "bad", "b"]);
    fixture.fail(2, &["bad", "b", "c"]);
    assert!(fixture.quarantined().is_empty());
    fixture.fail(3, &["c", "d", "bad"]);
    assert_eq!(fixture.quarantined(), ["bad".into()]);
}

/// Guards against two workers that always fail together and are never distinguished.
#[test]
fn observe_quarantines_small_tie() {
    let mut fixture = Fixture::new();
    for job in 1..=5 {
        fixture.fail(job, &["bad", "good"]);
    }
    assert!(fixture.quarantined().is_empty());
    fixture.fail(6, &["bad", "good"]);
    assert_eq!(fixture.quarantined().len(), 2);
    fixture.succeed(7, &["good"]);
    assert_eq!(fixture.quarantined(), ["bad".into()]);
}

/// Guards against failures of a known worker that count against the other members of its gangs.
#[test]
fn observe_suspects_only_failed_worker() {
    let mut fixture = Fixture::new();
    for job in 1..=3 {
        let failed_worker = Some("bad".into());
        fixture.event(job, &["bad", "good"], TaskEvent::Failed { failed_worker });
    }
    assert_eq!(fixture.quarantined(), ["bad".into()]);
}

/// Guards against probes in quick succession, and against a repaired worker that is never used again.
#[test]
fn observe_spaces_probes() {
    let mut fixture = Fixture::new();
    for job in 1..=3 {
        fixture.fail(job, &["bad"]);
    }
    fixture.fail(4, &["bad"]);
    let mut intervals = Vec::new();
    for job in 10..20 {
        let before = fixture.now;
        while !fixture.is_usable("bad") {
            fixture.now += Duration::from_secs(30);
        }
        intervals.push((fixture.now - before).as_secs());
        fixture.event(job, &["bad"], TaskEvent::Started);
        assert!(!fixture.is_usable("bad"), "one probe at a time");
        fixture.fail(job, &["bad"]);
    }
    assert_eq!(
        intervals,
        [30, 60, 120, 240, 480, 960, 1920, 3600, 3600, 3600]
    );
    assert!(!may_use_worker(
        &fixture.board.blame.load(),
        "bad",
        false,
        fixture.now
    ));
    fixture.succeed(30, &["bad"]);
    assert!(fixture.quarantined().is_empty() && fixture.is_usable("bad"));
    assert!(may_use_worker(
        &fixture.board.blame.load(),
        "bad",
        false,
        fixture.now
    ));
    assert!(!may_use_worker(
        &fixture.board.blame.load(),
        "new",
        false,
        fixture.now
    ));
}

/// Guards against a healthy worker that is quarantined for failures between which its other jobs succeeded.
#[test]
fn observe_clears_worker_by_success() {
    let mut fixture = Fixture::new();
    for job in 1..=6 {
        fixture.fail(job, &["good"]);
        fixture.succeed(100 + job, &["good"]);
    }
    assert!(fixture.quarantined().is_empty());
}

/// Guards against a replacement worker that counts as proven because of its predecessor.
#[test]
fn retain_members_removes_absent_workers() {
    let mut fixture = Fixture::new();
    fixture.succeed(1, &["w"]);
    for job in 1..=3 {
        fixture.fail(job, &["bad"]);
    }
    fixture.blame.retain_members(&fixture.board, fixture.now);
    assert!(fixture.board.blame.load().proven.is_empty());
    assert_eq!(
        fixture.quarantined(),
        ["bad".into()],
        "a short absence ends no quarantine"
    );
    fixture.now += Duration::from_hours(2);
    fixture.blame.retain_members(&fixture.board, fixture.now);
    assert!(fixture.quarantined().is_empty());
}
