//! Observation of a deployment: metrics, configuration revisions and the command line tool.

use std::path::Path;
use std::process::Output;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde_json::Value;

use crate::deployment::Deployment;
use crate::{Error, Result};

/// Interval at which a revision is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The metrics of one process, by name including labels.
pub type Metrics = IndexMap<Box<str>, f64>;

impl Deployment {
    /// Runs a subcommand of `limpethook config` against the store of this deployment.
    pub async fn config(&self, args: &[&str]) -> Result<Output> {
        let mut command = tokio::process::Command::new(&self.programs().limpethook);
        command.arg("config").args(args);
        if args[0] != "check" {
            command.args(["--store", &self.store_url]);
        }
        Ok(command.output().await?)
    }

    /// Returns the settings of a process, for example `agent-0`.
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
            .ok_or("the settings contain no metrics address")?;
        let text = self.get_text(&format!("http://{addr}/metrics")).await?;
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        let parse_metric = |line: &str| {
            let (name, value) = line.rsplit_once(' ')?;
            Some((name.into(), value.parse().ok()?))
        };
        Ok(lines.filter_map(parse_metric).collect())
    }

    /// Returns the configuration revision that a process has applied.
    pub async fn revision(&self, name: &str) -> Result<u64> {
        let metrics = self.metrics(name).await?;
        let found = metrics
            .iter()
            .find(|(name, _)| name.ends_with("_config_revision"));
        let (_, revision) = found.ok_or("the metrics contain no configuration revision")?;
        // Revisions in tests are far below the largest integer that `f64` represents exactly.
        format!("{revision:.0}").parse().map_err(Error::from)
    }

    /// Waits until every process has applied a revision, and returns the elapsed time.
    pub async fn wait_for_revision(&self, revision: u64, timeout: Duration) -> Result<Duration> {
        let started = Instant::now();
        let names = self.entries.keys().chain(self.agents.keys());
        for name in names {
            while self.revision(name).await.unwrap_or(0) < revision {
                if started.elapsed() > timeout {
                    return Err(format!(
                        "{name} did not apply revision {revision} within {timeout:?}"
                    )
                    .into());
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(started.elapsed())
    }

    /// Writes a configuration document to a file in the deployment folder and returns its path.
    pub fn write_document(&self, name: &str, document: &Value) -> Result<Box<str>> {
        let file = self.dir.join(name);
        std::fs::write(&file, document.to_string())?;
        Ok(path_string(&file).into())
    }
}

fn path_string(path: &Path) -> String {
    path.display().to_string()
}
