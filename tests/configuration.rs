//! Configuration changes in deployments of separate processes, in one and in two regions.

use std::process::Output;
use std::time::{Duration, Instant};

use harness::fixtures::{TOKEN, agent, one_region};
use harness::{Caller, Deployment, Outcome, Plan, Programs, Result, Submission};
use serde_json::{Value, json};

/// Time in which a change must be in force in every process.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(4);

fn plan_with_two_regions() -> Plan {
    let mut plan = one_region(2, 2);
    plan.entries.extend(["pacifico".into(), "pacifico".into()]);
    plan.agents.push(agent("pacifico", 0));
    plan
}

async fn start(plan: &Plan) -> Result<Deployment> {
    Deployment::start(plan, &Programs::locate()?).await
}

async fn show(deployment: &Deployment) -> Result<Value> {
    let output = deployment.config(&["show"]).await?;
    Ok(serde_json::from_slice(&output.stdout)?)
}

async fn apply(deployment: &Deployment, name: &str, document: &Value) -> Result<Output> {
    let file = deployment.write_document(name, document)?;
    deployment.config(&["apply", &file]).await
}

fn output_text(output: &Output) -> String {
    let parts = [&output.stdout, &output.stderr].map(|part| String::from_utf8_lossy(part));
    parts.concat()
}

/// Changes the request limit of the client account `puerto` and returns the revision of the change.
async fn change_request_limit(deployment: &Deployment, requests: u32) -> Result<u64> {
    let mut document = show(deployment).await?;
    document["accounts"]["puerto"]["limits"]["requests"] = json!(requests);
    let output = apply(deployment, "change.json", &document).await?;
    let text = output_text(&output);
    let revision = text.split("applied at revision ").nth(1);
    let revision = revision.and_then(|rest| rest.split_whitespace().next());
    Ok(revision.ok_or(text.clone())?.parse()?)
}

async fn submit(caller: &Caller, url: &str) -> Outcome {
    let submission = Submission {
        service: "workshop".into(),
        account: "faro".into(),
        token: TOKEN.into(),
        timeout_ms: Some(3000),
        body: json!({}),
        ..Submission::default()
    };
    caller.submit(url, &submission).await
}

async fn set_store_outage(deployment: &Deployment, kind: Option<&str>) -> Result<()> {
    let url = format!("{}/control/faults", deployment.store_url);
    let faults = kind.map_or(json!({}), |kind| json!({"outage": kind}));
    deployment.post_control(&url, &faults).await
}

/// Guards against a change that reaches a process of either region late or not at all, also when the relay is killed.
#[tokio::test(flavor = "multi_thread")]
async fn apply_reaches_every_process() -> Result<()> {
    let mut deployment = start(&plan_with_two_regions()).await?;
    let mut slowest = Duration::ZERO;
    for requests in 1..=5 {
        let started = Instant::now();
        let revision = change_request_limit(&deployment, requests).await?;
        deployment
            .wait_for_revision(revision, PROPAGATION_LIMIT)
            .await?;
        slowest = slowest.max(started.elapsed());
    }
    println!(
        "5 changes, 4 entries, 3 agents: in force everywhere {slowest:?} after the command at most"
    );
    let relay = relay_of_caribe(&deployment).await?;
    deployment.entries.shift_remove(&relay);
    let started = Instant::now();
    let revision = change_request_limit(&deployment, 6).await?;
    deployment
        .wait_for_revision(revision, PROPAGATION_LIMIT)
        .await?;
    println!(
        "change after the relay {relay} was killed: in force everywhere after {:?}",
        started.elapsed()
    );
    assert!(slowest < PROPAGATION_LIMIT && started.elapsed() < PROPAGATION_LIMIT);
    Ok(())
}

/// Guards against a change that is sent over the link between the regions once for each entry instead of once.
#[tokio::test(flavor = "multi_thread")]
async fn apply_crosses_region_link_once() -> Result<()> {
    const CHANGES: u32 = 4;
    let deployment = start(&plan_with_two_regions()).await?;
    let mut document = show(&deployment).await?;
    let hash = document["accounts"]["puerto"]["tokens"][0].clone();
    let tokens = &mut document["accounts"]["puerto"]["tokens"];
    *tokens = json!(vec![hash; 100]);
    let section = document["accounts"]["puerto"].to_string().len();
    apply(&deployment, "large.json", &document).await?;
    let before = region_link_bytes(&deployment).await?;
    for requests in 1..=CHANGES {
        let revision = change_request_limit(&deployment, requests).await?;
        deployment
            .wait_for_revision(revision, PROPAGATION_LIMIT)
            .await?;
    }
    let after = region_link_bytes(&deployment).await?;
    let bytes = [after[0] - before[0], after[1] - before[1]];
    let changes = f64::from(CHANGES);
    println!("section of {section} bytes, {CHANGES} changes: bytes from the store {bytes:?}");
    let min_bytes = f64::from(u32::try_from(section)?) * changes;
    let total_bytes = bytes.iter().sum::<f64>();
    assert!(
        total_bytes >= min_bytes && total_bytes < 1.5 * min_bytes,
        "{bytes:?}"
    );
    Ok(())
}

