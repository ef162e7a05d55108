//! Validation of the configuration document.

use errors::{Error, ErrorKind, Result};
use model::{Document, Shape};
use serde_json::Value;

use crate::tokens;
use crate::validator::{ID_RULE, Node, Validator, is_valid_id};

/// Upper limit of the default request timeout of a service: one week.
const MAX_TIMEOUT_MS: u64 = 7 * 24 * 3_600_000;

/// Maximum values of the in-flight counters in `policy::limits`.
const MAX_REQUESTS: u32 = 1_000_000;
const MAX_BYTES: u64 = 1 << 40;

/// The maximum value size of the key-value service, which stores each section under one key.
const MAX_SECTION_BYTES: usize = 1_000_000;

/// Parses a document and reports all errors at once.
pub fn parse_document(file_name: &str, text: &str) -> Result<Document> {
    let value = Validator::new(file_name).parse(text)?;
    check_value(file_name, &value)?;
    deserialize_document(file_name, value)
}

/// Validates a document and reports all errors at once.
pub fn check_document(document: &Document) -> Result<()> {
    let value = serde_json::to_value(document).map_err(|e| conversion_error("document", &e))?;
    check_value("document", &value)
}

pub(crate) fn deserialize_document(file: &str, value: Value) -> Result<Document> {
    serde_json::from_value(value).map_err(|e| conversion_error(file, &e))
}

fn conversion_error(file: &str, e: &serde_json::Error) -> error_stack::Report<Error> {
    Error::not_run(ErrorKind::InvalidRequest, format!("{file}: {e}")).report()
}

pub(crate) fn check_value(file: &str, value: &Value) -> Result<()> {
    let validator = Validator::new(file);
    let root = validator.root(value);
    root.reject_unknown_keys(&["accounts", "services", "policy"]);
    check_entries(root.field("accounts"), check_account);
    check_entries(root.field("services"), check_service);
    if let Some(policy) = root.field("policy").if_present() {
        check_policy(&policy);
    }
    validator.finish()
}

fn check_entries(node: Node<'_>, check: fn(&Node<'_>)) {
    let Some(node) = node.if_present() else {
        return;
    };
    for (id, entry) in node.entries() {
        if !is_valid_id(id) {
            entry.add_error(format_args!("the name must be {ID_RULE}"));
        }
        if entry.json_len() > MAX_SECTION_BYTES {
            entry.add_error(format_args!(
                "must have at most {MAX_SECTION_BYTES} bytes as JSON"
            ));
        }
        check(&entry);
    }
}

fn check_account(node: &Node<'_>) {
    node.reject_unknown_keys(&["tokens", "guarantees", "limits"]);
    if let Some(list) = node.field("tokens").if_present() {
        list.items().iter().for_each(check_token);
    }
    if let Some(list) = node.field("guarantees").if_present() {
        list.items().iter().for_each(check_shape);
    }
    if let Some(limits) = node.field("limits").if_present() {
        check_limits(&limits);
    }
}

fn check_token(node: &Node<'_>) {
    let token = node.string();
    if !token.is_empty() && !tokens::is_token_hash(&token) {
        node.add_error("must be `salt:hash` with 16 to 64 and 64 hexadecimal digits");
    }
}

fn check_shape(node: &Node<'_>) {
    node.reject_unknown_keys(&["tasks", "accelerators", "cores", "memory_mb", "adjacency"]);
    node.field("tasks").u32(1..=Shape::MAX_TASKS);
    let quantity = |name, max| {
        let field = node.field(name).if_present();
        field.map_or(0, |f| f.u32(0..=max))
    };
    let max_quantity = quantity("accelerators", 64)
        .max(quantity("cores", 4096))
        .max(quantity("memory_mb", 67_108_864));
    if max_quantity == 0 {
        node.add_error("a task must need accelerators, cores or memory_mb");
    }
    if let Some(field) = node.field("adjacency").if_present() {
        field.one_of(&["worker", "rack", "data_centre", "region", "any"]);
    }
}

fn check_limits(node: &Node<'_>) {
    node.reject_unknown_keys(&["requests", "bytes", "retry_percent"]);
    if let Some(field) = node.field("requests").if_present() {
        field.u32(1..=MAX_REQUESTS);
    }
    if let Some(field) = node.field("bytes").if_present() {
        field.u64(1..=MAX_BYTES);
    }
    if let Some(field) = node.field("retry_percent").if_present() {
        field.u32(0..=100);
    }
}

fn check_service(node: &Node<'_>) {
    node.reject_unknown_keys(&["max_body_bytes", "timeout_ms", "idempotent"]);
    if let Some(field) = node.field("max_body_bytes").if_present() {
        field.u64(1..=1 << 30);
    }
    if let Some(field) = node.field("timeout_ms").if_present() {
        field.u64(1..=MAX_TIMEOUT_MS);
    }
    if let Some(field) = node.field("idempotent").if_present() {
        field.check_bool();
    }
}

fn check_policy(node: &Node<'_>) {
    let names = ["fragmentation_weight", "completion_weight", "queue_limit"];
    node.reject_unknown_keys(&names);
    for name in &names[..2] {
        if let Some(field) = node.field(name).if_present() {
            field.fraction();
        }
    }
    if let Some(field) = node.field("queue_limit").if_present() {
        field.u32(1..=1_000_000);
    }
}
