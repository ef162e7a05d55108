//! What one process and the store cost over a span of time.

use std::time::{Duration, Instant};

use harness::{Deployment, Process, Result};

const KINDS: [&str; 3] = ["datagrams", "calls", "store"];

/// The counters of a process at one moment.
#[derive(Debug, Clone)]
pub(crate) struct Sample {
    at: Instant,
    processor: Duration,
    /// Resident memory in kilobytes.
    pub(crate) resident_kb: u64,
    /// Bytes sent and received, for each kind of traffic.
    bytes: [f64; 3],
    store_calls: f64,
}

/// The cost of a process per second.
#[derive(Debug, Clone)]
pub(crate) struct Cost {
    /// Processor time in percent of one core.
    pub(crate) core_percent: f64,
    /// Resident memory in megabytes.
    pub(crate) resident_mb: f64,
    /// Bytes per second, sent and received, of datagrams, calls and the store.
    pub(crate) bytes: [f64; 3],
    /// Calls of the store by all processes, per second.
    pub(crate) store_calls: f64,
}

/// Returns the process of an entry or of an agent.
fn process<'a>(deployment: &'a Deployment, name: &str) -> Result<&'a Process> {
    let found = deployment.entries.get(name);
    let found = found.or_else(|| deployment.agents.get(name));
    found.ok_or_else(|| format!("no process {name}").into())
}

/// Reads the counters of a process.
pub(crate) async fn sample(deployment: &Deployment, name: &str) -> Result<Sample> {
    let process = process(deployment, name)?;
    let metrics = deployment.metrics(name).await?;
    let bytes = KINDS.map(|kind| {
        let prefix = format!("limpethook_traffic_bytes_total{{kind=\"{kind}\"");
        let both = metrics.iter().filter(|(name, _)| name.starts_with(&prefix));
        both.map(|(_, value)| value).sum()
    });
    let url = format!("{}/control/counts", deployment.store_url);
    let counts = deployment.read_control(&url).await?;
    let counts = counts.as_object().ok_or("no counts")?;
    Ok(Sample {
        at: Instant::now(),
        processor: process.cpu_time().unwrap_or_default(),
        resident_kb: process.resident_kb().unwrap_or(0),
        bytes,
        store_calls: counts.values().filter_map(serde_json::Value::as_f64).sum(),
    })
}

/// Reads the counters of several processes.
pub(crate) async fn samples(deployment: &Deployment, names: &[&str]) -> Result<Vec<Sample>> {
    let mut list = Vec::new();
    for name in names {
        list.push(sample(deployment, name).await?);
    }
    Ok(list)
}

impl Sample {
    /// Returns the cost per second from an earlier sample to this one.
    pub(crate) fn since(&self, before: &Self) -> Cost {
        let seconds = (self.at - before.at).as_secs_f64();
        let processor = self.processor.saturating_sub(before.processor);
        let mut bytes = self.bytes;
        for (after, before) in bytes.iter_mut().zip(before.bytes) {
            *after = (*after - before) / seconds;
        }
        Cost {
            core_percent: processor.as_secs_f64() / seconds * 100.0,
            resident_mb: f64::from(u32::try_from(self.resident_kb).unwrap_or(u32::MAX)) / 1024.0,
            bytes,
            store_calls: (self.store_calls - before.store_calls) / seconds,
        }
    }
}

/// Prints one row of the table.
pub(crate) fn print(label: &str, role: &str, cost: &Cost) {
    let [datagrams, calls, store] = cost.bytes;
    println!(
        "| {label} | {role} | {:.2} | {:.1} | {datagrams:.0} | {calls:.0} | {store:.0} | {:.1} |",
        cost.core_percent, cost.resident_mb, cost.store_calls
    );
}

/// Prints the head of the table.
pub(crate) fn print_head(title: &str) {
    println!("\n{title}\n");
    println!(
        "| case | role | core % | MB | datagram B/s | call B/s | store B/s | store calls/s (all) |"
    );
    println!("|---|---|---|---|---|---|---|---|");
}
