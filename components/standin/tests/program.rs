//! The program as a process.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

/// Ends the process with the test.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against a program whose printed addresses do not answer.
#[tokio::test]
async fn main_prints_addresses_that_answer() {
    let any = "127.0.0.1:0";
    let child = Command::new(env!("CARGO_BIN_EXE_standin"))
        .args([
            "--store",
            any,
            "--workers",
            any,
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
