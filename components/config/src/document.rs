//! Checks of the operators' configuration document.

use errors::{Error, ErrorKind, Result};
use model::{Document, Shape};
use serde_json::Value;

use crate::checker::{Faults, ID_RULE, Node, is_id};
use crate::tokens;

/// Longest time a caller may be kept waiting by default, a week.
const MAX_TIMEOUT_MS: u64 = 7 * 24 * 3_600_000;

/// Bounds of the in-flight counters in `policy::limits`.
const MAX_REQUESTS: u32 = 1_000_000;
const MAX_BYTES: u64 = 1 << 40;

/// The largest value of the key-value service, which stores each section under one key.
const MAX_SECTION_BYTES: usize = 1_000_000;

/// Reads the document and reports all its faults at once.
pub fn parse_document(file_name: &str, text: &str) -> Result<Document> {
    let value = Faults::new(file_name).parse(text)?;
    check_value(file_name, &value)?;
    document_from(file_name, value)
}

/// Reports all faults of a document at once.
pub fn check_document(document: &Document) -> Result<()> {
    let value = serde_json::to_value(document).map_err(|fault| unreadable("document", &fault))?;
    check_value("document", &value)
}

pub(crate) fn document_from(file: &str, value: Value) -> Result<Document> {
    serde_json::from_value(value).map_err(|fault| unreadable(file, &fault))
}

fn unreadable(file: &str, fault: &serde_json::Error) -> error_stack::Report<Error> {
    Error::not_run(ErrorKind::InvalidRequest, format!("{file}: {fault}")).report()
}

pub(crate) fn check_value(file: &str, value: &Value) -> Result<()> {
    let faults = Faults::new(file);
    let root = faults.root(value);
    root.known(&["accounts", "services", "policy"]);
    check_entries(root.field("accounts"), check_account);
    check_entries(root.field("services"), check_service);
    if let Some(policy) = root.field("policy").given() {
        check_policy(&policy);
    }
    faults.finish()
}

fn check_entries(node: Node<'_>, check: fn(&Node<'_>)) {
    let Some(node) = node.given() else {
        return;
    };
    for (id, entry) in node.entries() {
        if !is_id(id) {
            entry.fault(format_args!("the name must be {ID_RULE}"));
        }
        if entry.size() > MAX_SECTION_BYTES {
            entry.fault(format_args!(
                "must have at most {MAX_SECTION_BYTES} bytes as JSON"
            ));
        }
        check(&entry);
    }
}

fn check_account(node: &Node<'_>) {
    node.known(&["tokens", "guarantees", "limits"]);
    if let Some(list) = node.field("tokens").given() {
        list.items().iter().for_each(check_token);
    }
    if let Some(list) = node.field("guarantees").given() {
        list.items().iter().for_each(check_shape);
    }
    if let Some(limits) = node.field("limits").given() {
        check_limits(&limits);
    }
}

fn check_token(node: &Node<'_>) {
    let token = node.text();
    if !token.is_empty() && !tokens::is_token_hash(&token) {
        node.fault("must be `salt:hash` with 16 to 64 and 64 hexadecimal digits");
    }
}

fn check_shape(node: &Node<'_>) {
    node.known(&["tasks", "accelerators", "cores", "memory_mb", "adjacency"]);
    node.field("tasks").small(1..=Shape::MAX_TASKS);
    let amount = |name, max| {
        let field = node.field(name).given();
        field.map_or(0, |f| f.small(0..=max))
    };
    let needs = amount("accelerators", 64)
        .max(amount("cores", 4096))
        .max(amount("memory_mb", 67_108_864));
    if needs == 0 {
        node.fault("a task must need accelerators, cores or memory_mb");
    }
    if let Some(field) = node.field("adjacency").given() {
        field.choice(&["worker", "rack", "data_centre", "region", "any"]);
    }
}

fn check_limits(node: &Node<'_>) {
    node.known(&["requests", "bytes", "retry_percent"]);
    if let Some(field) = node.field("requests").given() {
        field.small(1..=MAX_REQUESTS);
    }
    if let Some(field) = node.field("bytes").given() {
        field.integer(1..=MAX_BYTES);
    }
    if let Some(field) = node.field("retry_percent").given() {
        field.small(0..=100);
    }
}

fn check_service(node: &Node<'_>) {
    node.known(&["max_body_bytes", "timeout_ms", "idempotent"]);
    if let Some(field) = node.field("max_body_bytes").given() {
        field.integer(1..=1 << 30);
    }
    if let Some(field) = node.field("timeout_ms").given() {
        field.integer(1..=MAX_TIMEOUT_MS);
    }
    if let Some(field) = node.field("idempotent").given() {
        field.boolean();
    }
}

fn check_policy(node: &Node<'_>) {
    let names = ["fragmentation_weight", "completion_weight", "queue_limit"];
    node.known(&names);
    for name in &names[..2] {
        if let Some(field) = node.field(name).given() {
            field.fraction();
        }
    }
    if let Some(field) = node.field("queue_limit").given() {
        field.small(1..=1_000_000);
    }
}
