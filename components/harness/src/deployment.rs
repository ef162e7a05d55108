//! All processes of one deployment.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde_json::Value;

use crate::plan::Plan;
use crate::process::Process;
use crate::{Error, Result};

/// How long all processes may take until every endpoint is known at every entry.
const READY_LIMIT: Duration = Duration::from_secs(20);
const READY_INTERVAL: Duration = Duration::from_millis(50);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// When this variable is set, settings and logs of temporary deployments stay.
const KEEP_LOGS: &str = "LIMPETHOOK_KEEP_LOGS";
const STOP_LIMIT: Duration = Duration::from_secs(10);

/// Where the programs are.
#[derive(Debug, Clone)]
pub struct Programs {
    /// The program under test.
    pub limpethook: PathBuf,
    /// The stand-in platform.
    pub standin: PathBuf,
}

impl Programs {
    /// Finds both programs in the folder of the running program or above it.
    pub fn beside_current() -> Result<Self> {
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
    /// The stand-in platform.
    pub standin: Process,
    /// The entries by id.
    pub entries: IndexMap<Box<str>, Process>,
    /// The agents by id.
    pub agents: IndexMap<Box<str>, Process>,
    /// The base URLs of the entries.
    pub entry_urls: Vec<Box<str>>,
    /// The base URLs of the endpoints.
    pub endpoint_urls: Vec<Box<str>>,
    /// The URL of the store.
    pub store_url: Box<str>,
    /// The URL of the workers.
    pub workers_url: Box<str>,
    /// The folder with settings and logs.
    pub dir: PathBuf,
    programs: Programs,
    http: reqwest::Client,
    remove_dir: bool,
}

impl Deployment {
    /// Starts a planned deployment in a new temporary folder.
    pub async fn start(plan: &Plan, programs: &Programs) -> Result<Self> {
        let dir = std::env::temp_dir().join(format!(
            "limpethook-{}-{:08x}",
            std::process::id(),
            fastrand::u32(..)
        ));
        plan.write(&dir)?;
        let mut deployment = Self::start_dir(&dir, &dir, programs).await?;
        deployment.remove_dir = true;
        Ok(deployment)
    }

    /// Starts the deployment whose settings are in a folder; logs go to another one.
    pub async fn start_dir(source: &Path, logs: &Path, programs: &Programs) -> Result<Self> {
        std::fs::create_dir_all(logs)?;
        let settings = source.join("settings");
        let standin_file = settings.join("standin.json");
        let standin_settings = read_json(&standin_file)?;
        let standin_args = ["--settings", path_text(&standin_file)?];
        let standin = Process::start(
            "standin",
            &programs.standin,
            &standin_args,
            &logs.join("standin.log"),
        )?;
        let store_url = listen_url(&standin_settings["store"])?;
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(CALL_TIMEOUT)
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
            remove_dir: false,
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

    /// Starts the entry or agent of a settings file.
    pub fn start_process(&mut self, file: &Path) -> Result<()> {
        let name: Box<str> = file
            .file_stem()
            .and_then(|stem| stem.to_str())
            .ok_or("file name")?
            .into();
        let settings = read_json(file)?;
        let kind = if name.starts_with("entry") {
            "entry"
        } else {
            "agent"
        };
        let args = [kind, "--settings", path_text(file)?];
        let log = self.dir.join(format!("{name}.log"));
        let process = Process::start(&name, &self.programs.limpethook, &args, &log)?;
        if kind == "entry" {
            let url = format!(
                "http://{}",
                settings["http_listen"].as_str().unwrap_or_default()
            );
            if !self.entry_urls.iter().any(|known| **known == *url) {
                self.entry_urls.push(url.into());
            }
            self.entries.insert(name, process);
        } else {
            self.agents.insert(name, process);
        }
        Ok(())
    }

    /// Starts a process again after it ended; `name` is such as `entry-0`.
    pub fn restart(&mut self, name: &str) -> Result<()> {
        let file = self.dir.join("settings").join(format!("{name}.json"));
        self.start_process(&file)
    }

    /// Applies a configuration document with the command line, once the store answers.
    pub async fn apply_config(&self, file: &Path) -> Result<()> {
        let args = [
            "config",
            "apply",
            path_text(file)?,
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
            if started.elapsed() > READY_LIMIT {
                let text = String::from_utf8_lossy(&output.stdout);
                return Err(format!(
                    "config apply: {text}{}",
                    String::from_utf8_lossy(&output.stderr)
                )
                .into());
            }
            tokio::time::sleep(READY_INTERVAL).await;
        }
    }

    /// Waits until every entry knows every endpoint.
    pub async fn wait_until_ready(&self) -> Result<()> {
        let started = Instant::now();
        loop {
            if self.is_ready().await {
                return Ok(());
            }
            if started.elapsed() > READY_LIMIT {
                return Err(format!(
                    "not ready within {READY_LIMIT:?}; logs are in {}",
                    self.dir.display()
                )
                .into());
            }
            tokio::time::sleep(READY_INTERVAL).await;
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

    /// Sends a control call to the stand-in platform, such as faults of the store.
    pub async fn control(&self, url: &str, body: &Value) -> Result<()> {
        self.http
            .post(url)
            .json(body)
            .send()
            .await?
            .error_for_status()?;
        Ok(())
    }

    /// Reads a control page of the stand-in platform.
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

    /// Reads a page as text.
    pub(crate) async fn read_text(&self, url: &str) -> Result<String> {
        let answer = self.http.get(url).send().await?.error_for_status()?;
        Ok(answer.text().await?)
    }

    /// Returns where the programs are.
    pub(crate) fn programs(&self) -> &Programs {
        &self.programs
    }

    /// Ends all processes gracefully, the agents last, and returns the names of those that were cut off.
    pub async fn stop(mut self) -> Result<Vec<Box<str>>> {
        let mut cut_off = Vec::new();
        let processes = self.entries.values_mut().chain(self.agents.values_mut());
        for process in processes {
            process.signal("TERM")?;
            if !process
                .wait(STOP_LIMIT)
                .await
                .is_ok_and(|status| status.success())
            {
                cut_off.push(process.name.clone());
            }
        }
        self.standin.kill()?;
        Ok(cut_off)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let keep = std::env::var_os(KEEP_LOGS).is_some() || std::thread::panicking();
        if self.remove_dir && !keep {
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
    // Entries start first, so that agents find an owner at once.
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
    let endpoints = standin["endpoints"].as_object().ok_or("no endpoints")?;
    endpoints.values().map(listen_url).collect()
}

fn listen_url(part: &Value) -> Result<Box<str>> {
    let addr = part["listen"].as_str().ok_or("no listen address")?;
    Ok(format!("http://{addr}").into())
}

fn read_json(path: &Path) -> Result<Value> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    serde_json::from_str(&text).map_err(|e| Error::from(format!("{}: {e}", path.display())))
}

fn path_text(path: &Path) -> Result<&str> {
    path.to_str()
        .ok_or_else(|| format!("{} is not UTF-8", path.display()).into())
}
