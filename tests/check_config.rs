//! `limpethook platform check-config`.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use serde_json::{Value, json};

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

const KEY: &str = "b9wu3fexd9dnn2ctnfzs";

fn document(version: u32, body_limit: u32) -> Value {
    json!({"version": version,
        "routes": [{"name": "urgent", "host": "queues.example", "prefix": "/urgent/", "service": "optics",
            "timeoutMs": 3000, "targetDurationMs": 400, "priority": 0, "maxAttempts": 3, "stretch": 1.5}],
        "services": [{"name": "optics"}], "limits": {"maxBodyBytes": body_limit},
        "tenants": [{"name": "faro", "apiKeys": [KEY], "guaranteed": {"gpu": 8}}]})
}

fn write(name: &str, document: &Value) -> Result<PathBuf> {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("check-config-{name}.json"));
    std::fs::write(&file, document.to_string())?;
    Ok(file)
}

fn run(file: &Path, args: &[&str]) -> Result<Output> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_limpethook"));
    command.args(["platform", "check-config"]);
    Ok(command.arg(file).args(args).output()?)
}

/// Guards against an exit code that lets a script send a document with errors, or rejects one with differences only.
#[test]
fn check_config_exit_codes() -> Result<()> {
    let sound = write("sound", &document(8, 1024))?;
    let faulty = write("faulty", &document(8, 0))?;
    let in_force = write("in-force", &document(7, 2048))?;
    let in_force = in_force.to_str().ok_or("path")?;
    let not_a_document = write("not-a-document", &json!([KEY]))?;
    let not_a_document = not_a_document.to_str().ok_or("path")?;
    let fleet = ["--workers", "1", "--accelerators-per-worker", "7"];
    let cases: [(&Path, &[&str], i32); 9] = [
        (&sound, &[], 0),
        (&sound, &["--against", in_force], 0),
        (&sound, &fleet, 1),
        (&faulty, &[], 1),
        (Path::new(not_a_document), &[], 1),
        (Path::new("missing.json"), &[], 2),
        (&sound, &["--against", not_a_document], 2),
        (&sound, &["--settings", in_force], 2),
        (&sound, &["--workers", "3"], 2),
    ];
    for (file, args, code) in cases {
        let output = run(file, args)?;
        assert_eq!(output.status.code(), Some(code), "{file:?} {args:?}");
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8(text)?;
        assert!(!text.contains(KEY), "{file:?} {args:?}: {text}");
    }
    Ok(())
}

/// Guards against findings that only one of the formats has, and against other lines between them.
#[test]
fn check_config_formats() -> Result<()> {
    let faulty = write("formats", &document(8, 0))?;
    let in_force = write("formats-in-force", &document(7, 2048))?;
    let against = ["--against", in_force.to_str().ok_or("path")?];
    let text = String::from_utf8(run(&faulty, &against)?.stdout)?;
    let expected = [
        "error limits.maxBodyBytes: is 0: no job can be submitted",
        "note limits: \"maxBodyBytes\" changes from 2048 to 0",
        "note version: changes from 7 to 8",
    ];
    assert_eq!(text.lines().collect::<Vec<_>>(), expected);
    let json = run(&faulty, &[&against[..], &["--json"]].concat())?;
    let json: Value = serde_json::from_slice(&json.stdout)?;
    let findings = json["findings"].as_array().ok_or("no list")?;
    let field = |finding: &Value, key: &str| finding[key].as_str().unwrap_or("none").to_owned();
    let lines = findings.iter().map(|finding| {
        let [severity, place, message] =
            ["severity", "place", "message"].map(|key| field(finding, key));
        format!("{severity} {place}: {message}")
    });
    assert_eq!(lines.collect::<Vec<_>>(), expected);
    Ok(())
}

/// Guards against a panic, with exit code 101, if the reader of the output closes the pipe.
#[test]
fn check_config_closed_pipe() -> Result<()> {
    let sound = write("closed-pipe-sound", &document(8, 1024))?;
    let faulty = write("closed-pipe-faulty", &document(8, 0))?;
    let in_force = write("closed-pipe-in-force", &document(7, 2048))?;
    for (file, code) in [(&sound, 0), (&faulty, 1)] {
        for format in [None, Some("--json")] {
            let (reader, writer) = std::io::pipe()?;
            drop(reader);
            let mut command = Command::new(env!("CARGO_BIN_EXE_limpethook"));
            command.args(["platform", "check-config"]).arg(file);
            command.arg("--against").arg(&in_force).args(format);
            let output = command.stdout(writer).output()?;
            let text = String::from_utf8(output.stderr)?;
            assert_eq!(output.status.code(), Some(code), "{format:?}: {text}");
            assert_eq!(text, "", "{format:?}");
        }
    }
    Ok(())
}
