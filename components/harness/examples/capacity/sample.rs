//! Resource usage of a process and of the store over an interval.

use std::time::{Duration, Instant};

use harness::{Deployment, Process, Result};

const TRAFFIC_KINDS: [&str; 3] = ["datagrams", "calls", "store"];

/// The counters of a process at one point in time.
#[derive(Debug, Clone)]
pub(crate) struct Sample {
    at: Instant,
    cpu_time: Duration,
    /// Resident memory in kilobytes.
    pub(crate) resident_kb: u64,
    /// Bytes sent and received, for each kind in [`TRAFFIC_KINDS`].
    bytes: [f64; 3],
    store_calls: f64,
}

/// The resource usage of a process per second.
#[derive(Debug, Clone)]
pub(crate) struct Usage {
    /// CPU time in percent of one core.
    pub(crate) core_percent: f64,
    /// Resident memory in megabytes.
    pub(crate) resident_mb: f64,
    /// Bytes per second, sent and received, for each kind in [`TRAFFIC_KINDS`].
    pub(crate) bytes: [f64; 3],
    /// Calls of all processes to the store, per second.
    pub(crate) store_calls: f64,
}

/// Returns the process of an entry or an agent.
fn process<'a>(deployment: &'a Deployment, name: &str) -> Result<&'a Process> {
    let found = deployment.entries.get(name);
    let found = found.or_else(|| deployment.agents.get(name));
    found.ok_or_else(|| format!("no process {name}").into())
}

/// Reads the counters of a process.
pub(crate) async fn sample(deployment: &Deployment, name: &str) -> Result<Sample> {
    let process = process(deployment, name)?;
    let metrics = deployment.metrics(name).await?;
    let bytes = TRAFFIC_KINDS.map(|kind| {
        let prefix = format!("limpethook_traffic_bytes_total{{kind=\"{kind}\"");
        let matching = metrics.iter().filter(|(name, _)| name.starts_with(&prefix));
        matching.map(|(_, value)| value).sum()
    });
    let url = format!("{}/control/counts", deployment.store_url);
    let counts = deployment.read_control(&url).await?;
    let counts = counts.as_object().ok_or("no counts")?;
    Ok(Sample {
        at: Instant::now(),
        cpu_time: process.cpu_time().unwrap_or_default(),
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
    /// Returns the usage per second between an earlier sample and this one.
    pub(crate) fn since(&self, before: &Self) -> Usage {
        let seconds = (self.at - before.at).as_secs_f64();
        let cpu_time = self.cpu_time.saturating_sub(before.cpu_time);
        let mut bytes = self.bytes;
        for (after, before) in bytes.iter_mut().zip(before.bytes) {
            *after = (*after - before) / seconds;
        }
        Usage {
            core_percent: cpu_time.as_secs_f64() / seconds * 100.0,
            resident_mb: f64::from(u32::try_from(self.resident_kb).unwrap_or(u32::MAX)) / 1024.0,
            bytes,
            store_calls: (self.store_calls - before.store_calls) / seconds,
        }
    }
}

/// Prints one row of a table.
pub(crate) fn print_row(label: &str, role: &str, usage: &Usage) {
    let [datagrams, calls, store] = usage.bytes;
    println!(
        "| {label} | {role} | {:.2} | {:.1} | {datagrams:.0} | {calls:.0} | {store:.0} | {:.1} |",
        usage.core_percent, usage.resident_mb, usage.store_calls
    );
}

/// Prints the title and the header of a table.
pub(crate) fn print_header(title: &str) {
    println!("\n{title}\n");
    println!(
        "| case | role | core % | MB | datagram B/s | call B/s | store B/s | store calls/s (all) |"
    );
    println!("|---|---|---|---|---|---|---|---|");
}
