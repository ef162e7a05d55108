//! A small deployment of separate processes on loopback addresses.

use std::fs::{self, File};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http;
use crate::record::Record;
use crate::store::Store;

/// Program with the subcommands of the deploy file, below the root of the repository.
const PROGRAM: &str = "target/release/limpethook";
/// Name of the service and the host of its queues.
pub const SERVICE: &str = "layout";
const HOST: &str = "queues.example";
const KEY: &str = "key-of-the-tenant";

/// Ports, which are the same on all machines.
#[derive(Clone, Copy)]
struct Ports {
    front: u16,
    readiness: u16,
    control: u16,
    app: u16,
    internal: u16,
    metrics: u16,
    store: u16,
}

/// A process that ends with this value.
pub struct Process(Child);

impl Process {
    /// Starts a process, and notes its id for the script, which ends the processes if this one is ended.
    fn start(command: &mut Command) -> std::io::Result<Self> {
        let child = command.stdin(Stdio::null()).spawn()?;
        let process = Self(child);
        if let Ok(path) = std::env::var("REVIEW_PIDS") {
            let mut file = File::options().create(true).append(true).open(path)?;
            writeln!(file, "{}", process.0.id())?;
        }
        Ok(process)
    }

    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The processes, and the store in this one.
pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub entries: Vec<Option<Process>>,
    pub agents: Vec<Option<Process>>,
    pub minions: Vec<Option<Process>>,
    ports: Ports,
    record_path: PathBuf,
    folder: PathBuf,
}

impl Deployment {
    /// Starts the store, entries, agents and minions, and waits until every minion can be used.
    pub fn start(record_path: &Path, entries: usize, sides: usize) -> std::io::Result<Self> {
        let ports = free_ports(entries, sides)?;
        let name = format!("review-{}-{}", std::process::id(), ports.store);
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let record = Record::open(record_path);
        let store = Store::serve(SocketAddr::new(platform_ip(), ports.store))?;
        store.put("op/config", &configuration());
        let mut deployment = Self {
            record,
            store,
            entries: Vec::new(),
            agents: Vec::new(),
            minions: Vec::new(),
            ports,
            record_path: record_path.to_owned(),
            folder,
        };
        for index in 0..entries {
            deployment.entries.push(None);
            deployment.start_entry(index)?;
        }
        for index in 0..sides {
            deployment.agents.push(None);
            deployment.minions.push(None);
            deployment.start_agent(index)?;
            deployment.start_minion(index)?;
        }
        deployment.await_ready()?;
        Ok(deployment)
    }

