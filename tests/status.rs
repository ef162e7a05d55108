//! Status and metrics of a running deployment.

use harness::fixtures::{TOKEN, agent, one_region};
use harness::{Caller, Deployment, Plan, Programs, Result, Submission};
use model::{Adjacency, Shape};
use serde_json::{Value, json};

fn submission(answer_bytes: u32) -> Submission {
    Submission {
        service: "workshop".into(),
        account: "faro".into(),
        token: TOKEN.into(),
        timeout_ms: Some(10_000),
        body: json!({"run_ms": 1, "answer_bytes": answer_bytes}),
        ..Submission::default()
    }
}

/// Guards against a status that lacks owners, guarantee shortfalls, store calls or traffic.
#[tokio::test(flavor = "multi_thread")]
async fn status_shows_cells_and_counts() -> Result<()> {
    let mut plan = one_region(1, 1);
    // The cell is too small for this guarantee, so it is reported as a shortfall.
    plan.document.accounts["puerto"].guarantees = vec![Shape {
        accelerators: 8,
        tasks: 2,
        adjacency: Adjacency::Rack,
        cores: 0,
        memory_mb: 0,
    }];
    let deployment = Deployment::start(&plan, &Programs::locate()?).await?;
    let url = &deployment.entry_urls[0];
    let mut status = deployment.status(url).await?;
    for _ in 0..30 {
        if status["cells"][0]["guarantee_shortfalls"][0].is_object() {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        status = deployment.status(url).await?;
    }
    let cell = &status["cells"][0];
    assert_eq!(
        cell["guarantee_shortfalls"][0]["account"], "puerto",
        "{status}"
    );
    assert_eq!(
        (&cell["epoch"], &cell["owner"]),
        (&json!(1), &json!("entry-0"))
    );
    assert_eq!(cell["free"]["accelerators"], 8);
    assert_eq!(
        (&cell["queued"], &cell["region"]),
        (&json!(0), &json!("caribe"))
    );
    assert_eq!(cell["quarantined_workers"], json!([]));
    assert_eq!(cell["config_revision"], status["config_revision"]);
    for count in [
        &status["store_calls"]["lease"],
        &status["datagrams"]["received"],
    ] {
        assert!(count.as_u64() > Some(0), "{status}");
    }
    let text = Caller::new()?.http().get(format!("{url}/metrics"));
    let text = text.send().await?.text().await?;
    for name in [
        "store_calls{kind=\"lease\"}",
        "cell_shortfalls{cell=\"caribe\"} 1",
    ] {
        assert!(text.contains(name), "{text}");
    }
    Ok(())
}

/// Returns the number of bytes that the entry receives from remote and from local peers for a response of 100 kB.
async fn received_peer_bytes(regions: [&str; 2]) -> Result<(u64, u64)> {
    let mut plan: Plan = one_region(2, 0);
    plan.entries = regions.map(Into::into).to_vec();
    plan.agents.push(agent(regions[1], 0));
    let deployment = Deployment::start(&plan, &Programs::locate()?).await?;
    let url = &deployment.entry_urls[0];
    let before = deployment.status(url).await?["peer_bytes"].clone();
    let outcome = Caller::new()?.submit(url, &submission(100_000)).await;
    assert!(outcome.is_answered(), "{outcome:?}");
    assert!(outcome.body.len() > 100_000);
    let after = deployment.status(url).await?["peer_bytes"].clone();
    let increase = |name: &str| {
        let count = |bytes: &Value| bytes[name].as_u64().unwrap_or_default();
        count(&after) - count(&before)
    };
    Ok((increase("received_remote"), increase("received_local")))
}

/// Guards against uncompressed large responses between regions, and against compression within a region.
#[tokio::test(flavor = "multi_thread")]
async fn response_is_compressed_only_between_regions() -> Result<()> {
    let (remote, _) = received_peer_bytes(["caribe", "pacifico"]).await?;
    assert!((1..20_000).contains(&remote), "{remote}");
    let (remote, local) = received_peer_bytes(["caribe", "caribe"]).await?;
    assert_eq!(remote, 0);
    assert!(local > 100_000, "{local}");
    Ok(())
}
