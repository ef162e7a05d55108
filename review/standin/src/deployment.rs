//! A small deployment: the project's own programs as processes on loopback, beside the stand-ins.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use harness::Process;
use reqwest::{Method, StatusCode};
use serde_json::{Value, json};

use crate::Result;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Gangs, Kind, Worker};

const FRONT_PORT: u16 = 8521;
const READINESS_PORT: u16 = 8523;
const STORE_PORT: u16 = 8524;
const CONTROL_PORT: u16 = 8526;
const APP_PORT: u16 = 8529;
const INTERNAL_PORTS: (u16, u16) = (7000, 7015);
const STORE_HOST: u8 = 250;
const FIRST_AGENT_HOST: u8 = 100;
/// Workers in a rack, as on the users' sheets.
const WORKERS_PER_RACK: usize = 3;
pub(crate) const SERVICE: &str = "layout";
const HOST: &str = "queues.example";
/// Key of the only tenant.
const KEY: &str = "key-of-prairie";
/// How long clients wait for an answer, as on the users' sheets.
const CLIENT_WAIT_MS: u64 = 3000;

/// Size of each worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Size {
    pub(crate) cpu: u32,
    pub(crate) memory_mb: u32,
    pub(crate) gpu: u32,
}

/// A worker of the plotshare sheet: 128 cores, 512 GB, 8 GPUs.
pub(crate) const PLOTSHARE: Size = Size {
    cpu: 128_000,
    memory_mb: 524_288,
    gpu: 8,
};

/// A deployment that runs.
pub(crate) struct Deployment {
    pub(crate) record: Record,
    pub(crate) store: Store,
    pub(crate) workers: Vec<Worker>,
    program: PathBuf,
    dir: PathBuf,
    network: (u8, u8),
    gangs: Gangs,
    entries: Vec<Option<Process>>,
    agents: Vec<Option<Process>>,
}

