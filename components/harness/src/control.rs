//! Faults and records of the stand-in platform, and the state of a deployment.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde_json::{Value, json};

use crate::audit::Task;
use crate::deployment::Deployment;
use crate::{Error, Result};

/// How often a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The owner of a cell as an entry sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerView {
    /// The entry that owns the cell.
    pub owner: Box<str>,
    /// Its epoch.
    pub epoch: u64,
}

/// Checks a condition until it holds, for at most `limit`; returns the time it took.
pub async fn wait_until<F>(
    what: &str,
    limit: Duration,
    mut holds: impl FnMut() -> F,
) -> Result<Duration>
where
    F: Future<Output = bool>,
{
    let started = Instant::now();
    while !holds().await {
        if started.elapsed() > limit {
            return Err(format!("{what}: not within {limit:?}").into());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(started.elapsed())
}

impl Deployment {
    /// Sets the faults of the store.
    pub async fn fault_store(&self, faults: Value) -> Result<()> {
        let url = format!("{}/control/faults", self.store_url);
        self.control(&url, &faults).await
    }

    /// Sets the faults of a worker.
    pub async fn fault_worker(&self, worker: &str, faults: Value) -> Result<()> {
        let url = format!("{}/control/workers/{worker}", self.workers_url);
        self.control(&url, &faults).await
    }

    /// Sets the faults of an endpoint.
    pub async fn fault_endpoint(&self, number: usize, faults: Value) -> Result<()> {
        let url = format!("{}/control/faults", self.endpoint_urls[number]);
        self.control(&url, &faults).await
    }

    /// Ends all faults of the store.
    pub async fn heal_store(&self) -> Result<()> {
        self.fault_store(json!({})).await
    }

    /// Returns all tasks that workers ever started.
    pub async fn tasks(&self) -> Result<Vec<Task>> {
        let url = format!("{}/control/tasks", self.workers_url);
        Ok(serde_json::from_value(self.read_control(&url).await?)?)
    }

    /// Returns the tasks that run.
    pub async fn running_tasks(&self) -> Result<Vec<Task>> {
        let mut tasks = self.tasks().await?;
        tasks.retain(Task::is_running);
        Ok(tasks)
    }

    /// Returns how often each request id started to run at any endpoint.
    pub async fn runs(&self) -> Result<IndexMap<Box<str>, u64>> {
        let mut sum: IndexMap<Box<str>, u64> = IndexMap::new();
        for number in 0..self.endpoint_urls.len() {
            for (id, count) in self.runs_at(number).await? {
                *sum.entry(id).or_default() += count;
            }
        }
        Ok(sum)
    }

    /// Returns how often each request id started to run at one endpoint.
    pub async fn runs_at(&self, number: usize) -> Result<IndexMap<Box<str>, u64>> {
        let url = format!("{}/control/runs", self.endpoint_urls[number]);
        let page = self.read_control(&url).await?;
        Ok(serde_json::from_value(page["runs"].clone())?)
    }

    /// Returns the owner of the first cell as an entry sees it.
    pub async fn owner(&self, entry_url: &str) -> Result<OwnerView> {
        let status = self.status(entry_url).await?;
        let cell = &status["cells"][0];
        let owner = cell["owner"].as_str().ok_or("no owner is known")?;
        let epoch = cell["epoch"].as_u64().ok_or("no epoch is known")?;
        Ok(OwnerView {
            owner: owner.into(),
            epoch,
        })
    }

    /// Waits until an entry sees an owner with a higher epoch.
    pub async fn wait_for_epoch(
        &self,
        entry_url: &str,
        above: u64,
        limit: Duration,
    ) -> Result<OwnerView> {
        wait_until("a new owner", limit, async || {
            let owner = self.owner(entry_url).await;
            owner.is_ok_and(|owner| owner.epoch > above)
        })
        .await?;
        self.owner(entry_url).await
    }

    /// Waits until exactly `count` tasks run.
    pub async fn wait_for_tasks(&self, count: usize, limit: Duration) -> Result<Duration> {
        let what = format!("{count} running tasks");
        wait_until(&what, limit, async || {
            let tasks = self.running_tasks().await;
            tasks.is_ok_and(|tasks| tasks.len() == count)
        })
        .await
    }

    /// Returns the base URL of an entry by its id.
    pub fn entry_url(&self, id: &str) -> Result<&str> {
        let number = self.entries.get_index_of(id);
        let url = number.and_then(|number| self.entry_urls.get(number));
        url.map(|url| &**url)
            .ok_or_else(|| Error::from(format!("no entry {id}")))
    }

    /// Kills an entry or agent.
    pub fn kill(&mut self, name: &str) -> Result<()> {
        self.process_mut(name)?.kill()
    }

    /// Sends a signal to an entry or agent.
    pub fn signal(&mut self, name: &str, signal: &str) -> Result<()> {
        self.process_mut(name)?.signal(signal)
    }

    /// Returns an entry or agent by its id.
    pub fn process_mut(&mut self, name: &str) -> Result<&mut crate::process::Process> {
        let process = match self.entries.get_mut(name) {
            Some(entry) => Some(entry),
            None => self.agents.get_mut(name),
        };
        process.ok_or_else(|| format!("no process {name}").into())
    }
}