/// Returns the number of bytes that each entry of `pacifico` has received from the store, which is in `caribe`.
async fn region_link_bytes(deployment: &Deployment) -> Result<[f64; 2]> {
    let name = "limpethook_traffic_bytes_total{kind=\"store\",direction=\"received\"}";
    let one = deployment.metrics("entry-2").await?[name];
    let two = deployment.metrics("entry-3").await?[name];
    Ok([one, two])
}

/// Returns the relay of `caribe`, as recorded in the store.
async fn relay_of_caribe(deployment: &Deployment) -> Result<Box<str>> {
    let url = format!("{}/v1/kv?key=relays/caribe", deployment.store_url);
    let record = deployment.read_control(&url).await?;
    Ok(record["entry"].as_str().ok_or("no relay")?.into())
}

/// Guards against a process that reverts to an older configuration when it restarts during an outage of the store.
#[tokio::test(flavor = "multi_thread")]
async fn restart_keeps_revision_during_outage() -> Result<()> {
    let mut deployment = start(&plan_with_two_regions()).await?;
    let owner = deployment.status(&deployment.entry_urls[0]).await?["cells"][0]["owner"].clone();
    let owner = owner.as_str().ok_or("no owner")?.to_owned();
    let other = if owner == "entry-0" {
        "entry-1"
    } else {
        "entry-0"
    };
    let revision = change_request_limit(&deployment, 7).await?;
    deployment
        .wait_for_revision(revision, PROPAGATION_LIMIT)
        .await?;
    set_store_outage(&deployment, Some("refuse")).await?;
    for name in ["agent-0", other, owner.as_str()] {
        deployment.agents.shift_remove(name);
        deployment.entries.shift_remove(name);
        deployment.restart(name)?;
        let started = Instant::now();
        loop {
            match deployment.revision(name).await {
                // An agent serves its metrics before it has a configuration; without one, it does not announce itself.
                Ok(0) if name.starts_with("agent") => {}
                Ok(seen) => {
                    assert!(seen >= revision, "{name} reverted to revision {seen}");
                    break;
                }
                Err(_) => {}
            }
            assert!(
                started.elapsed() < PROPAGATION_LIMIT,
                "{name} did not report the revision in time"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        println!("{name} reported the revision after {:?}", started.elapsed());
    }
    set_store_outage(&deployment, None).await?;
    let next = change_request_limit(&deployment, 8).await?;
    deployment
        .wait_for_revision(next, PROPAGATION_LIMIT)
        .await?;
    Ok(())
}

/// Guards against a lost update: an operator must not overwrite a change that was made after `config show`.
#[tokio::test(flavor = "multi_thread")]
async fn apply_detects_concurrent_edits() -> Result<()> {
    let deployment = start(&one_region(1, 1)).await?;
    let seen = show(&deployment).await?;
    let edit = |pointer: &str, value: u32| {
        let mut document = seen.clone();
        if let Some(target) = document.pointer_mut(pointer) {
            *target = json!(value);
        }
        document
    };
    let one = edit("/accounts/faro/limits/requests", 11);
    let other = edit("/accounts/puerto/limits/requests", 12);
    let (one, other) = tokio::join!(
        apply(&deployment, "one.json", &one),
        apply(&deployment, "other.json", &other)
    );
    let (one, other) = (one?, other?);
    assert!(one.status.success(), "{}", output_text(&one));
    assert!(other.status.success(), "{}", output_text(&other));
    let stored = show(&deployment).await?;
    assert_eq!(stored["accounts"]["faro"]["limits"]["requests"], 11);
    assert_eq!(stored["accounts"]["puerto"]["limits"]["requests"], 12);

    let late = edit("/accounts/faro/limits/requests", 13);
    let late = apply(&deployment, "late.json", &late).await?;
    let revision = stored["base"]["accounts/faro"]["revision"].to_string();
    assert_eq!(late.status.code(), Some(1), "{}", output_text(&late));
    assert!(
        output_text(&late).contains(&format!("now at revision {revision}")),
        "{}",
        output_text(&late)
    );
    Ok(())
}

/// Guards against a change that is reported as failed or unknown although the store has accepted it.
#[tokio::test(flavor = "multi_thread")]
async fn apply_reads_back_after_lost_responses() -> Result<()> {
    let deployment = start(&one_region(1, 1)).await?;
    // The responses to two writes are lost: the one that acquires the lock, and the one that changes the section.
    let faults = json!({"lost_answers": {"count": 2}});
    let url = format!("{}/control/faults", deployment.store_url);
    deployment.post_control(&url, &faults).await?;
    let revision = change_request_limit(&deployment, 21).await?;
    let stored = show(&deployment).await?;
    assert_eq!(stored["base"]["accounts/puerto"]["revision"], revision);

    deployment.post_control(&url, &faults).await?;
    let mut without = stored.clone();
    without["accounts"]
        .as_object_mut()
        .ok_or("accounts")?
        .remove("puerto");
    let output = apply(&deployment, "without.json", &without).await?;
    assert!(output.status.success(), "{}", output_text(&output));
    assert!(show(&deployment).await?["accounts"].get("puerto").is_none());
    Ok(())
}

/// Guards against an invalid section in the store that blocks changes of other sections or the restart of an entry.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_section_keeps_others_in_force() -> Result<()> {
    let mut deployment = start(&one_region(2, 1)).await?;
    let url = format!("{}/v1/kv?key=config/accounts/faro", deployment.store_url);
    let caller = Caller::new()?;
    caller
        .http()
        .put(&url)
        .body("{\"tokens\": 5}")
        .send()
        .await?
        .error_for_status()?;
    let revision = change_request_limit(&deployment, 31).await?;
    deployment
        .wait_for_revision(revision, PROPAGATION_LIMIT)
        .await?;
    deployment.entries.shift_remove("entry-1");
    deployment.restart("entry-1")?;
    deployment.wait_until_ready().await?;
    for url in &deployment.entry_urls {
        let outcome = submit(&caller, url).await;
        assert!(
            outcome.is_answered(),
            "the previous section stays in force: {outcome:?}"
        );
    }
    Ok(())
}

/// Guards against `config apply` accepting guarantees that do not fit on the workers, or not naming their sections.
#[tokio::test(flavor = "multi_thread")]
async fn apply_refuses_unpackable_guarantees() -> Result<()> {
    let deployment = start(&one_region(1, 2)).await?;
    let mut document = show(&deployment).await?;
    let shape = |tasks: u32| json!([{"tasks": tasks, "accelerators": 1}]);
    document["accounts"]["puerto"]["guarantees"] = shape(9);
    document["accounts"]["faro"]["guarantees"] = shape(9);
    let file = deployment.write_document("guarantees.json", &document)?;
    let args = ["apply", &file, "--entry", &deployment.entry_urls[0]];
    let output = deployment.config(&args).await?;
    assert_eq!(output.status.code(), Some(1), "{}", output_text(&output));
    assert!(
        output_text(&output).contains("accounts/"),
        "{}",
        output_text(&output)
    );
    document["accounts"]["faro"]["guarantees"] = shape(7);
    deployment.write_document("guarantees.json", &document)?;
    let output = deployment.config(&args).await?;
    assert!(output.status.success(), "{}", output_text(&output));
    Ok(())
}

/// Guards against a token that an entry still accepts after it was removed from its client account.
#[tokio::test(flavor = "multi_thread")]
async fn removed_token_is_refused_everywhere() -> Result<()> {
    let deployment = start(&plan_with_two_regions()).await?;
    let caller = Caller::new()?;
    let mut document = show(&deployment).await?;
    document["accounts"]["faro"]["tokens"] = json!([]);
    assert!(
        submit(&caller, &deployment.entry_urls[3])
            .await
            .is_answered()
    );
    let started = Instant::now();
    let output = apply(&deployment, "removed.json", &document).await?;
    assert!(output.status.success(), "{}", output_text(&output));
    for url in &deployment.entry_urls {
        while submit(&caller, url).await.is_answered() {
            assert!(
                started.elapsed() < PROPAGATION_LIMIT,
                "{url} still accepts the token"
            );
        }
    }
    println!(
        "token refused at 4 entries {:?} after the command",
        started.elapsed()
    );
    Ok(())
}
