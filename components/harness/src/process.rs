//! Child processes of a deployment.

use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use crate::Result;

/// Interval at which a process is checked for its exit.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A child process, which is killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    /// The name used in log files and error messages.
    pub name: Box<str>,
    child: Child,
}

impl Process {
    /// Starts a program and appends its output to a log file.
    pub fn start(name: &str, program: &Path, args: &[&str], log_file: &Path) -> Result<Self> {
        let log = File::options().create(true).append(true).open(log_file)?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("failed to start {}: {e}", program.display()))?;
        Ok(Self {
            name: name.into(),
            child,
        })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, such as `TERM`, `STOP`, `CONT` or `KILL`.
    pub fn signal(&self, signal: &str) -> Result<()> {
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(self.id().to_string())
            .status()?;
        if status.success() {
            Ok(())
        } else {
            Err(format!("failed to send SIG{signal} to {}", self.name).into())
        }
    }

    /// Kills the process and waits for it to exit.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Waits until the process exits; fails after a timeout.
    pub async fn wait(&mut self, timeout: Duration) -> Result<ExitStatus> {
        let started = Instant::now();
        while started.elapsed() < timeout {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(format!("{} did not exit within {timeout:?}", self.name).into())
    }

    /// Returns the resident memory in kilobytes, if `/proc` provides it.
    pub fn resident_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Returns the user and kernel CPU time used so far, if `/proc` provides it.
    pub fn cpu_time(&self) -> Option<Duration> {
        const TICKS_PER_SECOND: u64 = 100;
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let user: u64 = fields.get(11)?.parse().ok()?;
        let system: u64 = fields.get(12)?.parse().ok()?;
        Some(Duration::from_millis(
            (user + system) * 1000 / TICKS_PER_SECOND,
        ))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
