//! Tests of the blame controller.

use std::sync::Arc;
use std::time::{Duration, Instant};

use board::{Agent, Board, Membership};
use model::{JobId, Place, Resources, Worker, WorkerId};
use policy::blame::{BlameController, Observation, TaskEvent, may_use_worker};

struct Scene {
    board: Board,
    blame: BlameController,
    now: Instant,
}

impl Scene {
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
        self.event(job, workers, TaskEvent::Failed { culprit: None });
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

    fn condemned(&self) -> Vec<JobId> {
        self.board.blame.load().condemned.keys().copied().collect()
    }

    fn join(&mut self, names: &[&str]) {
        let worker = |name: &&str| Worker {
            id: (*name).into(),
            agent: "agent".into(),
            place: Place {
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
            heard: self.now,
            config_revision: 0,
        };
        let agents = [("agent".into(), Arc::new(agent))].into_iter().collect();
        self.board.membership.publish(Membership {
            agents,
            ..Membership::default()
        });
    }

    /// Draws a gang that avoids quarantined workers, as placement does.
    fn gang<'n>(&self, names: &[&'n str], size: usize, rng: &mut fastrand::Rng) -> Vec<&'n str> {
        let mut usable: Vec<_> = names
            .iter()
            .copied()
            .filter(|name| self.due(name))
            .collect();
        rng.shuffle(&mut usable);
        usable.truncate(size);
        usable
    }

    fn due(&self, worker: &str) -> bool {
        may_use_worker(&self.board.blame.load(), worker, true, self.now)
    }
}

/// Guards against a job that is tried without end, and against one condemned by a single bad worker.
#[test]
fn observe_condemns_job_on_three_workers() {
    let mut scene = Scene::new();
    for worker in ["a", "a", "a", "b"] {
        scene.fail(1, &[worker]);
    }
    assert!(scene.condemned().is_empty());
    scene.fail(1, &["c"]);
    assert_eq!(scene.condemned(), [1]);
    for _ in 0..6 {
        scene.fail(2, &["a", "b", "c", "d"]);
    }
    assert_eq!(scene.condemned(), [1, 2], "overlapping gangs end too");
    assert!(scene.quarantined().is_empty());
}

/// Guards against a worker that goes on to fail every job, and against jobs charged for its failures.
#[test]
fn observe_quarantines_worker_of_three_jobs() {
    let mut scene = Scene::new();
    scene.fail(1, &["bad"]);
    scene.fail(1, &["bad"]);
    scene.fail(2, &["bad"]);
    assert!(scene.quarantined().is_empty());
    scene.fail(3, &["bad"]);
    assert_eq!(scene.quarantined(), ["bad".into()]);
    scene.fail(1, &["a"]);
    scene.fail(1, &["b"]);
    assert!(
        scene.condemned().is_empty(),
        "the failures on the bad worker do not count"
    );
    scene.fail(1, &["c"]);
    assert_eq!(scene.condemned(), [1]);
}

/// Guards against jobs that are charged again for a bad worker once it is repaired.
#[test]
fn observe_keeps_jobs_excused_after_probe() {
    let mut scene = Scene::new();
    for job in 1..=3 {
        scene.fail(job, &["bad"]);
    }
    scene.succeed(4, &["bad"]);
    scene.fail(1, &["a"]);
    scene.fail(1, &["b"]);
    assert!(scene.condemned().is_empty());
}

/// Guards against good workers lost to a burst of jobs that fail everywhere, and against such jobs never ending.
#[test]
fn observe_frees_workers_of_condemned_jobs() {
    arbtest::arbtest(|u| {
        let mut scene = Scene::new();
        let names = ["a", "b", "c", "d", "e", "f"];
        if u.arbitrary()? {
            scene.join(&names);
        }
        let mut open: Vec<JobId> = (1..=u.int_in_range(3..=8)?).collect();
        let mut rng = fastrand::Rng::with_seed(u.arbitrary()?);
        for _ in 0..200 {
            let Some(job) = rng.choice(&open).copied() else {
                break;
            };
            scene.now += Duration::from_secs(30);
            let usable = scene.gang(&names, 2, &mut rng);
            scene.fail(job, &usable);
            open.retain(|job| !scene.condemned().contains(job));
        }
        assert!(open.is_empty() && scene.quarantined().is_empty());
        Ok(())
    });
}

/// Guards against a burst of jobs that fail everywhere and leaves no worker for others.
#[test]
fn observe_quarantines_at_most_half() {
    let mut scene = Scene::new();
    let names = ["a", "b", "c", "d"];
    scene.join(&names);
    for worker in names {
        for job in 1..=8 {
            scene.fail(job, &[worker]);
            assert!(scene.quarantined().len() <= 2);
        }
    }
}

