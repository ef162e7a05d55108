//! A small deployment: the project's own programs as separate processes on loopback addresses, each on an address of its own.

use std::fs::{File, create_dir_all, write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::advisor::Advisor;
use crate::http::{Client, Links, Server};
use crate::json::{Json, num, text};
use crate::minion::Minion;
use crate::record::Record;
use crate::store::Store;

pub const HOST: &str = "queues.example";
/// Queue whose policy allows only some minions to run a step.
pub const ADVISED: &str = "beams";
pub const KEY: &str = "key-faro";
const FRONT: u16 = 8521;
const READINESS: u16 = 8523;
const STORE: u16 = 8524;
const ADVICE: u16 = 8525;
const CONTROL: u16 = 8526;
const APP: u16 = 8529;

pub struct Machine {
    pub name: String,
    ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    role: &'static str,
    process: Option<Child>,
}

pub struct Deployment {
    pub store: Store,
    pub entries: Vec<Machine>,
    pub agents: Vec<Machine>,
    pub minions: Vec<Minion>,
    pub record: Record,
    program: PathBuf,
    _servers: Vec<Server>,
}

impl Deployment {
    /// Starts `entries` machines for clients and `agents` machines with a minion each, and waits until they are ready.
    pub fn start(program: &Path, dir: &Path, record: &Record, entries: usize, agents: usize) -> Result<Deployment, String> {
        Self::start_with_links(program, dir, record, entries, agents, None)
    }

    /// Starts a deployment whose machines for clients reach the store over links of `mbit_per_s`.
    pub fn start_with_links(
        program: &Path,
        dir: &Path,
        record: &Record,
        entries: usize,
        agents: usize,
        mbit_per_s: Option<f64>,
    ) -> Result<Deployment, String> {
        create_dir_all(dir).map_err(|e| e.to_string())?;
        let store = Store::default();
        let advisor = Advisor::new(record);
        store.expire_leases();
        store.write("op/config", &configuration().to_string());
        // Another network for each process that runs this, so that several can run beside each other.
        let id = std::process::id();
        let net = (16 + (id % 200) as u8, (id / 200 % 250) as u8);
        let mut deployment = Deployment {
            store,
            entries: Vec::new(),
            agents: Vec::new(),
            minions: Vec::new(),
            record: record.clone(),
            program: program.into(),
            _servers: Vec::new(),
        };
        let seeds: Vec<Json> = (0..entries.min(3))
            .map(|i| text(SocketAddr::new(ip(net, i as u8 + 1).into(), CONTROL).to_string()))
            .collect();
        for index in 0..entries + agents {
            let is_entry = index < entries;
            let ip = ip(net, if is_entry { index as u8 + 1 } else { 100 + (index - entries) as u8 });
            let name = if is_entry { format!("edge-{index}") } else { format!("side-{}", index - entries) };
            let store_addr = SocketAddr::new(ip.into(), STORE);
            let links = mbit_per_s.filter(|_| is_entry).map(Links::new);
            let server = deployment.store.serve(store_addr, index, links).map_err(|e| e.to_string())?;
            deployment._servers.push(server);
            let advice_addr = SocketAddr::new(ip.into(), ADVICE);
            let server = advisor.serve(advice_addr).map_err(|e| e.to_string())?;
            deployment._servers.push(server);
            let settings = settings(&name, ip, is_entry, mbit_per_s, &seeds);
            let machine = Machine {
                settings: dir.join(format!("{name}.json")),
                log: dir.join(format!("{name}.log")),
                name,
                ip,
                role: if is_entry { "entry" } else { "agent" },
                process: None,
            };
            write(&machine.settings, settings.to_string()).map_err(|e| e.to_string())?;
            if is_entry {
                deployment.entries.push(machine);
            } else {
                let agent = index - entries;
                let addr = |port| SocketAddr::new(ip.into(), port);
                let rack = format!("r{}", agent / 3);
                let minion = Minion::new(&format!("minion-{agent}"), addr(APP), addr(CONTROL), &rack, record, &advisor);
                minion.start().map_err(|e| e.to_string())?;
                deployment.minions.push(minion);
                deployment.agents.push(machine);
            }
        }
        for index in 0..entries {
            deployment.launch_entry(index)?;
        }
        for index in 0..agents {
            deployment.launch_agent(index)?;
        }
        deployment.wait_until_ready()?;
        Ok(deployment)
    }

    pub fn launch_entry(&mut self, index: usize) -> Result<(), String> {
        let program = self.program.clone();
        let record = self.record.clone();
        self.entries[index].launch(&program, &record)
    }

    pub fn launch_agent(&mut self, index: usize) -> Result<(), String> {
        let program = self.program.clone();
        let record = self.record.clone();
        self.agents[index].launch(&program, &record)
    }

    fn wait_until_ready(&self) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(20);
        for entry in &self.entries {
            let mut client = Client::new(entry.addr(READINESS), Duration::from_secs(1));
            while client.call("GET", "/readiness", "Host: x\r\n", None).is_none_or(|(status, _)| status != 200) {
                if Instant::now() > deadline {
                    return Err(format!("{} did not become ready", entry.name));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Returns a client of an entry.
    pub fn client(&self, entry: usize) -> Client {
        Client::new(self.entries[entry].addr(FRONT), Duration::from_millis(3000))
    }
}

impl Machine {
    fn addr(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip.into(), port)
    }

    fn launch(&mut self, program: &Path, record: &Record) -> Result<(), String> {
        let log = File::options().create(true).append(true).open(&self.log).map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let mut command = Command::new(program);
        // SAFETY: the call is async-signal-safe and touches no memory.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .args(["platform", self.role, "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|e| e.to_string())?;
        record.line(&format!("{} is started", self.name));
        self.process = Some(child);
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.process.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

unsafe extern "C" {
    fn prctl(option: i32, signal: u64) -> i32;
}

/// Lets the kernel kill the process if this one ends without doing so.
fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: the option takes a signal number and no pointers.
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
    Ok(())
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

fn ip(net: (u8, u8), host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, net.0, net.1, host)
}

fn settings(name: &str, ip: Ipv4Addr, is_entry: bool, mbit_per_s: Option<f64>, seeds: &[Json]) -> Json {
    let addr = |port| text(SocketAddr::new(IpAddr::V4(ip), port).to_string());
    let listen = if is_entry {
        Json::obj([("front", addr(FRONT)), ("readiness", addr(READINESS)), ("control", addr(CONTROL))])
    } else {
        Json::obj([("control", addr(CONTROL))])
    };
    // The machines of faro-lente, or those with thin links of textolien-qc-grown.
    let (cpu, memory, descriptors) = match (is_entry, mbit_per_s) {
        (true, None) => (0.25, 260, 4100),
        (true, Some(_)) => (0.12, 160, 4100),
        (false, _) => (0.15, 128, 4096),
    };
    let limits = Json::obj([
        ("cpuShare", Json::Num(cpu)),
        ("cores", num(1)),
        ("memoryMb", num(memory)),
        ("fileDescriptors", num(descriptors)),
        ("linkMbps", Json::Num(mbit_per_s.filter(|_| is_entry).unwrap_or(1000.0))),
    ]);
    // The bounds of the deployment faro-lente.
    let bounds = [
        ("seedLagS", 3.0),
        ("addressReuseS", 2.0),
        ("contactMs", 4000.0),
        ("ackTimeoutMs", 5000.0),
        ("catchUpS", 4.0),
        ("drainMs", 2500.0),
        ("graceS", 6.0),
        ("lossSlackMs", 200.0),
        ("configurationApplyMs", 2500.0),
        ("rollbackSlackMs", 250.0),
        ("maxStretchMs", 6000.0),
        ("recoveryS", 12.0),
        ("maxHoldMs", 6000.0),
        ("stopMs", 900.0),
        ("gangTimeoutMs", 3000.0),
        ("cancel_ms", 3000.0),
        ("visible_ms", 3000.0),
        ("early_ms", 250.0),
        ("finish_s", 14.0),
        ("status_s", 120.0),
        ("slowdownFactor", 3.0),
        ("checkpointIntervalS", 1.0),
        ("restoreMs", 600.0),
        ("noticeMs", 5500.0),
    ];
    let bounds = bounds.into_iter().map(|(key, value)| (key.to_owned(), Json::Num(value)));
    let platform = [
        ("address", addr(STORE)),
        ("form", text("kv")),
        ("writesPerS", num(400)),
        ("readsPerS", num(2000)),
        ("historyS", num(20)),
        ("valueBytes", num(1_048_576)),
        ("minTtlMs", num(1000)),
    ];
    let mut fields = vec![
        ("node", text(name)),
        ("role", text(if is_entry { "entry" } else { "agent" })),
        ("ipAddress", text(ip.to_string())),
        ("zone", text("cartagena")),
        ("region", text("caribe")),
        ("zones", Json::obj([("cartagena", text("caribe"))])),
        ("listen", listen),
        ("internalPorts", Json::Arr(vec![num(7000), num(7015)])),
        ("seeds", Json::Arr(seeds.to_vec())),
        ("limits", limits),
        ("discovery", text("local")),
        ("heartbeatMs", num(1500)),
        ("orders", text("call")),
        ("advice", addr(ADVICE)),
        ("bounds", Json::Obj(bounds.collect())),
        ("platform", Json::obj(platform)),
    ];
    if !is_entry {
        fields.push(("app", addr(APP)));
        fields.push(("service", text("optics")));
    }
    Json::Obj(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
}

fn configuration() -> Json {
    let route = |name: &str, priority: u64| {
        let mut fields = vec![
            ("name", text(name)),
            ("host", text(HOST)),
            ("prefix", text(format!("/{name}/"))),
            ("service", text("optics")),
            ("kind", text("non_idempotent")),
            ("timeoutMs", num(3000)),
            ("targetDurationMs", num(1200)),
            ("priority", num(priority)),
            ("maxAttempts", num(4)),
            ("stretch", num(3)),
            ("allowAnonymous", Json::Bool(false)),
        ];
        if name == ADVISED {
            fields.push(("advice", crate::advisor::configuration()));
        }
        Json::Obj(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
    };
    let tenant = Json::obj([
        ("name", text("faro")),
        ("apiKeys", Json::Arr(vec![text(KEY)])),
        ("guaranteed", Json::obj([("gpu", num(8))])),
    ]);
    let service = Json::obj([("name", text("optics")), ("enforcesCapacity", Json::Bool(false))]);
    Json::obj([
        ("version", num(3)),
        ("routes", Json::Arr(vec![route("prisms", 1), route(ADVISED, 1)])),
        ("services", Json::Arr(vec![service])),
        ("limits", Json::obj([("maxBodyBytes", num(262_144))])),
        ("tenants", Json::Arr(vec![tenant])),
    ])
}
