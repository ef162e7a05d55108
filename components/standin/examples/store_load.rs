//! Measures the throughput and latency of `HttpStore` with the simulated key-value service over loopback.
//!
//! Run with `cargo run --release -p standin --example store_load -- [CALLERS] [CALLS per caller] [VALUE BYTES]`

use std::time::{Duration, Instant};

use bytes::Bytes;
use standin::{StoreSettings, start_store};
use store::{Expect, HttpStore, HttpStoreSettings, KvStore};
use timer::Timer;

#[tokio::main]
async fn main() {
    let mut args = std::env::args().skip(1).filter_map(|arg| arg.parse().ok());
    let callers = args.next().unwrap_or(1);
    let calls = args.next().unwrap_or(5_000);
    let value = Bytes::from(vec![7; args.next().unwrap_or(1_000)]);
    let server = start_store(&StoreSettings::default(), &Timer::start())
        .await
        .expect("failed to start the key-value service");
    for write in [true, false] {
        let started = Instant::now();
        let mut caller_tasks = tokio::task::JoinSet::new();
        for caller in 0..callers {
            let store = HttpStore::new(&HttpStoreSettings::new(server.base_url()));
            let store = store.expect("failed to create the store client");
            caller_tasks.spawn(run_calls(
                store,
                write,
                format!("k/{caller}"),
                calls,
                value.clone(),
            ));
        }
        let mut latencies = caller_tasks.join_all().await.concat();
        let elapsed = started.elapsed();
        latencies.sort();
        println!(
            "write={write} callers={callers} bytes={} per_second={} p50_us={} p99_us={}",
            value.len(),
            latencies.len() as u128 * 1_000_000 / elapsed.as_micros().max(1),
            latencies[latencies.len() / 2].as_micros(),
            latencies[latencies.len() * 99 / 100].as_micros(),
        );
    }
}

/// Sends calls sequentially and returns their latencies.
async fn run_calls(
    store: HttpStore,
    write: bool,
    key: String,
    calls: usize,
    value: Bytes,
) -> Vec<Duration> {
    let mut latencies = Vec::with_capacity(calls);
    for _ in 0..calls {
        let sent = Instant::now();
        if write {
            let put = store.put(&key, value.clone(), Expect::Any, None).await;
            put.expect("the write failed");
        } else {
            store.get(&key).await.expect("the read failed");
        }
        latencies.push(sent.elapsed());
    }
    latencies
}
