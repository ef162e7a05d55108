//! Measures from which size on compressing an answer saves time on the link between regions.

use std::time::{Duration, Instant};

use serde_json::json;

/// Capacity of the link between regions, 30 Mbit/s.
const LINK_BYTES_PER_SECOND: i64 = 30_000_000 / 8;
const ROUNDS: u32 = 20;

fn main() {
    println!("kind bytes packed compress_us decompress_us link_saved_us");
    for size in [256, 1024, 4096, 16_384, 65_536, 1_048_576] {
        measure("json", &numeric_json(size));
        measure("random", &random_bytes(size));
    }
}

fn measure(kind: &str, body: &[u8]) {
    let (compressed, compress_time) =
        mean_time(|| zstd::bulk::compress(body, 1).unwrap_or_default());
    let (_, decompress_time) = mean_time(|| zstd::bulk::decompress(&compressed, body.len()));
    print(kind, body, &compressed, compress_time, decompress_time);
}

fn print(
    kind: &str,
    body: &[u8],
    compressed: &[u8],
    compress_time: Duration,
    decompress_time: Duration,
) {
    let saved_bytes =
        i64::try_from(body.len() - compressed.len().min(body.len())).unwrap_or_default();
    let link_saved_us = saved_bytes * 1_000_000 / LINK_BYTES_PER_SECOND;
    println!(
        "{kind} {} {} {} {} {link_saved_us}",
        body.len(),
        compressed.len(),
        compress_time.as_micros(),
        decompress_time.as_micros()
    );
}

/// Runs a function repeatedly, the first time without measuring it, and returns its result and mean run time.
fn mean_time<T>(run: impl Fn() -> T) -> (T, Duration) {
    let mut result = run();
    let started = Instant::now();
    for _ in 0..ROUNDS {
        result = run();
    }
    (result, started.elapsed() / ROUNDS)
}

/// Returns JSON with numbers, similar to the answer of a service that simulates curvature.
fn numeric_json(size: usize) -> Vec<u8> {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut body = Vec::new();
    while body.len() < size {
        let point = json!({"x_mm": rng.u32(..100_000), "curvature": rng.f64(), "within": true});
        body.extend_from_slice(point.to_string().as_bytes());
    }
    body.truncate(size);
    body
}

fn random_bytes(size: usize) -> Vec<u8> {
    let mut rng = fastrand::Rng::with_seed(1);
    (0..size).map(|_| rng.u8(..)).collect()
}
