//! Measures where compressing an answer pays on the link between regions.

use std::time::{Duration, Instant};

use serde_json::json;

/// The link carries 30 Mbit/s.
const LINK_BYTES_PER_SECOND: i64 = 30_000_000 / 8;
const ROUNDS: u32 = 20;

fn main() {
    println!("kind bytes packed compress_us decompress_us link_saved_us");
    for size in [256, 1024, 4096, 16_384, 65_536, 1_048_576] {
        measure("json", &numbers(size));
        measure("random", &random(size));
    }
}

fn measure(kind: &str, body: &[u8]) {
    let (packed, took) = timed(|| zstd::bulk::compress(body, 1).unwrap_or_default());
    let (_, back) = timed(|| zstd::bulk::decompress(&packed, body.len()));
    print(kind, body, &packed, took, back);
}

fn print(kind: &str, body: &[u8], packed: &[u8], took: Duration, back: Duration) {
    let bytes = i64::try_from(body.len() - packed.len().min(body.len())).unwrap_or_default();
    let saved = bytes * 1_000_000 / LINK_BYTES_PER_SECOND;
    println!(
        "{kind} {} {} {} {} {saved}",
        body.len(),
        packed.len(),
        took.as_micros(),
        back.as_micros()
    );
}

fn timed<T>(run: impl Fn() -> T) -> (T, Duration) {
    let mut result = run();
    let started = Instant::now();
    for _ in 0..ROUNDS {
        result = run();
    }
    (result, started.elapsed() / ROUNDS)
}

/// Returns JSON with numbers, as a simulation of a curvature answers.
fn numbers(size: usize) -> Vec<u8> {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut body = Vec::new();
    while body.len() < size {
        let point = json!({"x_mm": rng.u32(..100_000), "curvature": rng.f64(), "within": true});
        body.extend_from_slice(point.to_string().as_bytes());
    }
    body.truncate(size);
    body
}

fn random(size: usize) -> Vec<u8> {
    let mut rng = fastrand::Rng::with_seed(1);
    (0..size).map(|_| rng.u8(..)).collect()
}
