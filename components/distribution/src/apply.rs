//! Application of configuration sections with newer revisions.

use std::sync::Arc;

use board::{ConfigSnapshot, SectionText};
use config::assemble_sections;
use model::{Revision, SectionName};
use wire::{Section, Sections};

/// The result of applying an update.
#[derive(Debug, Default)]
pub struct Applied {
    /// The snapshot with all newer sections; `None` if the update changes nothing.
    pub next: Option<ConfigSnapshot>,
    /// The sections that have a newer revision, with that revision.
    pub updated: Vec<(SectionName, Revision)>,
    /// The validation errors of rejected sections, whose previous versions stay active.
    pub errors: Vec<Box<str>>,
}

/// The name prefix of the sections of client accounts.
const ACCOUNTS_PREFIX: &str = "accounts/";

/// Applies the newer sections of an update. Each section is validated separately, so an invalid one does not hold back
/// the others.
pub fn apply(current: &ConfigSnapshot, update: &Sections) -> Applied {
    let mut applied = Applied::default();
    let mut next = current.clone();
    for section in update.sections.iter().filter(|s| is_newer(current, s)) {
        match validation_error(section) {
            Some(error) => applied.errors.push(error),
            None => insert_section(&mut next, &mut applied, section),
        }
    }
    remove_deleted_sections(&mut next, &mut applied, update);
    let is_newer_listing = update.present.is_some() && update.revision > current.deletions_from;
    // If a watch that returned no changes raised the revision, every process would fetch sections.
    if applied.updated.is_empty() && applied.errors.is_empty() && !is_newer_listing {
        return applied;
    }
    if is_newer_listing {
        next.deletions_from = update.revision;
    }
    next.revision = next.revision.max(update.revision);
    match assemble_sections(section_texts(&next)) {
        Ok(document) => {
            next.document = document;
            applied.next = Some(next);
        }
        Err(report) => applied
            .errors
            .push(report.current_context().message.clone()),
    }
    applied
}

/// Returns the sections that are newer than a revision.
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
    let present = || {
        section_texts(snapshot)
            .map(|(name, _)| name.into())
            .collect()
    };
    Sections {
        revision: snapshot.revision,
        sections: sections.collect(),
        present: (after < snapshot.deletions_from).then(present),
    }
}

/// Returns the sections that are newer than a revision, for an agent, which does not use client accounts.
///
/// Accounts make up most of the document, and an owner forwards each change to all its agents. Accounts are sent
/// without text, so that they still advance the revision of the agent.
pub fn agent_sections_after(snapshot: &ConfigSnapshot, after: Revision) -> Sections {
    let mut sections = sections_after(snapshot, after);
    let accounts = sections.sections.iter_mut();
    for section in accounts.filter(|section| section.name.starts_with(ACCOUNTS_PREFIX)) {
        section.text = None;
    }
    sections
}

/// Returns the validation errors of sections that `apply` rejects.
pub fn section_errors(update: &Sections) -> Vec<Box<str>> {
    update
        .sections
        .iter()
        .filter_map(validation_error)
        .collect()
}

fn validation_error(section: &Section) -> Option<Box<str>> {
    let text = section.text.as_deref()?;
    let report = assemble_sections([(&*section.name, text)]).err()?;
    let (name, revision) = (&section.name, section.revision);
    let message = &report.current_context().message;
    Some(format!("section {name} at revision {revision}: {message}").into())
}

fn insert_section(next: &mut ConfigSnapshot, applied: &mut Applied, section: &Section) {
    let text = section.text.as_deref().map(Arc::from);
    let revision = section.revision;
    next.sections
        .insert(section.name.clone(), SectionText { revision, text });
    applied.updated.push((section.name.clone(), revision));
}

/// Removes the sections that were deleted between the current revision and that of the update.
fn remove_deleted_sections(next: &mut ConfigSnapshot, applied: &mut Applied, update: &Sections) {
    let Some(present) = &update.present else {
        return;
    };
    for (name, section) in &mut next.sections {
        let is_deleted = section.revision <= update.revision && !present.contains(name);
        if is_deleted && section.text.is_some() {
            *section = SectionText {
                revision: update.revision,
                text: None,
            };
            applied.updated.push((name.clone(), update.revision));
        }
    }
}

fn is_newer(current: &ConfigSnapshot, section: &Section) -> bool {
    current
        .sections
        .get(&section.name)
        .is_none_or(|known| known.revision < section.revision)
}

fn section_texts(snapshot: &ConfigSnapshot) -> impl Iterator<Item = (&str, &str)> {
    snapshot
        .sections
        .iter()
        .filter_map(|(name, section)| Some((&**name, section.text.as_deref()?)))
}