    fn await_ready(&self) -> std::io::Result<()> {
        let deadline = Instant::now() + Duration::from_secs(15);
        for index in 0..self.entries.len() {
            let addr = SocketAddr::new(entry_ip(index), self.ports.readiness);
            let headers = [("Host", "balancer")];
            let ready = || {
                let answer = http::call(addr, "GET", "/readiness", &headers, &Value::Null, SECOND);
                matches!(answer, Ok((200, _)))
            };
            while !ready() {
                if Instant::now() > deadline {
                    return Err(std::io::Error::other("an entry does not get ready"));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        // Every minion has announced itself and was reported by then.
        std::thread::sleep(Duration::from_secs(3));
        Ok(())
    }

    pub fn start_entry(&mut self, index: usize) -> std::io::Result<()> {
        let ip = entry_ip(index);
        let listen = json!({"front": self.at(ip, self.ports.front), "readiness": self.at(ip, self.ports.readiness),
            "control": self.at(ip, self.ports.control)});
        let settings = self.settings(&format!("edge-{index}"), ip, &listen);
        let process = self.start_program("entry", &format!("edge-{index}"), &settings)?;
        self.entries[index] = Some(process);
        Ok(())
    }

    pub fn start_agent(&mut self, index: usize) -> std::io::Result<()> {
        let ip = side_ip(index);
        let listen = json!({"control": self.at(ip, self.ports.control)});
        let mut settings = self.settings(&format!("side-{index}"), ip, &listen);
        settings["app"] = json!(self.at(ip, self.ports.app));
        settings["service"] = json!(SERVICE);
        let process = self.start_program("agent", &format!("side-{index}"), &settings)?;
        self.agents[index] = Some(process);
        Ok(())
    }

    pub fn start_minion(&mut self, index: usize) -> std::io::Result<()> {
        let ip = side_ip(index);
        let mut command = Command::new(std::env::current_exe()?);
        command
            .arg("minion")
            .arg(format!("i-{index:04}"))
            .arg(SERVICE)
            .arg(format!("r1-{}", index / 3))
            .arg(self.at(ip, self.ports.app))
            .arg(self.at(ip, self.ports.control))
            .arg(&self.record_path);
        self.minions[index] = Some(Process::start(&mut command)?);
        Ok(())
    }

    fn at(&self, ip: IpAddr, port: u16) -> String {
        SocketAddr::new(ip, port).to_string()
    }

    fn settings(&self, node: &str, ip: IpAddr, listen: &Value) -> Value {
        let seeds = (0..self.entries.len().max(1)).take(3);
        let seeds: Vec<String> = seeds
            .map(|index| self.at(entry_ip(index), self.ports.control))
            .collect();
        json!({"node": node, "ipAddress": ip.to_string(), "listen": listen,
            "internalPorts": [self.ports.internal, self.ports.metrics], "seeds": seeds,
            "zone": "regina", "region": "saskatchewan", "heartbeatMs": 1500, "orders": "call",
            "limits": {"cpuShare": 0.25},
            "platform": {"address": self.at(platform_ip(), self.ports.store), "form": "kv", "minTtlMs": 1000},
            "bounds": {"drainMs": 2500, "graceS": 6, "configurationApplyMs": 2500, "maxHoldMs": 6000, "stopMs": 200,
                "restoreMs": 250, "status_s": 120, "slowdownFactor": 3, "gangTimeoutMs": 3000, "visible_ms": 3000}})
    }

    fn start_program(&self, role: &str, node: &str, settings: &Value) -> std::io::Result<Process> {
        let path = self.folder.join(format!("{node}.json"));
        File::create(&path)?.write_all(settings.to_string().as_bytes())?;
        let path_of_log = self.folder.join(format!("{node}.log"));
        let log = File::options()
            .create(true)
            .append(true)
            .open(path_of_log)?;
        let mut command = Command::new(PROGRAM);
        command
            .args(["platform", role, "--settings"])
            .arg(&path)
            .stdout(log.try_clone()?)
            .stderr(log);
        Process::start(&mut command)
    }

    /// Sends a request of a client to an entry, and records it with its answer.
    pub fn request(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        body: &Value,
    ) -> Option<(u16, Value)> {
        let answer = self.request_unrecorded(entry, method, path, body);
        let outcome = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        self.record.line(format_args!(
            "client {method} {path} at edge-{entry}: {outcome}"
        ));
        answer
    }

    pub fn request_unrecorded(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        body: &Value,
    ) -> Option<(u16, Value)> {
        let addr = SocketAddr::new(entry_ip(entry), self.ports.front);
        let authorization = format!("Bearer {KEY}");
        let headers = [
            ("Host", HOST),
            ("Authorization", authorization.as_str()),
            ("X-Deadline-Milliseconds", "3000"),
        ];
        http::call(addr, method, path, &headers, body, 3 * SECOND).ok()
    }

    /// Returns the record so far.
    pub fn recorded(&self) -> String {
        fs::read_to_string(&self.record_path).unwrap_or_default()
    }

    /// Returns the index of the entry that owns the cell.
    pub fn owner(&self) -> Option<usize> {
        let value = self.store.value("limpethook/cell/owner")?;
        let text = String::from_utf8_lossy(&value).into_owned();
        (0..self.entries.len()).find(|index| text.contains(&format!("edge-{index}")))
    }

    /// Copies the logs of the programs beside the record.
    pub fn keep_logs(&self, folder: &Path) {
        let _ = fs::create_dir_all(folder);
        for found in fs::read_dir(&self.folder).into_iter().flatten().flatten() {
            let _ = fs::copy(found.path(), folder.join(found.file_name()));
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.minions.clear();
        self.agents.clear();
        self.entries.clear();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

pub const SECOND: Duration = Duration::from_secs(1);

fn ip(machine: u8, host: usize) -> IpAddr {
    let host = u8::try_from(host + 1).unwrap_or(u8::MAX);
    // Scripts that run at the same time use other addresses, most likely.
    let network = u8::try_from(std::process::id() % 60).unwrap_or(0) + 2;
    IpAddr::V4(Ipv4Addr::new(127, network, machine, host))
}

fn platform_ip() -> IpAddr {
    ip(1, 0)
}

fn entry_ip(index: usize) -> IpAddr {
    ip(2, index)
}

fn side_ip(index: usize) -> IpAddr {
    ip(3, index)
}

/// Finds ports that are free on all addresses.
fn free_ports(entries: usize, sides: usize) -> std::io::Result<Ports> {
    let mut addresses = vec![platform_ip()];
    addresses.extend((0..entries).map(entry_ip));
    addresses.extend((0..sides).map(side_ip));
    let mut found = Vec::new();
    while found.len() < 7 {
        let probe = TcpListener::bind(SocketAddr::new(platform_ip(), 0))?;
        let port = probe.local_addr()?.port();
        drop(probe);
        let is_free = |ip: &IpAddr| TcpListener::bind(SocketAddr::new(*ip, port)).is_ok();
        if !found.contains(&port) && addresses.iter().all(is_free) {
            found.push(port);
        }
    }
    Ok(Ports {
        front: found[0],
        readiness: found[1],
        control: found[2],
        app: found[3],
        internal: found[4],
        metrics: found[5],
        store: found[6],
    })
}

fn configuration() -> Value {
    let route = |name: &str, priority: u32| {
        json!({"name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": "non_idempotent", "timeoutMs": 3000,
            "targetDurationMs": 1000, "priority": priority, "service": SERVICE, "maxAttempts": 4, "stretch": 3.0,
            "allowAnonymous": false})
    };
    json!({"version": 3, "routes": [route("urgent", 0), route("batch", 1)], "services": [{"name": SERVICE}],
        "limits": {"maxBodyBytes": 262_144},
        "tenants": [{"name": "prairie", "apiKeys": [KEY], "guaranteed": {"gpu": 8}}]})
}
