//! Tests of settings files.

use std::time::Duration;

use config::{AgentSettings, Duty, EntrySettings, load_settings, parse_settings};

const ENTRY: &str = r#"{"id": "e1", "region": "caribe", "data_centre": "c1",
    "http_listen": "127.0.0.1:8080", "peer_listen": "127.0.0.1:7000", "store_url": "http://127.0.0.1:9000/",
    "peer_key": "0123456789abcdef0123456789abcdef", "drain_timeout_ms": 500}"#;

const AGENT: &str = r#"{"id": "a1", "region": "caribe", "data_centre": "c1", "rack": "r1",
    "peer_listen": "127.0.0.1:7001", "store_url": "http://127.0.0.1:9000",
    "peer_key": "0123456789abcdef0123456789abcdef",
    "endpoint": {"id": "p1", "service": "prism", "url": "http://127.0.0.1:9100", "slots": 8, "connections": 60},
    "workers": [{"id": "w1", "url": "http://127.0.0.1:9200", "accelerators": 8, "cores": 64, "memory_mb": 131072}]}"#;

fn entry_errors(text: &str) -> Vec<String> {
    let report = parse_settings::<EntrySettings>("entry.json", text).unwrap_err();
    let lines = report.current_context().message.lines();
    lines.map(str::to_owned).collect()
}

/// Guards against optional keys that do not get their documented defaults.
#[test]
fn parse_settings_fills_defaults() {
    let settings: EntrySettings = parse_settings("entry.json", ENTRY).unwrap();
    assert_eq!(&*settings.cell, "caribe");
    assert_eq!(settings.duties, [Duty::Owner, Duty::Relay]);
    assert_eq!(settings.drain_timeout, Some(Duration::from_millis(500)));
    assert_eq!(&*settings.store_url, "http://127.0.0.1:9000");
    let agent: AgentSettings = parse_settings("agent.json", AGENT).unwrap();
    assert_eq!(agent.endpoint.unwrap().backlog, 8);
    assert_eq!(&*agent.workers[0].rack, "r1");
}

/// Guards against validation that stops at the first error.
#[test]
fn parse_settings_reports_all_errors() {
    let text = ENTRY
        .replace("127.0.0.1:8080", "localhost:8080")
        .replace("\"region\"", "\"regoin\"")
        .replace("500", "5")
        .replace("0123456789abcdef0123456789abcdef", "short");
    let mut errors = entry_errors(&text);
    errors.sort();
    let expected = [
        "entry.json: drain_timeout_ms: must be an integer from 100 to 604800000",
        "entry.json: http_listen: must be an IP address with a port, such as 127.0.0.1:7000",
        "entry.json: peer_key: must have at least 32 characters",
        "entry.json: region: is missing; it must be 1 to 64 letters, digits, `-`, `_` or `.`",
        "entry.json: regoin: is unknown; did you mean `region`?",
    ];
    assert_eq!(errors, expected);
}

/// Guards against errors in a list that do not name the index of the item.
#[test]
fn parse_settings_names_nested_key() {
    let text = AGENT.replace("\"cores\": 64", "\"cores\": 0");
    let report = parse_settings::<AgentSettings>("agent.json", &text).unwrap_err();
    let expected = "agent.json: workers.0.cores: must be an integer from 1 to 4096";
    assert_eq!(&*report.current_context().message, expected);
}

/// Guards against peer keys in logs.
#[test]
fn parse_settings_hides_peer_key() {
    let settings: EntrySettings = parse_settings("entry.json", ENTRY).unwrap();
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
}

/// Guards against errors that do not name the file that cannot be read.
#[test]
fn load_settings_names_missing_file() {
    let report = load_settings::<EntrySettings>("/nonexistent/entry.json").unwrap_err();
    assert!(
        report
            .current_context()
            .message
            .starts_with("/nonexistent/entry.json: ")
    );
}
