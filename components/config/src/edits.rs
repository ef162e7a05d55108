//! What an operator saw before an edit: the revision and the digest of each section.

use errors::{Error, ErrorKind, Result};
use indexmap::IndexMap;
use model::{Document, Revision, SectionName};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::checker::Faults;
use crate::document::{check_value, document_from};
use crate::sections::split_sections;

/// The key of a document file that holds the base.
const BASE_KEY: &str = "base";
/// Hexadecimal digits of a digest, enough to tell the texts of one section apart.
const DIGEST_LENGTH: usize = 16;

/// The sections that an operator saw.
pub type Base = IndexMap<SectionName, Seen>;

/// One section that an operator saw.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seen {
    /// The revision of the section.
    pub revision: Revision,
    /// The digest of its text; none if the text is faulty, so that the document of `config show` lacks the section.
    pub digest: Option<Box<str>>,
}

/// A section that an operator changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Edit {
    /// The section.
    pub section: SectionName,
    /// Its new text; none if the operator removed it.
    pub text: Option<Box<str>>,
    /// The revision that the operator saw; none if the section did not exist.
    pub base: Option<Revision>,
}

/// Reads a document file, which may hold the base that it was made from.
pub fn parse_edited(file_name: &str, text: &str) -> Result<(Document, Option<Base>)> {
    let mut value = Faults::new(file_name).parse(text)?;
    let base = value.as_object_mut().and_then(|root| root.remove(BASE_KEY));
    check_value(file_name, &value)?;
    let base = base.map(|base| base_from(file_name, base)).transpose()?;
    Ok((document_from(file_name, value)?, base))
}

fn base_from(file: &str, value: Value) -> Result<Base> {
    serde_json::from_value(value).map_err(|fault| {
        let message = format!("{file}: {BASE_KEY}: {fault}");
        Error::not_run(ErrorKind::InvalidRequest, message).report()
    })
}

/// Returns the text of a document file with its base.
pub fn edited_text(document: &Document, base: &Base) -> String {
    let mut value = serde_json::to_value(document).unwrap_or_default();
    value[BASE_KEY] = serde_json::to_value(base).unwrap_or_default();
    format!("{value:#}")
}

/// Returns the digest of the text of a section; a text that means the same has the same digest.
pub fn section_digest(text: &str) -> Box<str> {
    let parsed = serde_json::from_str::<Value>(text).map(|value| value.to_string());
    let text = parsed.as_deref().unwrap_or(text);
    blake3::hash(text.as_bytes()).to_hex()[..DIGEST_LENGTH].into()
}

/// Returns the sections that differ from what the operator saw; sections that only others changed are no edits.
pub fn edits(document: &Document, base: &Base) -> Vec<Edit> {
    let sections = split_sections(document);
    let removed: Vec<Edit> = base
        .iter()
        .filter(|(name, seen)| {
            seen.digest.is_some() && sections.iter().all(|(section, _)| section != *name)
        })
        .map(|(name, seen)| edit(name, None, Some(seen)))
        .collect();
    let changed = sections.into_iter().filter_map(|(name, text)| {
        let seen = base.get(&name);
        let same = seen.is_some_and(|seen| seen.digest == Some(section_digest(&text)));
        (!same).then(|| edit(&name, Some(text), seen))
    });
    changed.chain(removed).collect()
}

fn edit(section: &str, text: Option<Box<str>>, seen: Option<&Seen>) -> Edit {
    Edit {
        section: section.into(),
        text,
        base: seen.map(|seen| seen.revision),
    }
}
