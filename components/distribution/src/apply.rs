//! Applying sections whose revision rises.

use std::sync::Arc;

use board::{ConfigSnapshot, SectionText};
use config::assemble_sections;
use model::{Revision, SectionName};
use wire::{Section, Sections};

/// What an update changes.
#[derive(Debug, Default)]
pub struct Applied {
    /// The snapshot with all newer sections; none if nothing is newer.
    pub next: Option<ConfigSnapshot>,
    /// The sections whose revision rises.
    pub risen: Vec<(SectionName, Revision)>,
    /// The faults of refused sections; what was in force of them before stays in force.
    pub faults: Vec<Box<str>>,
}

/// The names of client accounts' sections begin with this.
const ACCOUNTS_PREFIX: &str = "accounts/";

/// Applies the newer sections of an update, each by itself: a faulty section does not hold the others back.
pub fn apply(current: &ConfigSnapshot, update: &Sections) -> Applied {
    let mut applied = Applied::default();
    let mut next = current.clone();
    for section in update.sections.iter().filter(|s| is_newer(current, s)) {
        match fault(section) {
            Some(fault) => applied.faults.push(fault),
            None => insert(&mut next, &mut applied, section),
        }
    }
    remove_absent(&mut next, &mut applied, update);
    let listed = update.present.is_some() && update.revision > current.deletions_from;
    // A watch that ends without a change moves only the revision, which would make every process ask for sections.
    if applied.risen.is_empty() && applied.faults.is_empty() && !listed {
        return applied;
    }
    if listed {
        next.deletions_from = update.revision;
    }
    next.revision = next.revision.max(update.revision);
    match assemble_sections(texts(&next)) {
        Ok(document) => {
            next.document = document;
            applied.next = Some(next);
        }
        Err(report) => applied
            .faults
            .push(report.current_context().message.clone()),
    }
    applied
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
    let present = || texts(snapshot).map(|(name, _)| name.into()).collect();
    Sections {
        revision: snapshot.revision,
        sections: sections.collect(),
        present: (after < snapshot.deletions_from).then(present),
    }
}

/// Returns the sections above a revision for an agent, which uses no client accounts.
///
/// Accounts are most of the document, and an owner forwards each change to all its agents. They are sent without their
/// text, so that the revision of the agent rises all the same.
pub fn agent_sections_after(snapshot: &ConfigSnapshot, after: Revision) -> Sections {
    let mut sections = sections_after(snapshot, after);
    let accounts = sections.sections.iter_mut();
    for section in accounts.filter(|section| section.name.starts_with(ACCOUNTS_PREFIX)) {
        section.text = None;
    }
    sections
}

/// Returns the faults of sections that `apply` refuses.
pub fn faults(update: &Sections) -> Vec<Box<str>> {
    update.sections.iter().filter_map(fault).collect()
}

fn fault(section: &Section) -> Option<Box<str>> {
    let text = section.text.as_deref()?;
    let report = assemble_sections([(&*section.name, text)]).err()?;
    let (name, revision) = (&section.name, section.revision);
    let message = &report.current_context().message;
    Some(format!("section {name} at revision {revision}: {message}").into())
}

fn insert(next: &mut ConfigSnapshot, applied: &mut Applied, section: &Section) {
    let text = section.text.as_deref().map(Arc::from);
    let revision = section.revision;
    next.sections
        .insert(section.name.clone(), SectionText { revision, text });
    applied.risen.push((section.name.clone(), revision));
}

/// Removes the sections that were deleted between the current revision and that of the update.
fn remove_absent(next: &mut ConfigSnapshot, applied: &mut Applied, update: &Sections) {
    let Some(present) = &update.present else {
        return;
    };
    for (name, section) in &mut next.sections {
        let deleted = section.revision <= update.revision && !present.contains(name);
        if deleted && section.text.is_some() {
            *section = SectionText {
                revision: update.revision,
                text: None,
            };
            applied.risen.push((name.clone(), update.revision));
        }
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
