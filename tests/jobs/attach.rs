//! `Attach` calls of an owner for attempts that the agent does not know.

use std::time::Duration;

use errors::Verdict;
use harness::Result;
use harness::jobs::Cluster;
use model::Request;
use serde_json::{Value, json};
use wire::{Attach, Call, Dispatch, Key, Peers, Reply};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

fn read_settings(cluster: &Cluster, name: &str) -> Result<Value> {
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
        timeout: CALL_TIMEOUT,
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

/// Guards against the verdict `not_run` for an attempt that runs later, or for which the agent cannot exclude a run.
#[tokio::test(flavor = "multi_thread")]
async fn attach_refuses_unknown_attempt_permanently() -> Result<()> {
    let cluster = Cluster::start(1, 1).await?;
    let agent = read_settings(&cluster, "agent-0")?;
    let addr = agent["peer_listen"].as_str().unwrap_or_default().parse()?;
    let owner = read_settings(&cluster, "entry-0")?["peer_listen"].clone();
    let owner = owner.as_str().unwrap_or_default().parse()?;
    let key = agent["peer_key"].as_str().unwrap_or_default();
    let peers = Peers::new(Key::from_secret(key));
    let call = async |addr, call: Call| peers.call(addr, &call, CALL_TIMEOUT).await;
    let Ok(Reply::Directory(directory)) = call(owner, Call::Directory { after: 0 }).await else {
        return Err("the owner returned no directory".into());
    };
    let current_incarnation = directory.endpoints[0].incarnation;
    let expired_age = Duration::from_hours(1);
    let cases = [
        (
            1,
            current_incarnation,
            false,
            Duration::ZERO,
            Verdict::NotRun,
        ),
        (
            2,
            current_incarnation,
            false,
            expired_age,
            Verdict::MayHaveRun,
        ),
        (
            3,
            current_incarnation,
            true,
            Duration::ZERO,
            Verdict::MayHaveRun,
        ),
        (
            4,
            current_incarnation - 1,
            false,
            Duration::ZERO,
            Verdict::MayHaveRun,
        ),
    ];
    for (request, incarnation, idempotent, age, verdict) in cases {
        let attach = Attach {
            request,
            attempt: 1,
            incarnation,
            idempotent,
            age,
            wait: CALL_TIMEOUT,
        };
        let Ok(Reply::AttemptFailed(error)) = call(addr, Call::Attach(attach.clone())).await else {
            return Err(format!("attempt {request} did not fail").into());
        };
        assert_eq!(error.verdict, verdict, "{request}: {error}");
        // Late dispatch by an owner that was paused. It must not run the attempt.
        let late = call(addr, dispatch(request, incarnation)).await;
        assert_eq!(late.is_ok(), incarnation == current_incarnation);
        let repeated = call(addr, Call::Attach(attach)).await;
        assert!(matches!(repeated, Ok(Reply::AttemptFailed(e)) if e.verdict == verdict));
        assert_eq!(cluster.runs(&format!("{request:032x}")).await?, 0);
    }
    Ok(())
}
