//! Tests of the `standin` program as a process.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

/// Kills the process when the test ends.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // Errors are ignored because the process may already have exited.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against printed addresses that do not respond.
#[tokio::test]
async fn main_prints_reachable_addresses() {
    let any_port = "127.0.0.1:0";
    let child = Command::new(env!("CARGO_BIN_EXE_standin"))
        .args([
            "--store",
            any_port,
            "--workers",
            any_port,
            "--endpoint",
            "e1=127.0.0.1:0",
        ])
        .stdout(Stdio::piped())
        .spawn();
    let mut process = Process(child.unwrap());
    let mut line = String::new();
    let stdout = process.0.stdout.take().unwrap();
    BufReader::new(stdout).read_line(&mut line).unwrap();
    let addresses: serde_json::Value = serde_json::from_str(&line).unwrap();
    let paths = [
        (&addresses["store"], "/control/counts"),
        (&addresses["workers"], "/control/tasks"),
        (&addresses["endpoints"]["e1"], "/control/runs"),
    ];
    for (addr, path) in paths {
        let url = format!("http://{}{path}", addr.as_str().unwrap());
        assert!(reqwest::get(url).await.unwrap().status().is_success());
    }
}
