//! Asynchronous jobs through separate processes.

use std::time::{Duration, Instant};

use harness::fixtures::{TOKEN, one_region};
use harness::{Caller, Deployment, Programs, Result, Submission};
use reqwest::{Method, Response};
use serde_json::{Value, json};

/// How long a job of a test may take, with a change of the owner.
const LIMIT: Duration = Duration::from_secs(40);

fn submission(body: Value) -> Submission {
    Submission {
        service: "workshop".into(),
        account: "faro".into(),
        token: TOKEN.into(),
        timeout_ms: Some(60_000),
        body,
        ..Submission::default()
    }
}

fn gang(body: Value) -> Submission {
    Submission {
        shape: Some(json!({"tasks": 16, "accelerators": 1, "adjacency": "rack"})),
        ..submission(body)
    }
}

struct Cluster {
    deployment: Deployment,
    caller: Caller,
}

impl Cluster {
    async fn start(entries: usize, agents: usize) -> Result<Self> {
        let plan = one_region(entries, agents);
        Ok(Self {
            deployment: Deployment::start(&plan, &Programs::beside_current()?).await?,
            caller: Caller::new()?,
        })
    }

    fn url(&self, entry: usize) -> &str {
        &self.deployment.entry_urls[entry]
    }

    async fn submit(&self, entry: usize, submission: &Submission) -> Result<Response> {
        let url = format!("{}/v1/services/workshop/jobs", self.url(entry));
        Ok(self.caller.request(&url, submission).send().await?)
    }

