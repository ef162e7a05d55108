//! Edits of the configuration document relative to the version that the operator edited.

use errors::{Error, ErrorKind, Result};
use indexmap::IndexMap;
use model::{Document, Revision, SectionName};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::document::{check_value, deserialize_document};
use crate::sections::split_sections;
use crate::validator::Validator;

/// The key under which a document file contains its base.
const BASE_KEY: &str = "base";
/// The number of hexadecimal digits of a digest, enough to distinguish the versions of one section.
const DIGEST_LENGTH: usize = 16;

/// The sections that a document file was made from.
pub type BaseSections = IndexMap<SectionName, BaseSection>;

/// The version of a section that a document file was made from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BaseSection {
    /// The revision of the section.
    pub revision: Revision,
    /// The digest of its text; `None` if the text is invalid, in which case `config show` leaves the section out of the
    /// document.
    pub digest: Option<Box<str>>,
}

/// A change to a section.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SectionEdit {
    /// The name of the section.
    pub section: SectionName,
    /// The new text; `None` if the section is removed.
    pub text: Option<Box<str>>,
    /// The revision that the edit is based on; `None` if the section did not exist.
    pub base: Option<Revision>,
}

/// Parses a document file, which may contain the base that it was made from.
pub fn parse_with_base(file_name: &str, text: &str) -> Result<(Document, Option<BaseSections>)> {
    let mut value = Validator::new(file_name).parse(text)?;
    let base = value.as_object_mut().and_then(|root| root.remove(BASE_KEY));
    check_value(file_name, &value)?;
    let base = base.map(|base| parse_base(file_name, base)).transpose()?;
    Ok((deserialize_document(file_name, value)?, base))
}

fn parse_base(file: &str, value: Value) -> Result<BaseSections> {
    serde_json::from_value(value).map_err(|e| {
        let message = format!("{file}: {BASE_KEY}: {e}");
        Error::not_run(ErrorKind::InvalidRequest, message).report()
    })
}

/// Formats a document file with its base.
pub fn format_with_base(document: &Document, base: &BaseSections) -> String {
    let mut value = serde_json::to_value(document).unwrap_or_default();
    value[BASE_KEY] = serde_json::to_value(base).unwrap_or_default();
    format!("{value:#}")
}

/// Returns the digest of the text of a section; equal JSON values have the same digest.
pub fn section_digest(text: &str) -> Box<str> {
    let parsed = serde_json::from_str::<Value>(text).map(|value| value.to_string());
    let text = parsed.as_deref().unwrap_or(text);
    blake3::hash(text.as_bytes()).to_hex()[..DIGEST_LENGTH].into()
}

/// Returns the sections that differ from their base; sections that only other operators have changed are not edits.
pub fn section_edits(document: &Document, base: &BaseSections) -> Vec<SectionEdit> {
    let sections = split_sections(document);
    let removed: Vec<SectionEdit> = base
        .iter()
        .filter(|(name, original)| {
            original.digest.is_some() && sections.iter().all(|(section, _)| section != *name)
        })
        .map(|(name, original)| edit(name, None, Some(original)))
        .collect();
    let changed = sections.into_iter().filter_map(|(name, text)| {
        let original = base.get(&name);
        let same = original.is_some_and(|original| original.digest == Some(section_digest(&text)));
        (!same).then(|| edit(&name, Some(text), original))
    });
    changed.chain(removed).collect()
}

fn edit(section: &str, text: Option<Box<str>>, original: Option<&BaseSection>) -> SectionEdit {
    SectionEdit {
        section: section.into(),
        text,
        base: original.map(|original| original.revision),
    }
}
