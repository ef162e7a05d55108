//! Record of what was sent, answered and run, with the checks of the rules.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::Result;

/// A run of a task on one life of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct RunId {
    pub(crate) worker: String,
    pub(crate) life: u64,
    pub(crate) run: u64,
}

#[derive(Debug)]
struct State {
    file: File,
    /// Runs at work, by task.
    running: HashMap<String, HashSet<RunId>>,
    /// Runs of each task that ended `done`.
    done: HashMap<String, Vec<RunId>>,
    /// Starts after a run of the same task had ended `done`.
    started_after_done: Vec<(String, RunId, RunId)>,
    starts: BTreeMap<String, u64>,
    /// Jobs of which only counts are written, because they have very many runs.
    counted: BTreeMap<String, Counts>,
    /// Ends by job and kind.
    ends: BTreeMap<(String, &'static str), u64>,
    breaks: Vec<String>,
}

/// Starts and ends of a job since the last line about them.
#[derive(Debug, Default)]
struct Counts {
    since: Duration,
    starts: u64,
    ends: u64,
}

/// Shared record of one script.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    began_at: Instant,
    state: Arc<Mutex<State>>,
}

/// Returns the job of a task.
pub(crate) fn job_of(task: &str) -> &str {
    task.split('.').next().unwrap_or(task)
}

impl Record {
    pub(crate) fn create(path: &Path) -> Result<Self> {
        let state = State {
            file: File::create(path)?,
            running: HashMap::new(),
            done: HashMap::new(),
            started_after_done: Vec::new(),
            starts: BTreeMap::new(),
            counted: BTreeMap::new(),
            ends: BTreeMap::new(),
            breaks: Vec::new(),
        };
        Ok(Self {
            began_at: Instant::now(),
            state: Arc::new(Mutex::new(state)),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, state: &mut State, text: &str) {
        let at = self.began_at.elapsed().as_secs_f64();
        // The record is for readers; the checks do not depend on it.
        let _ = writeln!(state.file, "{at:9.3} {text}");
    }

    /// Writes only counts of the runs of a job, one line a second.
    pub(crate) fn count_only(&self, job: &str) {
        self.lock().counted.insert(job.into(), Counts::default());
    }

    /// Writes the line of a start or an end, or counts it.
    fn write_run(&self, state: &mut State, job: &str, is_start: bool, text: &str) {
        let now = self.began_at.elapsed();
        let Some(counts) = state.counted.get_mut(job) else {
            return self.write(state, text);
        };
        counts.starts += u64::from(is_start);
        counts.ends += u64::from(!is_start);
        if now < counts.since + Duration::from_secs(1) {
            return;
        }
        let text = format!("job {job}: {} starts, {} ends", counts.starts, counts.ends);
        *counts = Counts {
            since: now,
            ..Counts::default()
        };
        self.write(state, &text);
    }

    /// Adds a line.
    pub(crate) fn line(&self, text: &str) {
        let mut state = self.lock();
        self.write(&mut state, text);
    }

    /// Adds a line and prints it.
    pub(crate) fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }

    /// Records that a rule was broken.
    pub(crate) fn broken(&self, text: String) {
        self.say(&format!("BROKEN {text}"));
        self.lock().breaks.push(text);
    }

    /// Records that a worker began a run; checks that no other run of the task is at work.
    pub(crate) fn started(&self, task: &str, run: &RunId) {
        let mut state = self.lock();
        let text = format!("run {task}/{} begins on {}", run.run, run.worker);
        self.write_run(&mut state, job_of(task), true, &text);
        *state.starts.entry(job_of(task).into()).or_default() += 1;
        let others = state.running.entry(task.into()).or_default();
        let other = others.iter().next().cloned();
        others.insert(run.clone());
        if let Some(other) = other {
            let text = format!(
                "TWICE: {task}/{} begins on {} while run {} is at work on {}",
                run.run, run.worker, other.run, other.worker
            );
            self.write(&mut state, &text);
            state.breaks.push(text);
        }
        let done = state.done.get(task).cloned().unwrap_or_default();
        for ended in done {
            state
                .started_after_done
                .push((task.into(), ended, run.clone()));
        }
    }

    /// Records the end of a run.
    pub(crate) fn ended(&self, task: &str, run: &RunId, how: &'static str) {
        let mut state = self.lock();
        let text = format!("run {task}/{} ends {how} on {}", run.run, run.worker);
        self.write_run(&mut state, job_of(task), false, &text);
        if let Some(runs) = state.running.get_mut(task) {
            runs.remove(run);
        }
        *state.ends.entry((job_of(task).into(), how)).or_default() += 1;
        if how == "done" {
            state.done.entry(task.into()).or_default().push(run.clone());
        }
    }

    /// Records that `lastSeen` reached the end of a run; `leased` tells whether the worker's lease has held since the end.
    pub(crate) fn noted(&self, task: &str, run: &RunId, how: &'static str, leased: bool) {
        if how != "done" || !leased {
            return;
        }
        let mut state = self.lock();
        let found = state.started_after_done.iter();
        let mut found = found.filter(|(other, ended, _)| other == task && ended == run);
        let Some((_, _, later)) = found.next().cloned() else {
            return;
        };
        let text = format!(
            "TWICE: {task}/{} began on {} after run {} had ended done on {}, and that end was taken note of",
            later.run, later.worker, run.run, run.worker
        );
        self.write(&mut state, &text);
        state.breaks.push(text);
    }

    /// Returns the number of starts of the tasks of a job.
    pub(crate) fn starts(&self, job: &str) -> u64 {
        self.lock().starts.get(job).copied().unwrap_or(0)
    }

    /// Returns the workers that are at work on a job.
    pub(crate) fn workers_of(&self, job: &str) -> Vec<String> {
        let state = self.lock();
        let tasks = state.running.iter();
        let tasks = tasks.filter(|(task, _)| job_of(task) == job);
        let runs = tasks.flat_map(|(_, runs)| runs);
        runs.map(|run| run.worker.clone()).collect()
    }

    /// Returns how many runs of a job ended in a way.
    pub(crate) fn ends(&self, job: &str, how: &'static str) -> u64 {
        let state = self.lock();
        state.ends.get(&(job.into(), how)).copied().unwrap_or(0)
    }

    /// Returns the breaks found so far.
    pub(crate) fn breaks(&self) -> Vec<String> {
        self.lock().breaks.clone()
    }
}
