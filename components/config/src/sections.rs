//! Sections of the configuration document, each of which is stored and versioned under its own key.

use errors::{Error, ErrorKind, Result};
use model::{Document, SectionName};
use serde_json::{Map, Value};

use crate::document::{check_value, deserialize_document};
use crate::unique_keys::UniqueKeys;

/// A section that differs between two documents.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SectionChange {
    /// The name of the section.
    pub section: SectionName,
    /// The kind of the difference.
    pub kind: ChangeKind,
}

/// How a section differs between two documents.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeKind {
    /// Only the new document has the section.
    Added,
    /// Only the old document has the section.
    Removed,
    /// The values of these keys differ; the keys are dotted paths.
    Changed(Vec<Box<str>>),
}

/// Splits a document into `accounts/<id>`, `services/<id>` and `policy`, each with its JSON text.
pub fn split_sections(document: &Document) -> Vec<(SectionName, Box<str>)> {
    let text = |(name, value): (SectionName, Value)| (name, value.to_string().into());
    section_values(document).into_iter().map(text).collect()
}

/// Assembles a document from its sections and reports all errors at once.
pub fn assemble_sections<'a>(
    sections: impl IntoIterator<Item = (&'a str, &'a str)>,
) -> Result<Document> {
    let mut root = Map::new();
    let mut errors = Vec::new();
    for (name, text) in sections {
        if let Err(error) = insert_section(&mut root, name, text) {
            errors.push(error);
        }
    }
    let value = Value::Object(root);
    if let Err(report) = check_value("sections", &value) {
        errors.push(report.current_context().message.to_string());
    }
    if errors.is_empty() {
        return deserialize_document("sections", value);
    }
    Err(Error::not_run(ErrorKind::InvalidRequest, errors.join("\n")).report())
}

/// Returns the sections that differ, in the order of the new document, followed by removed sections.
pub fn diff_documents(old: &Document, new: &Document) -> Vec<SectionChange> {
    let (before, after) = (section_values(old), section_values(new));
    let find = |list: &[(SectionName, Value)], name: &str| {
        let found = list.iter().find(|(section, _)| **section == *name);
        found.map(|(_, value)| value.clone())
    };
    let changed = after.iter().filter_map(|(section, value)| {
        let kind = match find(&before, section) {
            None => ChangeKind::Added,
            Some(old) if old == *value => return None,
            Some(old) => ChangeKind::Changed(changed_keys(&old, value)),
        };
        Some(change(section, kind))
    });
    let removed = before
        .iter()
        .filter(|(section, _)| find(&after, section).is_none())
        .map(|(section, _)| change(section, ChangeKind::Removed));
    changed.chain(removed).collect()
}

fn change(section: &str, kind: ChangeKind) -> SectionChange {
    SectionChange {
        section: section.into(),
        kind,
    }
}

fn section_values(document: &Document) -> Vec<(SectionName, Value)> {
    let mut sections = Vec::new();
    for (id, account) in &document.accounts {
        sections.push((format!("accounts/{id}").into(), to_value(account)));
    }
    for (id, service) in &document.services {
        sections.push((format!("services/{id}").into(), to_value(service)));
    }
    sections.push(("policy".into(), to_value(&document.policy)));
    sections
}

/// Cannot fail for the types of the document, whose keys are strings and whose numbers are finite.
fn to_value(part: &impl serde::Serialize) -> Value {
    serde_json::to_value(part).unwrap_or_default()
}

fn insert_section(
    root: &mut Map<String, Value>,
    name: &str,
    text: &str,
) -> std::result::Result<(), String> {
    let UniqueKeys(value) = serde_json::from_str(text)
        .map_err(|e| format!("section {name}: is not valid JSON: {e}"))?;
    if name == "policy" {
        root.insert(name.into(), value);
        return Ok(());
    }
    let Some((group @ ("accounts" | "services"), id)) = name.split_once('/') else {
        return Err(format!(
            "section {name}: the name must be accounts/<id>, services/<id> or policy"
        ));
    };
    let group = root
        .entry(group)
        .or_insert_with(|| Value::Object(Map::new()));
    if let Value::Object(entries) = group {
        entries.insert(id.into(), value);
    }
    Ok(())
}

fn changed_keys(old: &Value, new: &Value) -> Vec<Box<str>> {
    let mut keys = Vec::new();
    collect_changes("", old, new, &mut keys);
    keys
}

fn collect_changes(path: &str, old: &Value, new: &Value, keys: &mut Vec<Box<str>>) {
    let (Value::Object(before), Value::Object(after)) = (old, new) else {
        if old != new {
            keys.push(path.into());
        }
        return;
    };
    for (key, value) in after {
        let path = if path.is_empty() {
            key.clone()
        } else {
            format!("{path}.{key}")
        };
        let old = before.get(key).unwrap_or(&Value::Null);
        collect_changes(&path, old, value, keys);
    }
}