    /// Submits a job that must be accepted and returns its id.
    async fn accept(&self, entry: usize, submission: &Submission) -> Result<String> {
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

    async fn call_as(
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

    async fn state(&self, entry: usize, id: &str) -> Result<Value> {
        let res = self.call_as("faro", entry, Method::GET, id).await?;
        Ok(res.json().await?)
    }

    async fn wait_for(&self, entry: usize, id: &str, states: &[&str]) -> Result<Value> {
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

    async fn result(&self, entry: usize, id: &str) -> Result<Response> {
        self.call_as("faro", entry, Method::GET, &format!("{id}/result"))
            .await
    }

    async fn store_faults(&self, faults: Value) -> Result<()> {
        let url = format!("{}/control/faults", self.deployment.store_url);
        self.deployment.control(&url, &faults).await
    }

    /// Returns how often the endpoints ran a job.
    async fn runs(&self, id: &str) -> Result<u64> {
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
    async fn wait_until_run(&self, entry: usize, id: &str) -> Result<()> {
        self.wait_for(entry, id, &["running"]).await?;
        let started = Instant::now();
        while self.runs(id).await? == 0 {
            assert!(started.elapsed() < LIMIT, "job {id} does not run");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Returns the number of the entry that owns the cell, and that of the other one.
    async fn owner_and_other(&self) -> Result<(usize, usize)> {
        let status = self.deployment.status(self.url(0)).await?;
        let owner = status["cells"][0]["owner"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        let owner: usize = owner.trim_start_matches("entry-").parse()?;
        Ok((owner, 1 - owner))
    }

    async fn store_writes(&self) -> Result<(u64, u64)> {
        let url = format!("{}/control/counts", self.deployment.store_url);
        let counts = self.deployment.read_control(&url).await?;
        let count = |name: &str| counts[name].as_u64().unwrap_or_default();
        Ok((count("get"), count("put")))
    }
}

/// Guards against a break between submission and result, without and with a gang, and against unbounded store calls.
#[tokio::test(flavor = "multi_thread")]
async fn submit_ends_with_whole_answer() -> Result<()> {
    let cluster = Cluster::start(1, 3).await?;
    for job in [
        submission(json!({"run_ms": 100})),
        gang(json!({"run_ms": 100})),
    ] {
        let before = cluster.store_writes().await?;
        let id = cluster.accept(0, &job).await?;
        let early = cluster.result(0, &id).await?;
        assert_eq!(early.status(), 425);
        tokio::time::sleep(Duration::from_millis(1500)).await;
        let after = cluster.store_writes().await?;
        let body = cluster.wait_for(0, &id, &["answered", "refused"]).await?;
        assert_eq!(
            (&body["verdict"], &body["attempt"]),
            (&json!("ran"), &json!(1)),
            "{body}"
        );
        let result = cluster.result(0, &id).await?;
        assert_eq!(
            (
                result.status().as_u16(),
                result.headers()["limpethook-verdict"].to_str()?
            ),
            (200, "ran")
        );
        let echo: Value = result.json().await?;
        assert_eq!(echo["request"], id.rsplit('.').next().unwrap_or_default());
        let calls = (after.0 - before.0, after.1 - before.1);
        println!("store calls of one job: {} get, {} put", calls.0, calls.1);
        assert!(calls.0 <= 6 && calls.1 <= 4, "{calls:?}");
    }
    Ok(())
}

/// Guards against an answer over one value of the store that is cut, and against a body that is too large.
#[tokio::test(flavor = "multi_thread")]
async fn submit_stores_large_answer_in_chunks() -> Result<()> {
    let cluster = Cluster::start(1, 1).await?;
    let id = cluster
        .accept(0, &submission(json!({"answer_bytes": 2_500_000})))
        .await?;
    cluster.wait_for(0, &id, &["answered"]).await?;
    let echo: Value = cluster.result(0, &id).await?.json().await?;
    assert_eq!(echo["filler"].as_str().map(str::len), Some(2_500_000));
    // A body over 64 KB leaves the owner's memory while the job waits.
    let body = json!("x".repeat(800_000));
    let heavy = cluster.accept(0, &submission(body.clone())).await?;
    cluster.wait_for(0, &heavy, &["answered"]).await?;
    let echo: Value = cluster.result(0, &heavy).await?.json().await?;
    let digest = blake3::hash(body.to_string().as_bytes()).to_hex();
    assert_eq!(echo["digest"], digest.as_str());
    let large = submission(json!("x".repeat(900_001)));
    let res = cluster.submit(0, &large).await?;
    assert_eq!(res.status(), 413);
    Ok(())
}

/// Guards against an accepted job without a record, and against a wrong verdict, while the store is down.
#[tokio::test(flavor = "multi_thread")]
async fn submit_refuses_while_store_is_down() -> Result<()> {
    let cluster = Cluster::start(1, 1).await?;
    cluster.store_faults(json!({"outage": "refuse"})).await?;
    let res = cluster.submit(0, &submission(json!({}))).await?;
    assert_eq!(res.status(), 503);
    assert!(res.headers().contains_key("retry-after"));
    let body: Value = res.json().await?;
    assert_eq!(body["error"]["verdict"], "not_run");
    let sync = cluster
        .caller
        .submit(cluster.url(0), &submission(json!({})))
        .await;
    assert!(sync.is_answered(), "the synchronous path goes on: {sync:?}");
    Ok(())
}

/// Guards against a second job after a lost answer of the store and after a repeated submission.
#[tokio::test(flavor = "multi_thread")]
async fn submit_survives_lost_answer_and_repetition() -> Result<()> {
    let cluster = Cluster::start(2, 1).await?;
    let keyed = Submission {
        idempotency_key: Some("k-1".into()),
        ..submission(json!({"run_ms": 50}))
    };
    cluster
        .store_faults(json!({"lost_answers": {"count": 3}}))
        .await?;
    let id = cluster.accept(0, &keyed).await?;
    cluster.store_faults(json!({})).await?;
    assert_eq!(cluster.accept(1, &keyed).await?, id);
    cluster.wait_for(0, &id, &["answered"]).await?;
    assert_eq!(
        cluster.accept(0, &keyed).await?,
        id,
        "an ended job keeps its key"
    );
    let other = Submission {
        body: json!({"run_ms": 51}),
        ..keyed
    };
    assert_eq!(cluster.submit(0, &other).await?.status(), 409);
    assert_eq!(cluster.runs(&id).await?, 1);
    Ok(())
}

/// Guards against a cancelled job that runs on, or that runs after "not run", with and without a gang.
#[tokio::test(flavor = "multi_thread")]
async fn cancel_ends_queued_and_running_jobs() -> Result<()> {
    let cluster = Cluster::start(1, 2).await?;
    // Both jobs want all 16 accelerators, so that the second one waits.
    let running = cluster.accept(0, &gang(json!({"run_ms": 30_000}))).await?;
    cluster.wait_until_run(0, &running).await?;
    let queued = cluster.accept(0, &gang(json!({"run_ms": 1}))).await?;
    let short = cluster
        .accept(0, &submission(json!({"run_ms": 30_000})))
        .await?;
    cluster.wait_until_run(0, &short).await?;
    for (id, verdict) in [
        (&queued, "not_run"),
        (&running, "may_have_run"),
        (&short, "may_have_run"),
    ] {
        let started = Instant::now();
        for _ in 0..2 {
            let res = cluster.call_as("faro", 0, Method::DELETE, id).await?;
            assert_eq!(res.status(), 200, "cancellation is idempotent");
        }
        let body = cluster.wait_for(0, id, &["refused", "answered"]).await?;
        println!("cancelled after {:?}: {body}", started.elapsed());
        assert_eq!(
            (&body["state"], &body["verdict"]),
            (&json!("refused"), &json!(verdict)),
            "{body}"
        );
        assert_eq!(cluster.result(0, id).await?.status(), 409);
    }
    assert_eq!(cluster.runs(&queued).await?, 0);
    let next = cluster.accept(0, &gang(json!({"run_ms": 1}))).await?;
    cluster.wait_for(0, &next, &["answered"]).await?;
    Ok(())
}

/// Guards against a second run or a lost outcome when the owner is killed while jobs run.
#[tokio::test(flavor = "multi_thread")]
async fn owner_killed_keeps_running_jobs() -> Result<()> {
    let mut cluster = Cluster::start(2, 3).await?;
    let (owner, other) = cluster.owner_and_other().await?;
    let mut ids = Vec::new();
    for idempotent in [true, false] {
        for job in [
            submission(json!({"run_ms": 6000})),
            gang(json!({"run_ms": 6000})),
        ] {
            let job = Submission {
                idempotent: Some(idempotent),
                // Smaller than the rack, so that both gangs run at once.
                shape: job
                    .shape
                    .map(|_| json!({"tasks": 8, "accelerators": 1, "adjacency": "rack"})),
                ..job
            };
            ids.push(cluster.accept(other, &job).await?);
        }
    }
    for id in &ids {
        cluster.wait_until_run(other, id).await?;
    }
    // Needs all accelerators, so it waits behind the running gangs.
    let all = Submission {
        shape: Some(json!({"tasks": 24, "accelerators": 1, "adjacency": "rack"})),
        ..submission(json!({"run_ms": 1}))
    };
    let queued = cluster.accept(other, &all).await?;
    ids.push(queued.clone());
    let name = format!("entry-{owner}");
    cluster.deployment.entries[&*name].kill()?;
    for id in &ids {
        let body = cluster
            .wait_for(other, id, &["answered", "refused"])
            .await?;
        assert_eq!(body["state"], "answered", "{body}");
        assert_eq!(cluster.result(other, id).await?.status(), 200);
        assert_eq!(cluster.runs(id).await?, 1, "job {id} ran once");
        // Reservations that running gangs refuse are no attempts, but a start that times out is one.
        let attempts = if *id == queued { 1..=5 } else { 1..=1 };
        assert!(
            attempts.contains(&body["attempt"].as_u64().unwrap_or_default()),
            "{body}"
        );
    }
    Ok(())
}

/// Guards against a false verdict when the agent dies with the jobs: only the idempotent one runs again.
#[tokio::test(flavor = "multi_thread")]
async fn agent_killed_repeats_only_idempotent_jobs() -> Result<()> {
    let mut cluster = Cluster::start(1, 1).await?;
    let job = |idempotent| Submission {
        idempotent: Some(idempotent),
        ..submission(json!({"run_ms": 3000}))
    };
    let safe = cluster.accept(0, &job(true)).await?;
    let unsafe_ = cluster.accept(0, &job(false)).await?;
    cluster.wait_until_run(0, &safe).await?;
    cluster.wait_until_run(0, &unsafe_).await?;
    cluster.deployment.agents["agent-0"].kill()?;
    cluster.deployment.restart("agent-0")?;
    let body = cluster
        .wait_for(0, &unsafe_, &["answered", "refused"])
        .await?;
    assert_eq!(body["verdict"], "may_have_run", "{body}");
    let body = cluster.wait_for(0, &safe, &["answered", "refused"]).await?;
    assert_eq!(
        (&body["state"], &body["attempt"]),
        (&json!("answered"), &json!(2)),
        "{body}"
    );
    assert_eq!(
        (cluster.runs(&safe).await?, cluster.runs(&unsafe_).await?),
        (2, 1)
    );
    Ok(())
}

/// Guards against one client account that learns of or changes another's job.
#[tokio::test(flavor = "multi_thread")]
async fn find_hides_jobs_of_other_accounts() -> Result<()> {
    let cluster = Cluster::start(1, 1).await?;
    let id = cluster
        .accept(0, &submission(json!({"run_ms": 500})))
        .await?;
    let unknown = format!("caribe.{}", "0".repeat(32));
    for (method, path) in [
        (Method::GET, id.clone()),
        (Method::GET, format!("{id}/result")),
        (Method::DELETE, id.clone()),
        (Method::GET, unknown),
        (Method::GET, "nonsense".into()),
    ] {
        let res = cluster.call_as("puerto", 0, method, &path).await?;
        let status = res.status();
        let body: Value = res.json().await?;
        assert_eq!(
            (status.as_u16(), &body["error"]["message"]),
            (404, &json!("there is no such job")),
            "{path}"
        );
    }
    let body = cluster.wait_for(0, &id, &["answered", "refused"]).await?;
    assert_eq!(body["state"], "answered");
    Ok(())
}

/// Guards against a lost outcome or a second run when processes leave gracefully while a job runs.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_hands_over_running_job() -> Result<()> {
    let mut cluster = Cluster::start(2, 1).await?;
    let (owner, other) = cluster.owner_and_other().await?;
    let id = cluster
        .accept(other, &submission(json!({"run_ms": 4000})))
        .await?;
    cluster.wait_until_run(other, &id).await?;
    for name in ["agent-0".into(), format!("entry-{owner}")] {
        let agents = &cluster.deployment.agents;
        let process = agents
            .get(&*name)
            .or(cluster.deployment.entries.get(&*name));
        process.ok_or("process")?.signal("TERM")?;
    }
    let agent = &mut cluster.deployment.agents["agent-0"];
    assert!(agent.wait(LIMIT).await?.success());
    let body = cluster
        .wait_for(other, &id, &["answered", "refused"])
        .await?;
    assert_eq!(body["state"], "answered", "{body}");
    assert_eq!(cluster.runs(&id).await?, 1);
    Ok(())
}

/// Guards against an outcome that an outage of the store loses or decides, and against an owner that resumes after it.
#[tokio::test(flavor = "multi_thread")]
async fn store_outage_and_frozen_owner_keep_one_outcome() -> Result<()> {
    let cluster = Cluster::start(2, 1).await?;
    let (owner, other) = cluster.owner_and_other().await?;
    let id = cluster
        .accept(other, &submission(json!({"run_ms": 1500})))
        .await?;
    cluster.wait_until_run(other, &id).await?;
    cluster.store_faults(json!({"outage": "hang"})).await?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.store_faults(json!({})).await?;
    cluster.wait_for(other, &id, &["answered"]).await?;

    let frozen = cluster
        .accept(other, &submission(json!({"run_ms": 2000})))
        .await?;
    cluster.wait_until_run(other, &frozen).await?;
    let process = &cluster.deployment.entries[&*format!("entry-{owner}")];
    process.signal("STOP")?;
    let body = cluster
        .wait_for(other, &frozen, &["answered", "refused"])
        .await;
    process.signal("CONT")?;
    assert_eq!(body?["state"], "answered");
    tokio::time::sleep(Duration::from_secs(1)).await;
    for id in [&id, &frozen] {
        let body = cluster.state(other, id).await?;
        assert_eq!(
            (&body["state"], cluster.runs(id).await?),
            (&json!("answered"), 1)
        );
    }
    Ok(())
}
