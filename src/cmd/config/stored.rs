//! Reading the configuration from the store.

use config::{BaseSection, BaseSections, assemble_sections, section_digest};
use errors::Result;
use indexmap::IndexMap;
use model::{Document, Revision, SectionName};
use store::KvStore;

/// The configuration in the store.
pub(super) struct StoredConfig {
    /// The document without invalid sections.
    pub(super) document: Document,
    /// The text of each valid section.
    pub(super) texts: IndexMap<SectionName, Box<str>>,
    /// The revision and the digest of each section, including invalid ones.
    pub(super) base: BaseSections,
    /// The faults of invalid sections, which were written to the store without a check.
    pub(super) faults: Vec<Box<str>>,
    /// The store revision at which the sections were read.
    pub(super) revision: Revision,
}

/// Reads all sections.
pub(super) async fn read(store: &dyn KvStore) -> Result<StoredConfig> {
    let sections = distribution::read_store(store).await?;
    let mut texts = IndexMap::new();
    let mut base = BaseSections::new();
    for section in &sections.sections {
        let Some(text) = &section.text else { continue };
        let valid = assemble_sections([(&*section.name, &**text)]).is_ok();
        let base_section = BaseSection {
            revision: section.revision,
            digest: valid.then(|| section_digest(text)),
        };
        base.insert(section.name.clone(), base_section);
        if valid {
            texts.insert(section.name.clone(), text.clone());
        }
    }
    Ok(StoredConfig {
        document: assemble_sections(texts.iter().map(|(name, text)| (&**name, &**text)))?,
        faults: distribution::section_errors(&sections),
        revision: sections.revision,
        texts,
        base,
    })
}

/// Describes the current state of a section for messages.
pub(super) fn describe_revision(current: Option<Revision>) -> String {
    current.map_or_else(
        || "deleted".to_owned(),
        |revision| format!("at revision {revision}"),
    )
}
