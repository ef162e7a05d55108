//! The configuration in the store.

use config::{BaseSection, BaseSections, assemble_sections, section_digest};
use errors::Result;
use indexmap::IndexMap;
use model::{Document, Revision, SectionName};
use store::KvStore;

/// The sections in the store.
pub(super) struct Stored {
    /// The document without faulty sections.
    pub(super) document: Document,
    /// The text of each section without faults.
    pub(super) texts: IndexMap<SectionName, Box<str>>,
    /// The revision and the digest of each section.
    pub(super) base: BaseSections,
    /// The faults of sections that were written to the store without a check.
    pub(super) faults: Vec<Box<str>>,
    /// The revision of the store.
    pub(super) revision: Revision,
}

/// Reads all sections.
pub(super) async fn read(store: &dyn KvStore) -> Result<Stored> {
    let sections = distribution::read_store(store).await?;
    let mut texts = IndexMap::new();
    let mut base = BaseSections::new();
    for section in &sections.sections {
        let Some(text) = &section.text else { continue };
        let sound = assemble_sections([(&*section.name, &**text)]).is_ok();
        let seen = BaseSection {
            revision: section.revision,
            digest: sound.then(|| section_digest(text)),
        };
        base.insert(section.name.clone(), seen);
        if sound {
            texts.insert(section.name.clone(), text.clone());
        }
    }
    Ok(Stored {
        document: assemble_sections(texts.iter().map(|(name, text)| (&**name, &**text)))?,
        faults: distribution::section_errors(&sections),
        revision: sections.revision,
        texts,
        base,
    })
}

/// Returns where a section is now, for messages.
pub(super) fn revision_text(current: Option<Revision>) -> String {
    current.map_or_else(
        || "deleted".to_owned(),
        |revision| format!("at revision {revision}"),
    )
}
