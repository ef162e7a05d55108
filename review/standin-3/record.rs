//! What was sent, answered and run, with times.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A run of a task on a minion.
#[derive(Clone)]
pub struct RunRecord {
    pub minion: String,
    pub task: String,
    pub run: u64,
    pub started_at: Duration,
    pub ended: Option<(Duration, &'static str)>,
}

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
    runs: Arc<Mutex<Vec<RunRecord>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            began: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
            runs: Arc::default(),
        })
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.now().as_secs_f64());
    }

    pub fn start(&self, minion: &str, task: &str, run: u64) {
        self.line(&format!("{minion} starts {task}, run {run}"));
        self.runs.lock().unwrap().push(RunRecord {
            minion: minion.into(),
            task: task.into(),
            run,
            started_at: self.now(),
            ended: None,
        });
    }

    pub fn end(&self, minion: &str, task: &str, run: u64, how: &'static str) {
        self.line(&format!("{minion} ends {task}, run {run}: {how}"));
        let now = self.now();
        let mut runs = self.runs.lock().unwrap();
        let found = runs.iter_mut().rev();
        let mut found = found.filter(|r| r.minion == minion && r.task == task && r.run == run);
        if let Some(found) = found.find(|r| r.ended.is_none()) {
            found.ended = Some((now, how));
        }
    }

    /// Returns the runs of the tasks of a job.
    pub fn runs_of(&self, job: &str) -> Vec<RunRecord> {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|run| run.task.starts_with(job)).cloned().collect()
    }
}