/// Guards against jobs that go on without end because the workers which they put in quarantine excuse them.
#[test]
fn observe_ends_excused_jobs() {
    let mut scene = Scene::new();
    for worker in ["a", "b", "c", "d", "e", "f"].repeat(2) {
        for job in 1..=8 {
            scene.fail(job, &[worker]);
        }
    }
    assert_eq!(scene.condemned().len(), 8);
    assert!(scene.quarantined().is_empty());
}

/// Guards against one bad worker that stays hidden in gangs or takes good members and jobs down with it.
#[test]
fn observe_finds_bad_gang_member() {
    arbtest::arbtest(|u| {
        let mut scene = Scene::new();
        let names = ["a", "b", "c", "d", "bad", "e", "f", "g", "h"];
        let mut rng = fastrand::Rng::with_seed(u.arbitrary()?);
        for job in 0..60 {
            let gang = scene.gang(&names, 4, &mut rng);
            if gang.contains(&"bad") {
                scene.fail(job, &gang);
            } else {
                scene.succeed(job, &gang);
            }
        }
        // A good worker that was drawn together with the bad one each time is freed by its first probe.
        for worker in scene
            .quarantined()
            .iter()
            .filter(|worker| &***worker != "bad")
        {
            scene.succeed(100, &[worker]);
        }
        assert_eq!(scene.quarantined(), ["bad".into()]);
        assert!(scene.condemned().is_empty());
        Ok(())
    });
    let mut scene = Scene::new();
    scene.fail(1, &["a", "bad", "b"]);
    scene.fail(2, &["bad", "b", "c"]);
    assert!(scene.quarantined().is_empty());
    scene.fail(3, &["c", "d", "bad"]);
    assert_eq!(scene.quarantined(), ["bad".into()]);
}

/// Guards against two workers that always fail together and are never told apart.
#[test]
fn observe_quarantines_small_tie() {
    let mut scene = Scene::new();
    for job in 1..=5 {
        scene.fail(job, &["bad", "good"]);
    }
    assert!(scene.quarantined().is_empty());
    scene.fail(6, &["bad", "good"]);
    assert_eq!(scene.quarantined().len(), 2);
    scene.succeed(7, &["good"]);
    assert_eq!(scene.quarantined(), ["bad".into()]);
}

/// Guards against a named culprit whose failures are held against the other members.
#[test]
fn observe_charges_named_culprit() {
    let mut scene = Scene::new();
    for job in 1..=3 {
        let culprit = Some("bad".into());
        scene.event(job, &["bad", "good"], TaskEvent::Failed { culprit });
    }
    assert_eq!(scene.quarantined(), ["bad".into()]);
}

/// Guards against probes in quick succession, and against a repaired worker that never returns.
#[test]
fn observe_spaces_probes() {
    let mut scene = Scene::new();
    for job in 1..=3 {
        scene.fail(job, &["bad"]);
    }
    scene.fail(4, &["bad"]);
    let mut spacings = Vec::new();
    for job in 10..20 {
        let before = scene.now;
        while !scene.due("bad") {
            scene.now += Duration::from_secs(30);
        }
        spacings.push((scene.now - before).as_secs());
        scene.event(job, &["bad"], TaskEvent::Started);
        assert!(!scene.due("bad"), "one probe at a time");
        scene.fail(job, &["bad"]);
    }
    assert_eq!(
        spacings,
        [30, 60, 120, 240, 480, 960, 1920, 3600, 3600, 3600]
    );
    assert!(!may_use_worker(
        &scene.board.blame.load(),
        "bad",
        false,
        scene.now
    ));
    scene.succeed(30, &["bad"]);
    assert!(scene.quarantined().is_empty() && scene.due("bad"));
    assert!(may_use_worker(
        &scene.board.blame.load(),
        "bad",
        false,
        scene.now
    ));
    assert!(!may_use_worker(
        &scene.board.blame.load(),
        "new",
        false,
        scene.now
    ));
}

/// Guards against a healthy worker that is quarantined by failures far apart in its work.
#[test]
fn observe_clears_worker_by_success() {
    let mut scene = Scene::new();
    for job in 1..=6 {
        scene.fail(job, &["good"]);
        scene.succeed(100 + job, &["good"]);
    }
    assert!(scene.quarantined().is_empty());
}

/// Guards against a replaced worker that inherits the trust in its predecessor.
#[test]
fn retain_members_forgets_absent_workers() {
    let mut scene = Scene::new();
    scene.succeed(1, &["w"]);
    for job in 1..=3 {
        scene.fail(job, &["bad"]);
    }
    scene.blame.retain_members(&scene.board, scene.now);
    assert!(scene.board.blame.load().proven.is_empty());
    assert_eq!(
        scene.quarantined(),
        ["bad".into()],
        "a short absence ends no quarantine"
    );
    scene.now += Duration::from_hours(2);
    scene.blame.retain_members(&scene.board, scene.now);
    assert!(scene.quarantined().is_empty());
}
