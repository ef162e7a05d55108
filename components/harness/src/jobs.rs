//! A deployment with one region, and operations on its asynchronous jobs.

use std::time::{Duration, Instant};

use reqwest::{Method, Response};
use serde_json::{Value, json};

use crate::fixtures::{TOKEN, one_region};
use crate::{Caller, Deployment, Programs, Result, Submission};

/// Maximum duration of a job in a test, including a change of the cell owner.
pub const JOB_TIMEOUT: Duration = Duration::from_secs(40);

/// Returns a submission of the client account `faro` to the service `workshop`.
pub fn submission(body: Value) -> Submission {
    Submission {
        service: "workshop".into(),
        account: "faro".into(),
        token: TOKEN.into(),
        timeout_ms: Some(60_000),
        body,
        ..Submission::default()
    }
}

/// Returns a submission with a gang of 16 tasks, which occupies two workers completely.
pub fn gang(body: Value) -> Submission {
    Submission {
        shape: Some(json!({"tasks": 16, "accelerators": 1, "adjacency": "rack"})),
        ..submission(body)
    }
}

/// A deployment with one region and a caller.
#[derive(Debug)]
pub struct Cluster {
    /// The processes of the deployment.
    pub deployment: Deployment,
    /// The caller that submits jobs.
    pub caller: Caller,
}

impl Cluster {
    /// Starts a deployment with one region.
    pub async fn start(entries: usize, agents: usize) -> Result<Self> {
        let plan = one_region(entries, agents);
        Ok(Self {
            deployment: Deployment::start(&plan, &Programs::locate()?).await?,
            caller: Caller::new()?,
        })
    }

    /// Returns the base URL of an entry.
    pub fn url(&self, entry: usize) -> &str {
        &self.deployment.entry_urls[entry]
    }

    /// Submits a job.
    pub async fn submit(&self, entry: usize, submission: &Submission) -> Result<Response> {
        let url = format!("{}/v1/services/workshop/jobs", self.url(entry));
        Ok(self.caller.request(&url, submission).send().await?)
    }

    /// Submits a job and returns its id; fails if the job is not accepted.
    pub async fn submit_accepted(&self, entry: usize, submission: &Submission) -> Result<String> {
        let res = self.submit(entry, submission).await?;
        let status = res.status();
        let location = res.headers().get("location").cloned();
        let id = res.json::<Value>().await?["id"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        if status == 202 && location.is_some_and(|at| at == format!("/v1/jobs/{id}")) {
            return Ok(id);
        }
        Err(format!("job was not accepted: status {status}, id {id:?}").into())
    }

    /// Sends a request for a job as a client account.
    pub async fn call_as(
        &self,
        account: &str,
        entry: usize,
        method: Method,
        path: &str,
    ) -> Result<Response> {
        let url = format!("{}/v1/jobs/{path}", self.url(entry));
        let req = self.caller.http().request(method, url);
        let req = req.header("authorization", format!("Bearer {account}:{TOKEN}"));
        Ok(req.send().await?)
    }

    /// Returns the state of a job as JSON.
    pub async fn state(&self, entry: usize, id: &str) -> Result<Value> {
        let res = self.call_as("faro", entry, Method::GET, id).await?;
        Ok(res.json().await?)
    }

    /// Waits until a job is in one of the states, and returns its state as JSON.
    pub async fn wait_for(&self, entry: usize, id: &str, states: &[&str]) -> Result<Value> {
        let started = Instant::now();
        loop {
            let body = self.state(entry, id).await?;
            if states.contains(&body["state"].as_str().unwrap_or_default()) {
                return Ok(body);
            }
            if started.elapsed() > JOB_TIMEOUT {
                return Err(format!("job {id} did not reach any of {states:?}: {body}").into());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Requests the result of a job.
    pub async fn result(&self, entry: usize, id: &str) -> Result<Response> {
        self.call_as("faro", entry, Method::GET, &format!("{id}/result"))
            .await
    }

    /// Sets the faults of the store.
    pub async fn set_store_faults(&self, faults: &Value) -> Result<()> {
        let url = format!("{}/control/faults", self.deployment.store_url);
        self.deployment.post_control(&url, faults).await
    }

    /// Returns the number of runs of a job at all endpoints.
    pub async fn runs(&self, id: &str) -> Result<u64> {
        let request = id.rsplit('.').next().unwrap_or_default();
        let mut runs = 0;
        for url in &self.deployment.endpoint_urls {
            let run_counts = self
                .deployment
                .read_control(&format!("{url}/control/runs"))
                .await?;
            runs += run_counts["runs"][request].as_u64().unwrap_or_default();
        }
        Ok(runs)
    }

    /// Waits until an endpoint has started to run a job.
    pub async fn wait_until_run(&self, entry: usize, id: &str) -> Result<()> {
        self.wait_for(entry, id, &["running"]).await?;
        let started = Instant::now();
        while self.runs(id).await? == 0 {
            if started.elapsed() > JOB_TIMEOUT {
                return Err(format!("no endpoint started job {id}").into());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Returns the index of the entry that owns the cell, and the index of the other entry.
    pub async fn owner_and_other(&self) -> Result<(usize, usize)> {
        let status = self.deployment.status(self.url(0)).await?;
        let owner = status["cells"][0]["owner"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        let owner: usize = owner.trim_start_matches("entry-").parse()?;
        Ok((owner, 1 - owner))
    }

    /// Returns the number of `get` and `put` calls that the store received.
    pub async fn store_calls(&self) -> Result<(u64, u64)> {
        let url = format!("{}/control/counts", self.deployment.store_url);
        let counts = self.deployment.read_control(&url).await?;
        let count = |name: &str| counts[name].as_u64().unwrap_or_default();
        Ok((count("get"), count("put")))
    }
}
