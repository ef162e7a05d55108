//! Start and shutdown of the processes of one deployment.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde_json::Value;

use crate::plan::Plan;
use crate::process::Process;
use crate::{Error, Result};

/// Timeout of each step of a start: applying the configuration, and waiting until every entry knows every endpoint.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);
const HTTP_TIMEOUT: Duration = Duration::from_secs(2);
/// Environment variable that keeps the settings and logs of temporary deployments.
const KEEP_LOGS_VAR: &str = "LIMPETHOOK_KEEP_LOGS";
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// The paths of the programs.
#[derive(Debug, Clone)]
pub struct Programs {
    /// The program under test.
    pub limpethook: PathBuf,
    /// The stand-in for the platform.
    pub standin: PathBuf,
}

impl Programs {
    /// Finds both programs in the folder of the current executable or in a folder above it.
    pub fn locate() -> Result<Self> {
        let current = std::env::current_exe()?;
        let dir = current
            .ancestors()
            .skip(1)
            .find(|dir| dir.join("limpethook").is_file());
        let dir = dir.ok_or("limpethook is not built; run cargo build --workspace first")?;
        Ok(Self {
            limpethook: dir.join("limpethook"),
            standin: dir.join("standin"),
        })
    }
}

/// A deployment of separate processes.
#[derive(Debug)]
pub struct Deployment {
    /// The process of the stand-in platform.
    pub standin: Process,
    /// The entry processes by id.
    pub entries: IndexMap<Box<str>, Process>,
    /// The agent processes by id.
    pub agents: IndexMap<Box<str>, Process>,
    /// The base URLs of the entries.
    pub entry_urls: Vec<Box<str>>,
    /// The base URLs of the endpoints.
    pub endpoint_urls: Vec<Box<str>>,
    /// The base URL of the store.
    pub store_url: Box<str>,
    /// The base URL of the workers.
    pub workers_url: Box<str>,
    /// The folder with the log files. For a temporary deployment, it contains the settings as well.
    pub dir: PathBuf,
    programs: Programs,
    http: reqwest::Client,
    remove_dir_on_drop: bool,
}

impl Deployment {
    /// Writes the settings of a plan to a new temporary folder and starts the deployment.
    pub async fn start(plan: &Plan, programs: &Programs) -> Result<Self> {
        let dir = std::env::temp_dir().join(format!(
            "limpethook-{}-{:08x}",
            std::process::id(),
            fastrand::u32(..)
        ));
        plan.write(&dir)?;
        let mut deployment = Self::start_dir(&dir, &dir, programs).await?;
        deployment.remove_dir_on_drop = true;
        Ok(deployment)
    }

