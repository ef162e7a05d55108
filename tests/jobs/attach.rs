//! The question of an owner for an attempt that its agent does not know.

use std::time::Duration;

use errors::Verdict;
use harness::Result;
use harness::jobs::Cluster;
use model::Request;
use serde_json::{Value, json};
use wire::{Attach, Call, Dispatch, Key, Peers, Reply};

const LIMIT: Duration = Duration::from_secs(2);

fn settings(cluster: &Cluster, name: &str) -> Result<Value> {
    let file = cluster.deployment.dir.join(format!("settings/{name}.json"));
    Ok(serde_json::from_str(&std::fs::read_to_string(file)?)?)
}

fn dispatch(id: u128, incarnation: u64) -> Call {
    let request = Request {
        id,
        account: "faro".into(),
        service: "workshop".into(),
        shape: None,
        idempotent: false,
        stoppable: false,
        timeout: LIMIT,
        declared_run_time: None,
    };
    Call::Dispatch(Dispatch {
        compress: false,
        claim: None,
        request,
        attempt: 1,
        incarnation,
        gang: None,
        body: json!({}).to_string().into(),
        detached: true,
    })
}

/// Guards against "not run" for an attempt that runs later, and against "not run" without a record that proves it.
#[tokio::test(flavor = "multi_thread")]
async fn attach_refuses_unknown_attempt_for_good() -> Result<()> {
    let cluster = Cluster::start(1, 1).await?;
    let agent = settings(&cluster, "agent-0")?;
    let addr = agent["peer_listen"].as_str().unwrap_or_default().parse()?;
    let owner = settings(&cluster, "entry-0")?["peer_listen"].clone();
    let owner = owner.as_str().unwrap_or_default().parse()?;
    let key = agent["peer_key"].as_str().unwrap_or_default();
    let peers = Peers::new(Key::from_secret(key));
    let call = async |addr, call: Call| peers.call(addr, &call, LIMIT).await;
    let Ok(Reply::Directory(directory)) = call(owner, Call::Directory { after: 0 }).await else {
        return Err("no directory".into());
    };
    let life = directory.endpoints[0].incarnation;
    let old = Duration::from_hours(1);
    let cases = [
        (1, life, false, Duration::ZERO, Verdict::NotRun),
        (2, life, false, old, Verdict::MayHaveRun),
        (3, life, true, Duration::ZERO, Verdict::MayHaveRun),
        (4, life - 1, false, Duration::ZERO, Verdict::MayHaveRun),
    ];
    for (request, incarnation, idempotent, age, verdict) in cases {
        let attach = Attach {
            request,
            attempt: 1,
            incarnation,
            idempotent,
            age,
            wait: LIMIT,
        };
        let Ok(Reply::AttemptFailed(error)) = call(addr, Call::Attach(attach.clone())).await else {
            return Err(format!("attempt {request} did not fail").into());
        };
        assert_eq!(error.verdict, verdict, "{request}: {error}");
        // The dispatch of an owner that paused arrives late.
        let late = call(addr, dispatch(request, incarnation)).await;
        assert_eq!(late.is_ok(), incarnation == life);
        let again = call(addr, Call::Attach(attach)).await;
        assert!(matches!(again, Ok(Reply::AttemptFailed(e)) if e.verdict == verdict));
        assert_eq!(cluster.runs(&format!("{request:032x}")).await?, 0);
    }
    Ok(())
}
