//! Configuration changes through separate processes in two regions.

use std::process::Output;
use std::time::{Duration, Instant};

use harness::fixtures::{TOKEN, agent, one_region};
use harness::{Caller, Deployment, Outcome, Plan, Programs, Result, Submission};
use serde_json::{Value, json};

/// The time within which a change must be in force everywhere.
const LIMIT: Duration = Duration::from_secs(4);

fn two_regions() -> Plan {
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

fn text(output: &Output) -> String {
    let parts = [&output.stdout, &output.stderr].map(|part| String::from_utf8_lossy(part));
    parts.concat()
}

/// Applies a new limit for `puerto` and returns its revision.
async fn change(deployment: &Deployment, requests: u32) -> Result<u64> {
    let mut document = show(deployment).await?;
    document["accounts"]["puerto"]["limits"]["requests"] = json!(requests);
    let output = apply(deployment, "change.json", &document).await?;
    let text = text(&output);
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

async fn outage(deployment: &Deployment, kind: Option<&str>) -> Result<()> {
    let url = format!("{}/control/faults", deployment.store_url);
    let faults = kind.map_or(json!({}), |kind| json!({"outage": kind}));
    deployment.post_control(&url, &faults).await
}

/// Guards against a change that some process in either region gets late or not at all, also when its relay dies.
#[tokio::test(flavor = "multi_thread")]
async fn apply_reaches_every_process() -> Result<()> {
    let mut deployment = start(&two_regions()).await?;
    let mut worst = Duration::ZERO;
    for requests in 1..=5 {
        let started = Instant::now();
        let revision = change(&deployment, requests).await?;
        deployment.wait_for_revision(revision, LIMIT).await?;
        worst = worst.max(started.elapsed());
    }
    println!("5 changes, 4 entries, 3 agents: in force everywhere within {worst:?} of the command");
    let relay = relay(&deployment).await?;
    deployment.entries.shift_remove(&relay);
    let started = Instant::now();
    let revision = change(&deployment, 6).await?;
    deployment.wait_for_revision(revision, LIMIT).await?;
    println!(
        "a change just after the relay {relay} was killed: {:?}",
        started.elapsed()
    );
    assert!(worst < LIMIT && started.elapsed() < LIMIT);
    Ok(())
}

/// Guards against a change that crosses the link between the regions once for each entry.
#[tokio::test(flavor = "multi_thread")]
async fn apply_crosses_region_link_once() -> Result<()> {
    const CHANGES: u32 = 4;
    let deployment = start(&two_regions()).await?;
    let mut document = show(&deployment).await?;
    let hash = document["accounts"]["puerto"]["tokens"][0].clone();
    let tokens = &mut document["accounts"]["puerto"]["tokens"];
    *tokens = json!(vec![hash; 100]);
    let section = document["accounts"]["puerto"].to_string().len();
    apply(&deployment, "large.json", &document).await?;
    let before = link_bytes(&deployment).await?;
    for requests in 1..=CHANGES {
        let revision = change(&deployment, requests).await?;
        deployment.wait_for_revision(revision, LIMIT).await?;
    }
    let after = link_bytes(&deployment).await?;
    let bytes = [after[0] - before[0], after[1] - before[1]];
    let changes = f64::from(CHANGES);
    println!("section of {section} bytes, {CHANGES} changes: bytes from the store {bytes:?}");
    let whole = f64::from(u32::try_from(section)?) * changes;
    let crossed = bytes.iter().sum::<f64>();
    assert!(crossed >= whole && crossed < 1.5 * whole, "{bytes:?}");
    Ok(())
}

/// Returns the bytes that each entry of `pacifico` received from the store, which is in `caribe`.
async fn link_bytes(deployment: &Deployment) -> Result<[f64; 2]> {
    let name = "limpethook_traffic_bytes_total{kind=\"store\",direction=\"received\"}";
    let one = deployment.metrics("entry-2").await?[name];
    let two = deployment.metrics("entry-3").await?[name];
    Ok([one, two])
}

/// Returns the entry that the store names as the relay of `caribe`.
async fn relay(deployment: &Deployment) -> Result<Box<str>> {
    let url = format!("{}/v1/kv?key=relays/caribe", deployment.store_url);
    let record = deployment.read_control(&url).await?;
    Ok(record["entry"].as_str().ok_or("no relay")?.into())
}

/// Guards against a restart during an outage of the store that falls back to an older configuration.
#[tokio::test(flavor = "multi_thread")]
async fn restart_keeps_revision_during_outage() -> Result<()> {
    let mut deployment = start(&two_regions()).await?;
    let owner = deployment.status(&deployment.entry_urls[0]).await?["cells"][0]["owner"].clone();
    let owner = owner.as_str().ok_or("no owner")?.to_owned();
    let other = if owner == "entry-0" {
        "entry-1"
    } else {
        "entry-0"
    };
    let revision = change(&deployment, 7).await?;
    deployment.wait_for_revision(revision, LIMIT).await?;
    outage(&deployment, Some("refuse")).await?;
    for name in ["agent-0", other, owner.as_str()] {
        deployment.agents.shift_remove(name);
        deployment.entries.shift_remove(name);
        deployment.restart(name)?;
        let started = Instant::now();
        loop {
            match deployment.revision(name).await {
                // An agent reports its metrics before it announces itself, which it does with a configuration only.
                Ok(0) if name.starts_with("agent") => {}
                Ok(seen) => {
                    assert!(seen >= revision, "{name} fell back to {seen}");
                    break;
                }
                Err(_) => {}
            }
            assert!(started.elapsed() < LIMIT, "{name} did not recover");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        println!("{name} recovered in {:?}", started.elapsed());
    }
    outage(&deployment, None).await?;
    let next = change(&deployment, 8).await?;
    deployment.wait_for_revision(next, LIMIT).await?;
    Ok(())
}

/// Guards against a lost update: an operator must not undo a change that the operator has not seen.
#[tokio::test(flavor = "multi_thread")]
async fn apply_detects_racing_operators() -> Result<()> {
    let deployment = start(&one_region(1, 1)).await?;
    let seen = show(&deployment).await?;
    let edit = |pointer: &str, value: u32| {
        let mut document = seen.clone();
        if let Some(place) = document.pointer_mut(pointer) {
            *place = json!(value);
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
    assert!(one.status.success(), "{}", text(&one));
    assert!(other.status.success(), "{}", text(&other));
    let stored = show(&deployment).await?;
    assert_eq!(stored["accounts"]["faro"]["limits"]["requests"], 11);
    assert_eq!(stored["accounts"]["puerto"]["limits"]["requests"], 12);

    let late = edit("/accounts/faro/limits/requests", 13);
    let late = apply(&deployment, "late.json", &late).await?;
    let revision = stored["base"]["accounts/faro"]["revision"].to_string();
    assert_eq!(late.status.code(), Some(1), "{}", text(&late));
    assert!(
        text(&late).contains(&format!("now at revision {revision}")),
        "{}",
        text(&late)
    );
    Ok(())
}

/// Guards against a report that a change failed, or is unknown, although the store has it.
#[tokio::test(flavor = "multi_thread")]
async fn apply_reads_back_lost_answers() -> Result<()> {
    let deployment = start(&one_region(1, 1)).await?;
    // The first write of a key takes the lock, the second one changes the section.
    let faults = json!({"lost_answers": {"count": 2}});
    let url = format!("{}/control/faults", deployment.store_url);
    deployment.post_control(&url, &faults).await?;
    let revision = change(&deployment, 21).await?;
    let stored = show(&deployment).await?;
    assert_eq!(stored["base"]["accounts/puerto"]["revision"], revision);

    deployment.post_control(&url, &faults).await?;
    let mut without = stored.clone();
    without["accounts"]
        .as_object_mut()
        .ok_or("accounts")?
        .remove("puerto");
    let output = apply(&deployment, "without.json", &without).await?;
    assert!(output.status.success(), "{}", text(&output));
    assert!(show(&deployment).await?["accounts"].get("puerto").is_none());
    Ok(())
}

/// Guards against one faulty section in the store that keeps all others, or a restarted entry, from working.
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
    let revision = change(&deployment, 31).await?;
    deployment.wait_for_revision(revision, LIMIT).await?;
    deployment.entries.shift_remove("entry-1");
    deployment.restart("entry-1")?;
    deployment.wait_until_ready().await?;
    for url in &deployment.entry_urls {
        let outcome = submit(&caller, url).await;
        assert!(
            outcome.is_answered(),
            "the section before stays in force: {outcome:?}"
        );
    }
    Ok(())
}

/// Guards against guarantees that cannot be packed, and against an apply that does not name their sections.
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
    assert_eq!(output.status.code(), Some(1), "{}", text(&output));
    assert!(text(&output).contains("accounts/"), "{}", text(&output));
    document["accounts"]["faro"]["guarantees"] = shape(7);
    deployment.write_document("guarantees.json", &document)?;
    let output = deployment.config(&args).await?;
    assert!(output.status.success(), "{}", text(&output));
    Ok(())
}

/// Guards against a token that some entry still accepts after its account was removed.
#[tokio::test(flavor = "multi_thread")]
async fn removed_token_is_refused_everywhere() -> Result<()> {
    let deployment = start(&two_regions()).await?;
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
    assert!(output.status.success(), "{}", text(&output));
    for url in &deployment.entry_urls {
        while submit(&caller, url).await.is_answered() {
            assert!(started.elapsed() < LIMIT, "{url} still accepts the token");
        }
    }
    println!(
        "token refused at 4 entries within {:?} of the command",
        started.elapsed()
    );
    Ok(())
}
