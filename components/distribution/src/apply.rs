//! Applying sections whose revision rises.

use std::sync::Arc;

use board::{ConfigSnapshot, SectionText};
use config::assemble_sections;
use errors::Result;
use model::Revision;
use wire::{Section, Sections};

/// Returns the snapshot with all newer sections, or nothing if none is newer.
///
/// An error leaves the old document in force: a faulty section must not take the other ones down.
pub fn apply(current: &ConfigSnapshot, update: &Sections) -> Result<Option<ConfigSnapshot>> {
    let newer: Vec<&Section> = update
        .sections
        .iter()
        .filter(|section| is_newer(current, section))
        .collect();
    if newer.is_empty() && update.revision <= current.revision {
        return Ok(None);
    }
    let mut next = current.clone();
    for section in newer {
        let text = section.text.as_deref().map(Arc::from);
        next.sections.insert(
            section.name.clone(),
            SectionText {
                revision: section.revision,
                text,
            },
        );
    }
    next.revision = next.revision.max(update.revision);
    next.document = assemble_sections(texts(&next))?;
    Ok(Some(next))
}

/// Returns the sections above a revision.
pub fn sections_after(snapshot: &ConfigSnapshot, after: Revision) -> Sections {
    let newer = snapshot
        .sections
        .iter()
        .filter(|(_, section)| section.revision > after);
    let sections = newer.map(|(name, section)| Section {
        name: name.clone(),
        revision: section.revision,
        text: section.text.as_deref().map(Into::into),
    });
    Sections {
        revision: snapshot.revision,
        sections: sections.collect(),
    }
}

fn is_newer(current: &ConfigSnapshot, section: &Section) -> bool {
    current
        .sections
        .get(&section.name)
        .is_none_or(|known| known.revision < section.revision)
}

fn texts(snapshot: &ConfigSnapshot) -> impl Iterator<Item = (&str, &str)> {
    snapshot
        .sections
        .iter()
        .filter_map(|(name, section)| Some((&**name, section.text.as_deref()?)))
}
