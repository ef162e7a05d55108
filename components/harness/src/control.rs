//! Control of the stand-in platform (faults, records of runs and tasks) and of the processes of a deployment.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde_json::{Value, json};

use crate::audit::Task;
use crate::deployment::Deployment;
use crate::{Error, Result};

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The owner of a cell as reported by an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerView {
    /// The id of the entry that owns the cell.
    pub owner: Box<str>,
    /// The epoch of the owner.
    pub epoch: u64,
}

/// Polls a condition until it holds and returns the elapsed time; fails after a timeout.
pub async fn wait_until<F>(
    description: &str,
    timeout: Duration,
    mut condition: impl FnMut() -> F,
) -> Result<Duration>
where
    F: Future<Output = bool>,
{
    let started = Instant::now();
    while !condition().await {
        if started.elapsed() > timeout {
            return Err(format!("{description}: not within {timeout:?}").into());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(started.elapsed())
}

impl Deployment {
    /// Sets the faults of the store.
    pub async fn set_store_faults(&self, faults: Value) -> Result<()> {
        let url = format!("{}/control/faults", self.store_url);
        self.post_control(&url, &faults).await
    }

    /// Sets the faults of a worker.
    pub async fn set_worker_faults(&self, worker: &str, faults: Value) -> Result<()> {
        let url = format!("{}/control/workers/{worker}", self.workers_url);
        self.post_control(&url, &faults).await
    }

    /// Sets the faults of an endpoint.
    pub async fn set_endpoint_faults(&self, number: usize, faults: Value) -> Result<()> {
        let url = format!("{}/control/faults", self.endpoint_urls[number]);
        self.post_control(&url, &faults).await
    }

    /// Clears all faults of the store.
    pub async fn clear_store_faults(&self) -> Result<()> {
        self.set_store_faults(json!({})).await
    }

    /// Returns all tasks that workers have started, including those that have ended.
    pub async fn tasks(&self) -> Result<Vec<Task>> {
        let url = format!("{}/control/tasks", self.workers_url);
        Ok(serde_json::from_value(self.read_control(&url).await?)?)
    }

    /// Returns the running tasks.
    pub async fn running_tasks(&self) -> Result<Vec<Task>> {
        let mut tasks = self.tasks().await?;
        tasks.retain(Task::is_running);
        Ok(tasks)
    }

    /// Returns the number of runs started for each request id at all endpoints.
    pub async fn runs(&self) -> Result<IndexMap<Box<str>, u64>> {
        let mut total: IndexMap<Box<str>, u64> = IndexMap::new();
        for number in 0..self.endpoint_urls.len() {
            for (id, count) in self.runs_at(number).await? {
                *total.entry(id).or_default() += count;
            }
        }
        Ok(total)
    }

    /// Returns the number of runs started for each request id at one endpoint.
    pub async fn runs_at(&self, number: usize) -> Result<IndexMap<Box<str>, u64>> {
        let url = format!("{}/control/runs", self.endpoint_urls[number]);
        let response = self.read_control(&url).await?;
        Ok(serde_json::from_value(response["runs"].clone())?)
    }

    /// Returns the owner of the first cell as reported by an entry.
    pub async fn owner(&self, entry_url: &str) -> Result<OwnerView> {
        let status = self.status(entry_url).await?;
        let cell = &status["cells"][0];
        let owner = cell["owner"]
            .as_str()
            .ok_or("the entry reports no cell owner")?;
        let epoch = cell["epoch"]
            .as_u64()
            .ok_or("the entry reports no owner epoch")?;
        Ok(OwnerView {
            owner: owner.into(),
            epoch,
        })
    }

    /// Waits until an entry reports an owner with an epoch above `above`.
    pub async fn wait_for_epoch(
        &self,
        entry_url: &str,
        above: u64,
        timeout: Duration,
    ) -> Result<OwnerView> {
        wait_until("a new owner", timeout, async || {
            let owner = self.owner(entry_url).await;
            owner.is_ok_and(|owner| owner.epoch > above)
        })
        .await?;
        self.owner(entry_url).await
    }

    /// Waits until exactly `count` tasks are running.
    pub async fn wait_for_tasks(&self, count: usize, timeout: Duration) -> Result<Duration> {
        let description = format!("{count} running tasks");
        wait_until(&description, timeout, async || {
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
