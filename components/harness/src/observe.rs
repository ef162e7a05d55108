//! What a deployment tells about itself: metrics, revisions and the command line.

use std::path::Path;
use std::process::Output;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde_json::Value;

use crate::deployment::Deployment;
use crate::{Error, Result};

/// How often a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The metrics of one process by name with labels.
pub type Metrics = IndexMap<Box<str>, f64>;

impl Deployment {
    /// Runs a subcommand of `limpethook config` on the store of this deployment.
    pub async fn config(&self, args: &[&str]) -> Result<Output> {
        let mut command = tokio::process::Command::new(&self.programs().limpethook);
        command.arg("config").args(args);
        if args[0] != "check" {
            command.args(["--store", &self.store_url]);
        }
        Ok(command.output().await?)
    }

    /// Returns the settings of a process, such as `agent-0`.
    pub fn settings(&self, name: &str) -> Result<Value> {
        let file = self.dir.join("settings").join(format!("{name}.json"));
        Ok(serde_json::from_str(&std::fs::read_to_string(file)?)?)
    }

    /// Returns the metrics of a process.
    pub async fn metrics(&self, name: &str) -> Result<Metrics> {
        let settings = self.settings(name)?;
        let addr = ["metrics_listen", "http_listen"]
            .iter()
            .find_map(|key| settings[key].as_str())
            .ok_or("no address for metrics")?;
        let text = self.read_text(&format!("http://{addr}/metrics")).await?;
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        let metric = |line: &str| {
            let (name, value) = line.rsplit_once(' ')?;
            Some((name.into(), value.parse().ok()?))
        };
        Ok(lines.filter_map(metric).collect())
    }

    /// Returns the configuration revision that a process has in force.
    pub async fn revision(&self, name: &str) -> Result<u64> {
        let metrics = self.metrics(name).await?;
        let found = metrics
            .iter()
            .find(|(name, _)| name.ends_with("_config_revision"));
        let (_, revision) = found.ok_or("no revision")?;
        // A revision of a test is far below the whole numbers that a float holds.
        format!("{revision:.0}").parse().map_err(Error::from)
    }

    /// Waits until every process has a revision in force, and returns how long that took.
    pub async fn wait_for_revision(&self, revision: u64, limit: Duration) -> Result<Duration> {
        let started = Instant::now();
        let names = self.entries.keys().chain(self.agents.keys());
        for name in names {
            while self.revision(name).await.unwrap_or(0) < revision {
                if started.elapsed() > limit {
                    return Err(format!("{name} lacks revision {revision} after {limit:?}").into());
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(started.elapsed())
    }

    /// Writes a document file beside the settings.
    pub fn write_document(&self, name: &str, document: &Value) -> Result<Box<str>> {
        let file = self.dir.join(name);
        std::fs::write(&file, document.to_string())?;
        Ok(text(&file).into())
    }
}

fn text(path: &Path) -> String {
    path.display().to_string()
}