    /// Starts the deployment whose settings are in `source` and writes its log files to `logs`.
    pub async fn start_dir(source: &Path, logs: &Path, programs: &Programs) -> Result<Self> {
        std::fs::create_dir_all(logs)?;
        let settings = source.join("settings");
        let standin_settings_file = settings.join("standin.json");
        let standin_settings = read_json(&standin_settings_file)?;
        let standin_args = ["--settings", path_str(&standin_settings_file)?];
        let standin = Process::start(
            "standin",
            &programs.standin,
            &standin_args,
            &logs.join("standin.log"),
        )?;
        let store_url = listen_url(&standin_settings["store"])?;
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(HTTP_TIMEOUT)
            .build()?;
        let mut deployment = Self {
            standin,
            entries: IndexMap::new(),
            agents: IndexMap::new(),
            entry_urls: Vec::new(),
            endpoint_urls: endpoint_urls(&standin_settings)?,
            workers_url: listen_url(&standin_settings["workers"])?,
            store_url,
            dir: logs.to_owned(),
            programs: programs.clone(),
            http,
            remove_dir_on_drop: false,
        };
        deployment
            .apply_config(&source.join("configuration.json"))
            .await?;
        for file in settings_files(&settings)? {
            deployment.start_process(&file)?;
        }
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Starts the entry or agent that a settings file configures.
    pub fn start_process(&mut self, file: &Path) -> Result<()> {
        let name: Box<str> = file
            .file_stem()
            .and_then(|stem| stem.to_str())
            .ok_or("the name of a settings file is not UTF-8")?
            .into();
        let settings = read_json(file)?;
        let kind = if name.starts_with("entry") {
            "entry"
        } else {
            "agent"
        };
        let args = [kind, "--settings", path_str(file)?];
        let log = self.dir.join(format!("{name}.log"));
        let process = Process::start(&name, &self.programs.limpethook, &args, &log)?;
        if kind == "entry" {
            let url = format!(
                "http://{}",
                settings["http_listen"].as_str().unwrap_or_default()
            );
            if !self.entry_urls.iter().any(|existing| **existing == *url) {
                self.entry_urls.push(url.into());
            }
            self.entries.insert(name, process);
        } else {
            self.agents.insert(name, process);
        }
        Ok(())
    }

    /// Restarts an exited process by its id, for example `entry-0`.
    pub fn restart(&mut self, name: &str) -> Result<()> {
        let file = self.dir.join("settings").join(format!("{name}.json"));
        self.start_process(&file)
    }

    /// Applies a configuration document with the command line tool, and retries until the store responds.
    pub async fn apply_config(&self, file: &Path) -> Result<()> {
        let args = [
            "config",
            "apply",
            path_str(file)?,
            "--store",
            &self.store_url,
        ];
        let started = Instant::now();
        loop {
            let output = tokio::process::Command::new(&self.programs.limpethook)
                .args(args)
                .output()
                .await?;
            if output.status.success() {
                return Ok(());
            }
            if started.elapsed() > READY_TIMEOUT {
                let stdout = String::from_utf8_lossy(&output.stdout);
                return Err(format!(
                    "config apply failed: {stdout}{}",
                    String::from_utf8_lossy(&output.stderr)
                )
                .into());
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }

    /// Waits until every entry reports every endpoint.
    pub async fn wait_until_ready(&self) -> Result<()> {
        let started = Instant::now();
        loop {
            if self.is_ready().await {
                return Ok(());
            }
            if started.elapsed() > READY_TIMEOUT {
                return Err(format!(
                    "deployment is not ready after {READY_TIMEOUT:?}; logs are in {}",
                    self.dir.display()
                )
                .into());
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    }

    async fn is_ready(&self) -> bool {
        for url in &self.entry_urls {
            let endpoints = match self.status(url).await {
                Ok(status) => status["endpoints"].as_array().map_or(0, Vec::len),
                Err(_) => return false,
            };
            if endpoints < self.endpoint_urls.len() {
                return false;
            }
        }
        true
    }

    /// Returns the status of an entry.
    pub async fn status(&self, entry_url: &str) -> Result<Value> {
        Ok(self
            .http
            .get(format!("{entry_url}/v1/status"))
            .send()
            .await?
            .error_for_status()?
            .json()
            .await?)
    }

    /// Sends a control request to the stand-in platform, for example to set faults of the store.
    pub async fn post_control(&self, url: &str, body: &Value) -> Result<()> {
        self.http
            .post(url)
            .json(body)
            .send()
            .await?
            .error_for_status()?;
        Ok(())
    }

    /// Sends a `GET` request to a control path of the stand-in platform and returns the JSON response.
    pub async fn read_control(&self, url: &str) -> Result<Value> {
        Ok(self
            .http
            .get(url)
            .send()
            .await?
            .error_for_status()?
            .json()
            .await?)
    }

    /// Sends a `GET` request and returns the response body as text.
    pub(crate) async fn get_text(&self, url: &str) -> Result<String> {
        let response = self.http.get(url).send().await?.error_for_status()?;
        Ok(response.text().await?)
    }

    /// Returns the paths of the programs.
    pub(crate) fn programs(&self) -> &Programs {
        &self.programs
    }

    /// Stops the entries and then the agents with SIGTERM, and kills the stand-in platform.
    ///
    /// Returns the names of the processes that did not exit successfully in time.
    pub async fn stop(mut self) -> Result<Vec<Box<str>>> {
        let mut failed = Vec::new();
        let processes = self.entries.values_mut().chain(self.agents.values_mut());
        for process in processes {
            process.signal("TERM")?;
            if !process
                .wait(STOP_TIMEOUT)
                .await
                .is_ok_and(|status| status.success())
            {
                failed.push(process.name.clone());
            }
        }
        self.standin.kill()?;
        Ok(failed)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let keep = std::env::var_os(KEEP_LOGS_VAR).is_some() || std::thread::panicking();
        if self.remove_dir_on_drop && !keep {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

fn settings_files(dir: &Path) -> Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for file in std::fs::read_dir(dir)? {
        let path = file?.path();
        if path.file_stem().is_some_and(|stem| stem != "standin") {
            files.push(path);
        }
    }
    // Entries start first, so that agents find an owner immediately.
    files.sort_by_key(|path| {
        (
            path.file_stem()
                .is_some_and(|s| s.to_string_lossy().starts_with("agent")),
            path.clone(),
        )
    });
    Ok(files)
}

fn endpoint_urls(standin: &Value) -> Result<Vec<Box<str>>> {
    let endpoints = standin["endpoints"]
        .as_object()
        .ok_or("the settings of the stand-in contain no endpoints")?;
    endpoints.values().map(listen_url).collect()
}

fn listen_url(section: &Value) -> Result<Box<str>> {
    let addr = section["listen"]
        .as_str()
        .ok_or("the settings of the stand-in contain no listen address")?;
    Ok(format!("http://{addr}").into())
}

fn read_json(path: &Path) -> Result<Value> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    serde_json::from_str(&text).map_err(|e| Error::from(format!("{}: {e}", path.display())))
}

fn path_str(path: &Path) -> Result<&str> {
    path.to_str()
        .ok_or_else(|| format!("{} is not UTF-8", path.display()).into())
}