impl Deployment {
    /// Starts the stand-ins and all processes, and waits until the entries are ready and all workers have been heard.
    pub(crate) async fn start(
        record: &Record,
        entries: usize,
        workers: usize,
        size: Size,
    ) -> Result<Self> {
        let program = std::env::var("LIMPETHOOK").unwrap_or("target/release/limpethook".into());
        let dir = std::env::temp_dir().join(format!("limpethook-review-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let id = std::process::id().to_le_bytes();
        let network = (16 + id[1] % 180, id[0]);
        let store = Store::serve(address(network, STORE_HOST, STORE_PORT), record).await?;
        let mut deployment = Self {
            record: record.clone(),
            store,
            workers: Vec::new(),
            program: program.into(),
            dir,
            network,
            gangs: Gangs::default(),
            entries: (0..entries).map(|_| None).collect(),
            agents: Vec::new(),
        };
        deployment.configure();
        for index in 0..entries {
            deployment.start_entry(index)?;
        }
        for _ in 0..workers {
            deployment.add_worker(size).await?;
        }
        deployment.wait_until_ready().await?;
        // Workers report every 1.5 s.
        tokio::time::sleep(Duration::from_secs(3)).await;
        Ok(deployment)
    }

    fn configure(&self) {
        let route = |name: &str, priority: u32| {
            json!({"name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": "non_idempotent",
                "timeoutMs": CLIENT_WAIT_MS, "targetDurationMs": 1000, "priority": priority,
                "service": SERVICE, "maxAttempts": 4, "stretch": 3.0, "allowAnonymous": false})
        };
        let document = json!({"version": 3, "routes": [route("plan", 0), route("render", 1)],
            "services": [{"name": SERVICE, "enforcesCapacity": false}],
            "limits": {"maxBodyBytes": 262_144},
            "tenants": [{"name": "prairie", "apiKeys": [KEY], "guaranteed": {"gpu": 8}}]});
        self.store.put("op/config", &document);
    }

    fn kind(&self, index: usize, size: Size) -> Kind {
        let host = agent_host(index);
        Kind {
            id: format!("i-{index:04x}"),
            service: SERVICE.into(),
            addr: address(self.network, host, APP_PORT),
            control: address(self.network, host, CONTROL_PORT),
            labels: vec!["a".into(), format!("r{}", index / WORKERS_PER_RACK)],
            cpu: size.cpu,
            memory_mb: size.memory_mb,
            gpu: size.gpu,
            first_report_after: Duration::ZERO,
        }
    }

    /// Returns the index of a worker that is at work on a job.
    pub(crate) fn worker_of(&self, job: &str) -> Result<usize> {
        let ids = self.record.workers_of(job);
        let mut workers = self.workers.iter();
        let found = workers.position(|worker| ids.contains(&worker.kind().id));
        Ok(found.ok_or("the job is not at work")?)
    }

    /// Starts a new life of a worker that has crashed, under the id that it had.
    pub(crate) async fn restart_worker(&mut self, index: usize) -> Result<()> {
        self.restart_worker_reporting_after(index, Duration::ZERO)
            .await
    }

    /// Starts a new life of a worker, which reports for the first time after a while.
    pub(crate) async fn restart_worker_reporting_after(
        &mut self,
        index: usize,
        first_report_after: Duration,
    ) -> Result<()> {
        let mut kind = self.workers[index].kind().clone();
        kind.first_report_after = first_report_after;
        self.workers[index] = Worker::start(kind, self.record.clone(), self.gangs.clone()).await?;
        Ok(())
    }

    pub(crate) fn start_entry(&mut self, index: usize) -> Result<()> {
        let host = entry_host(index);
        let listen = json!({"front": self.text(host, FRONT_PORT),
            "readiness": self.text(host, READINESS_PORT), "control": self.text(host, CONTROL_PORT)});
        let process = self.launch("entry", index, host, &json!({"listen": listen}))?;
        self.entries[index] = Some(process);
        Ok(())
    }

    pub(crate) fn start_agent(&mut self, index: usize) -> Result<()> {
        let host = agent_host(index);
        let own = json!({"listen": {"control": self.text(host, CONTROL_PORT)},
            "app": self.text(host, APP_PORT), "service": SERVICE});
        let process = self.launch("agent", index, host, &own)?;
        self.agents[index] = Some(process);
        Ok(())
    }

    /// Starts an entry at another address.
    pub(crate) fn add_entry(&mut self) -> Result<()> {
        self.entries.push(None);
        self.start_entry(self.entries.len() - 1)
    }

    /// Starts a worker with its agent at another address.
    pub(crate) async fn add_worker(&mut self, size: Size) -> Result<()> {
        let index = self.agents.len();
        self.agents.push(None);
        self.start_agent(index)?;
        let kind = self.kind(index, size);
        let worker = Worker::start(kind, self.record.clone(), self.gangs.clone()).await?;
        self.workers.push(worker);
        Ok(())
    }

    /// Starts a process with the command of the deploy file and settings as the platform writes them.
    fn launch(&self, role: &str, index: usize, host: u8, own: &Value) -> Result<Process> {
        let name = format!("{role}-{index}");
        let seeds: Vec<String> = (0..self.entries.len().min(3))
            .map(|index| self.text(entry_host(index), CONTROL_PORT))
            .collect();
        let mut settings = json!({"node": name, "role": role, "ipAddress": ip(self.network, host).to_string(),
            "zone": "regina", "region": "saskatchewan", "internalPorts": [INTERNAL_PORTS.0, INTERNAL_PORTS.1],
            "seeds": seeds, "bootstrap": true, "heartbeatMs": 1500, "orders": "call",
            "limits": {"cpuShare": if role == "entry" { 0.25 } else { 0.15 }},
            "platform": {"address": self.text(STORE_HOST, STORE_PORT), "form": "kv", "writesPerS": 400,
                "readsPerS": 2000, "historyS": 20, "valueBytes": 1_048_576, "minTtlMs": 1000},
            "bounds": {"maxHoldMs": 6000, "stopMs": 200, "restoreMs": 250, "drainMs": 2500, "graceS": 6,
                "status_s": 120, "slowdownFactor": 3, "gangTimeoutMs": 3000, "checkpointIntervalS": 2}});
        if let (Some(settings), Some(own)) = (settings.as_object_mut(), own.as_object()) {
            settings.extend(own.clone());
        }
        let path = self.dir.join(format!("{name}.conf"));
        std::fs::write(&path, settings.to_string())?;
        let path = path.to_string_lossy();
        let args = ["platform", role, "--settings", &path];
        let log = self.dir.join(format!("{name}.log"));
        let process = Process::start(&name, &self.program, &args, &log)?;
        self.record.line(&format!("process {name} starts"));
        Ok(process)
    }

    fn text(&self, host: u8, port: u16) -> String {
        address(self.network, host, port).to_string()
    }

    pub(crate) fn kill_entry(&mut self, index: usize) {
        self.record
            .line(&format!("process entry-{index} is killed"));
        self.entries[index] = None;
    }

    pub(crate) fn kill_agent(&mut self, index: usize) {
        self.record
            .line(&format!("process agent-{index} is killed"));
        self.agents[index] = None;
    }

    /// Returns the log of a process.
    fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.dir.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Returns the entry that began to lead last, by the logs.
    pub(crate) fn owner(&self) -> Option<usize> {
        let began = |index: &usize| {
            let log = self.log(&format!("entry-{index}"));
            let line = log
                .lines()
                .rev()
                .find(|line| line.contains("event=ownership_begins"));
            let epoch = line
                .and_then(|line| line.split("epoch=").nth(1))
                .map(|epoch| {
                    let digits: String = epoch.chars().take_while(char::is_ascii_digit).collect();
                    digits.parse::<u64>().unwrap_or(0)
                });
            epoch.unwrap_or(0)
        };
        (0..self.entries.len()).max_by_key(began)
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let client = reqwest::Client::builder().no_proxy().build()?;
        for index in 0..self.entries.len() {
            let url = format!(
                "http://{}/readiness",
                self.text(entry_host(index), READINESS_PORT)
            );
            let deadline = Instant::now() + Duration::from_secs(20);
            loop {
                let answer = client
                    .get(&url)
                    .timeout(Duration::from_secs(1))
                    .send()
                    .await;
                if answer.is_ok_and(|answer| answer.status().is_success()) {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(format!("entry {index} did not become ready").into());
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Returns a client of the deployment.
    pub(crate) fn client(&self) -> Result<Client> {
        let http = reqwest::Client::builder().no_proxy();
        Ok(Client {
            record: self.record.clone(),
            http: http
                .timeout(Duration::from_millis(CLIENT_WAIT_MS))
                .build()?,
            fronts: (0..self.entries.len())
                .map(|index| address(self.network, entry_host(index), FRONT_PORT))
                .collect(),
        })
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.entries.clear();
        self.agents.clear();
        if std::env::var("KEEP_LOGS").is_err() {
            // The folder is temporary.
            let _ = std::fs::remove_dir_all(&self.dir);
        } else {
            println!("logs: {}", self.dir.display());
        }
    }
}

fn entry_host(index: usize) -> u8 {
    u8::try_from(index).unwrap_or(u8::MAX) + 1
}

fn agent_host(index: usize) -> u8 {
    u8::try_from(index).unwrap_or(u8::MAX) + FIRST_AGENT_HOST
}

fn ip(network: (u8, u8), host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, network.0, network.1, host))
}

fn address(network: (u8, u8), host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(ip(network, host), port)
}

/// A client of the tenant.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    record: Record,
    http: reqwest::Client,
    fronts: Vec<SocketAddr>,
}

impl Client {
    /// Sends a request to an entry; returns `None` if no answer arrived.
    pub(crate) async fn call(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Option<(StatusCode, Value)> {
        let front = self.fronts[entry % self.fronts.len()];
        let mut req = self
            .http
            .request(method.clone(), format!("http://{front}{path}"));
        req = req.header("Host", HOST).bearer_auth(KEY);
        req = req.header("X-Deadline-Milliseconds", CLIENT_WAIT_MS.to_string());
        if let Some(body) = body {
            req = req.json(body);
        }
        let answer = match req.send().await {
            Ok(answer) => {
                let status = answer.status();
                Some((status, answer.json().await.unwrap_or(Value::Null)))
            }
            Err(_) => None,
        };
        let text = match &answer {
            Some((status, body)) => format!("{} {body}", status.as_u16()),
            None => "no answer".into(),
        };
        self.record
            .line(&format!("client {method} {path} at entry {entry}: {text}"));
        answer
    }

    /// Hands a job in, and again at another entry if it was not accepted; returns whether it was accepted.
    pub(crate) async fn submit(&self, queue: &str, id: &str, body: &Value) -> bool {
        for attempt in 0..4 {
            let path = format!("/{queue}/{id}");
            let answer = self.call(attempt, Method::POST, &path, Some(body)).await;
            if answer.is_some_and(|(status, _)| status.is_success()) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        false
    }

    /// Returns the state of a job as one of the entries shows it.
    pub(crate) async fn state(&self, queue: &str, id: &str) -> String {
        for entry in 0..self.fronts.len() {
            let path = format!("/{queue}/{id}");
            if let Some((status, body)) = self.call(entry, Method::GET, &path, None).await {
                if let Some(state) = body["state"].as_str() {
                    return state.into();
                }
                if status == StatusCode::GONE {
                    return "410".into();
                }
            }
        }
        "no answer".into()
    }

    /// Asks for the state of a job until it has ended or the time is over; returns the last state.
    pub(crate) async fn outcome(&self, queue: &str, id: &str, limit: Duration) -> String {
        let deadline = Instant::now() + limit;
        loop {
            let state = self.state(queue, id).await;
            let ended = matches!(&*state, "completed" | "failed" | "cancelled");
            if ended || Instant::now() > deadline {
                return state;
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    }
}

/// Returns the body of a job with one step.
pub(crate) fn job(specification: &Value, step: &Value) -> Value {
    json!({"specification": specification.to_string(), "steps": [step]})
}
