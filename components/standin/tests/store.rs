//! Tests of the simulated key-value service over loopback: faults and call counts.

use std::time::{Duration, Instant};

use reqwest::{Client, RequestBuilder};
use standin::{Outage, Selection, Server, StoreFaults, StoreSettings, start_store};
use store::CallCounts;
use timer::Timer;

async fn start() -> (Server, Client) {
    let server = start_store(&StoreSettings::default(), &Timer::start()).await;
    let client = Client::builder().no_proxy().build().unwrap();
    (server.unwrap(), client)
}

async fn set_faults(server: &Server, client: &Client, faults: &StoreFaults) {
    let url = format!("{}/control/faults", server.base_url());
    let sent = client.post(url).json(faults).send().await;
    assert!(sent.unwrap().status().is_success());
}

fn put(server: &Server, client: &Client) -> RequestBuilder {
    client
        .put(format!("{}/v1/kv?key=a", server.base_url()))
        .body("1")
}

fn watch(server: &Server, client: &Client) -> RequestBuilder {
    let url = format!(
        "{}/v1/watch?prefix=&after=0&wait_ms=5000",
        server.base_url()
    );
    client.get(url).timeout(Duration::from_millis(500))
}

/// Guards against a random choice of lost responses that is not reproducible with the same seed.
#[tokio::test]
async fn lost_responses_repeat_with_seed() {
    const WRITES: usize = 100;
    let (server, client) = start().await;
    let faults = StoreFaults {
        lost_answers: Some(Selection {
            share: Some(0.3),
            seed: 7,
            ..Selection::default()
        }),
        ..StoreFaults::default()
    };
    let mut rounds = Vec::new();
    for _ in 0..2 {
        set_faults(&server, &client, &faults).await;
        let mut lost = Vec::new();
        for _ in 0..WRITES {
            lost.push(put(&server, &client).send().await.is_err());
        }
        rounds.push(lost);
    }
    assert_eq!(rounds[0], rounds[1]);
    let lost = rounds[0].iter().filter(|lost| **lost).count();
    assert!((15..45).contains(&lost), "lost {lost} of {WRITES}");
}

/// Guards against calls that are counted twice, as another kind, or not at all during an outage.
#[tokio::test]
async fn call_counts_include_rejected_calls() {
    let (server, client) = start().await;
    put(&server, &client).send().await.unwrap();
    let outage = StoreFaults {
        outage: Some(Outage::Refuse),
        ..StoreFaults::default()
    };
    set_faults(&server, &client, &outage).await;
    let rejected = put(&server, &client).send().await.unwrap();
    assert_eq!(rejected.status(), 503);
    let url = format!("{}/control/counts", server.base_url());
    let response = client.get(url).send().await.unwrap();
    let expected = CallCounts {
        put: 2,
        ..CallCounts::default()
    };
    assert_eq!(response.json::<CallCounts>().await.unwrap(), expected);
}

/// Guards against a watch that keeps waiting during an outage as if the store were available.
#[tokio::test]
async fn outage_ends_waiting_watches() {
    let (server, client) = start().await;
    for (outage, expect_response) in [(Outage::Refuse, true), (Outage::Hang, false)] {
        let waiting = tokio::spawn(watch(&server, &client).send());
        tokio::time::sleep(Duration::from_millis(50)).await;
        let faults = StoreFaults {
            outage: Some(outage),
            ..StoreFaults::default()
        };
        set_faults(&server, &client, &faults).await;
        let status = waiting.await.unwrap().map(|response| response.status());
        assert_eq!(status.is_ok_and(|status| status == 503), expect_response);
        set_faults(&server, &client, &StoreFaults::default()).await;
    }
}

/// Guards against a configured delay that is not applied.
#[tokio::test]
async fn slow_ms_delays_each_response() {
    let (server, client) = start().await;
    let slow = StoreFaults {
        slow_ms: 100,
        ..StoreFaults::default()
    };
    set_faults(&server, &client, &slow).await;
    let started = Instant::now();
    put(&server, &client).send().await.unwrap();
    assert!(started.elapsed() >= Duration::from_millis(100));
}
