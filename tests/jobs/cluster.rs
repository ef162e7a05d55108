//! A deployment and the calls on jobs.

use std::time::{Duration, Instant};

use harness::fixtures::{TOKEN, one_region};
use harness::{Caller, Deployment, Programs, Result, Submission};
use reqwest::{Method, Response};
use serde_json::{Value, json};

/// How long a job of a test may take, with a change of the owner.
pub(crate) const LIMIT: Duration = Duration::from_secs(40);

pub(crate) fn submission(body: Value) -> Submission {
    Submission {
        service: "workshop".into(),
        account: "faro".into(),
        token: TOKEN.into(),
        timeout_ms: Some(60_000),
        body,
        ..Submission::default()
    }
}

pub(crate) fn gang(body: Value) -> Submission {
    Submission {
        shape: Some(json!({"tasks": 16, "accelerators": 1, "adjacency": "rack"})),
        ..submission(body)
    }
}

pub(crate) struct Cluster {
    pub(crate) deployment: Deployment,
    pub(crate) caller: Caller,
}

impl Cluster {
    pub(crate) async fn start(entries: usize, agents: usize) -> Result<Self> {
        let plan = one_region(entries, agents);
        Ok(Self {
            deployment: Deployment::start(&plan, &Programs::beside_current()?).await?,
            caller: Caller::new()?,
        })
    }

    pub(crate) fn url(&self, entry: usize) -> &str {
        &self.deployment.entry_urls[entry]
    }

    pub(crate) async fn submit(&self, entry: usize, submission: &Submission) -> Result<Response> {
        let url = format!("{}/v1/services/workshop/jobs", self.url(entry));
        Ok(self.caller.request(&url, submission).send().await?)
    }

    /// Submits a job that must be accepted and returns its id.
    pub(crate) async fn accept(&self, entry: usize, submission: &Submission) -> Result<String> {
        let res = self.submit(entry, submission).await?;
        assert_eq!(res.status(), 202);
        let location = res.headers()["location"].to_str()?.to_owned();
        let id = res.json::<Value>().await?["id"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        assert_eq!(location, format!("/v1/jobs/{id}"));
        Ok(id)
    }

    pub(crate) async fn call_as(
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

    pub(crate) async fn state(&self, entry: usize, id: &str) -> Result<Value> {
        let res = self.call_as("faro", entry, Method::GET, id).await?;
        Ok(res.json().await?)
    }

    pub(crate) async fn wait_for(&self, entry: usize, id: &str, states: &[&str]) -> Result<Value> {
        let started = Instant::now();
        loop {
            let body = self.state(entry, id).await?;
            if states.contains(&body["state"].as_str().unwrap_or_default()) {
                return Ok(body);
            }
            if started.elapsed() > LIMIT {
                return Err(format!("job {id} is not {states:?}: {body}").into());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    pub(crate) async fn result(&self, entry: usize, id: &str) -> Result<Response> {
        self.call_as("faro", entry, Method::GET, &format!("{id}/result"))
            .await
    }

    pub(crate) async fn store_faults(&self, faults: Value) -> Result<()> {
        let url = format!("{}/control/faults", self.deployment.store_url);
        self.deployment.control(&url, &faults).await
    }

    /// Returns how often the endpoints ran a job.
    pub(crate) async fn runs(&self, id: &str) -> Result<u64> {
        let request = id.rsplit('.').next().unwrap_or_default();
        let mut runs = 0;
        for url in &self.deployment.endpoint_urls {
            let page = self
                .deployment
                .read_control(&format!("{url}/control/runs"))
                .await?;
            runs += page["runs"][request].as_u64().unwrap_or_default();
        }
        Ok(runs)
    }

    /// Waits until a job runs at its endpoint.
    pub(crate) async fn wait_until_run(&self, entry: usize, id: &str) -> Result<()> {
        self.wait_for(entry, id, &["running"]).await?;
        let started = Instant::now();
        while self.runs(id).await? == 0 {
            assert!(started.elapsed() < LIMIT, "job {id} does not run");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Returns the number of the entry that owns the cell, and that of the other one.
    pub(crate) async fn owner_and_other(&self) -> Result<(usize, usize)> {
        let status = self.deployment.status(self.url(0)).await?;
        let owner = status["cells"][0]["owner"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        let owner: usize = owner.trim_start_matches("entry-").parse()?;
        Ok((owner, 1 - owner))
    }

    pub(crate) async fn store_writes(&self) -> Result<(u64, u64)> {
        let url = format!("{}/control/counts", self.deployment.store_url);
        let counts = self.deployment.read_control(&url).await?;
        let count = |name: &str| counts[name].as_u64().unwrap_or_default();
        Ok((count("get"), count("put")))
    }
}
