//! Tests of the parser and its error messages.

use replay::Trace;

const HEADER: &str = r#"{"version":1,"deployment":"tiny","workers":[],"endpoints":[],"document":{"accounts":{"a":{}},"services":{"s":{}}}}"#;
const SUBMIT: &str = r#"{"at_ms":5,"event":{"submit":{"job":1,"account":"a","service":"s","shape":{"tasks":1,"accelerators":1},"idempotent":true,"stoppable":true,"true_ms":10,"behaviour":"ends_well"}}}"#;

fn message(lines: &[&str]) -> String {
    let report = Trace::parse("t.jsonl", &lines.join("\n")).expect_err("the trace is malformed");
    report.current_context().message.to_string()
}

/// Guards against a parser that rejects correct traces, and against a trace that changes when it is written again.
#[test]
fn parse_accepts_minimal_trace() {
    let trace = Trace::parse("t.jsonl", &[HEADER, SUBMIT].join("\n")).expect("well-formed");
    assert_eq!(trace.lines.len(), 1);
    let again = Trace::parse("t.jsonl", &trace.to_text()).expect("well-formed");
    assert_eq!(again.lines, trace.lines);
    assert_eq!(again.header, trace.header);
}

/// Guards against misspelt keys that are silently ignored, at any depth.
#[test]
fn parse_unknown_key() {
    let nested = SUBMIT.replace("\"tasks\"", "\"task\"");
    assert!(message(&[HEADER, SUBMIT, &nested]).starts_with("t.jsonl:3: key task: unknown field"));
    let header = HEADER.replace("\"deployment\"", "\"deploymnt\"");
    assert!(message(&[&header]).starts_with("t.jsonl:1: key deploymnt: unknown field"));
}

/// Guards against an error message that does not name the key of the malformed value.
#[test]
fn parse_wrong_type() {
    let line = SUBMIT.replace("\"true_ms\":10", "\"true_ms\":\"10\"");
    assert!(message(&[HEADER, &line]).starts_with("t.jsonl:2: key true_ms: invalid type"));
}

/// Guards against default values for required keys.
#[test]
fn parse_missing_key() {
    let line = SUBMIT.replace("\"idempotent\":true,", "");
    assert!(message(&[HEADER, &line]).starts_with("t.jsonl:2: key idempotent: missing field"));
}

/// Guards against empty or truncated lines that are silently skipped.
#[test]
fn parse_malformed_line() {
    assert!(message(&[HEADER, "", SUBMIT]).starts_with("t.jsonl:2: key (none): EOF"));
    assert!(message(&[HEADER, &SUBMIT[..60]]).starts_with("t.jsonl:2: key "));
    assert!(message(&[""]).starts_with("t.jsonl:1: key version"));
}

/// Guards against references to objects that are not in the header or an earlier line.
#[test]
fn parse_unknown_reference() {
    let cases = [
        (SUBMIT.replace("\"a\"", "\"b\""), "account"),
        (SUBMIT.replace("\"s\"", "\"x\""), "service"),
        (
            SUBMIT.replace("\"ends_well\"", r#"{"fails_on":["w9"]}"#),
            "fails_on",
        ),
        (r#"{"at_ms":5,"event":{"cancel":{"job":7}}}"#.into(), "job"),
        (
            r#"{"at_ms":5,"event":{"worker_lost":{"worker":"w9"}}}"#.into(),
            "worker",
        ),
    ];
    for (line, key) in cases {
        let message = message(&[HEADER, &line]);
        assert!(
            message.starts_with(&format!("t.jsonl:2: key {key}: ")),
            "{message}"
        );
    }
}

/// Guards against events out of order, duplicate job numbers and unsupported versions.
#[test]
fn parse_inconsistent_lines() {
    let earlier = SUBMIT.replace("\"at_ms\":5", "\"at_ms\":4");
    assert!(message(&[HEADER, SUBMIT, &earlier]).starts_with("t.jsonl:3: key at_ms: "));
    assert!(message(&[HEADER, SUBMIT, SUBMIT]).starts_with("t.jsonl:3: key job: "));
    let header = HEADER.replace("\"version\":1", "\"version\":2");
    assert!(message(&[&header]).starts_with("t.jsonl:1: key version: "));
}
