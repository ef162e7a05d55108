//! `limpethook config apply`.

use std::process::ExitCode;

use config::{BaseSections, SectionEdit, assemble_sections, section_digest, section_edits};
use distribution::CONFIG_PREFIX;
use errors::{Error, ErrorKind, Result, Verdict};
use model::{Document, Revision};
use store::{
    ConfirmedOutcome, KvPair, KvStore, Precondition, PutRequest, WriteOutcome, put_confirmed,
};

use super::lock::Lock;
use super::stored::{StoredConfig, describe_revision};
use super::{guarantees, open_store, read_document, stored};
use crate::cli::ApplyArgs;
use crate::cmd::exit_code;

/// Writes each edited section with compare-and-swap and reports its result.
pub(super) async fn apply(args: &ApplyArgs) -> Result<ExitCode> {
    let (document, base) = read_document(&args.file)?;
    let base = match &args.base {
        Some(file) => read_document(file)?.1,
        None => base,
    };
    let store = open_store(&args.store)?;
    let lock = Lock::acquire(&store).await?;
    let result = apply_locked(args, &document, &base.unwrap_or_default(), &store, &lock).await;
    lock.release(&store).await;
    result
}

async fn apply_locked(
    args: &ApplyArgs,
    document: &Document,
    base: &BaseSections,
    store: &dyn KvStore,
    lock: &Lock,
) -> Result<ExitCode> {
    let stored = stored::read(store).await?;
    let is_selected =
        |edit: &SectionEdit| args.section.is_empty() || args.section.contains(&edit.section);
    let mut edits = section_edits(document, base);
    edits.retain(|edit| is_selected(edit) && !is_applied(edit, &stored));
    check_conflicts(&edits, &stored)?;
    check_resulting_document(args, &edits, &stored).await?;
    let mut code = ExitCode::SUCCESS;
    let mut any_unknown = false;
    for edit in &edits {
        match write_section(store, lock, edit, stored.revision).await {
            Ok(revision) => println!("{}: applied at revision {revision}", edit.section),
            Err(report) => {
                let error = report.current_context();
                println!("{}: {error}", edit.section);
                if !any_unknown {
                    code = exit_code(error);
                }
                any_unknown |= error.verdict == Verdict::MayHaveRun;
            }
        }
    }
    if edits.is_empty() {
        println!("nothing to apply");
    }
    Ok(code)
}

/// Returns whether the store already has the wanted state of the section, for example from an earlier attempt.
fn is_applied(edit: &SectionEdit, stored: &StoredConfig) -> bool {
    match (stored.base.get(&edit.section), &edit.text) {
        (Some(section), Some(text)) => section.digest == Some(section_digest(text)),
        (current, text) => current.is_none() && text.is_none(),
    }
}

fn check_conflicts(edits: &[SectionEdit], stored: &StoredConfig) -> Result<()> {
    let mut conflicts = Vec::new();
    for edit in edits {
        let current = stored
            .base
            .get(&edit.section)
            .map(|section| section.revision);
        if current != edit.base {
            conflicts.push(conflict_message(&edit.section, edit.base, current));
        }
    }
    if conflicts.is_empty() {
        return Ok(());
    }
    conflicts
        .push("nothing was written; run `limpethook config show` again and repeat the edit".into());
    Err(Error::not_run(ErrorKind::Conflict, conflicts.join("\n")).report())
}

fn conflict_message(section: &str, base: Option<Revision>, current: Option<Revision>) -> String {
    let base = base.map_or_else(
        || "the file has no base revision for it".to_owned(),
        |revision| format!("the file is based on revision {revision}"),
    );
    let current = describe_revision(current);
    format!("section {section} was changed concurrently and is now {current}; {base}")
}

/// Checks the document that results from applying the edits to the stored sections.
async fn check_resulting_document(
    args: &ApplyArgs,
    edits: &[SectionEdit],
    stored: &StoredConfig,
) -> Result<()> {
    let mut texts = stored.texts.clone();
    for edit in edits {
        match &edit.text {
            Some(text) => drop(texts.insert(edit.section.clone(), text.clone())),
            None => drop(texts.shift_remove(&edit.section)),
        }
    }
    let document = assemble_sections(texts.iter().map(|(name, text)| (&**name, &**text)))?;
    let Some(entry) = &args.entry else {
        eprintln!("without --entry, the guarantees are not checked against the workers");
        return Ok(());
    };
    guarantees::check(entry, &document).await
}

async fn write_section(
    store: &dyn KvStore,
    lock: &Lock,
    edit: &SectionEdit,
    known_revision: Revision,
) -> Result<Revision> {
    lock.ensure_held()?;
    let key: Box<str> = format!("{CONFIG_PREFIX}{}", edit.section).into();
    let Some(text) = &edit.text else {
        return delete_section(store, &key, edit).await;
    };
    let req = PutRequest {
        key,
        value: text.to_string().into(),
        precondition: edit
            .base
            .map_or(Precondition::Absent, Precondition::Revision),
        lease: None,
        known_revision,
    };
    match put_confirmed(store, &req).await? {
        ConfirmedOutcome::Written { revision } => Ok(revision),
        ConfirmedOutcome::Conflict { current } => Err(conflict_error(edit, current)),
        ConfirmedOutcome::Unknown(error) => Err(error.report()),
    }
}

/// Deletes a section. If the response of the store is lost, the key is read back to determine the result.
async fn delete_section(store: &dyn KvStore, key: &str, edit: &SectionEdit) -> Result<Revision> {
    let precondition = edit.base.map_or(Precondition::Any, Precondition::Revision);
    let report = match store.delete(key, precondition).await {
        Ok(outcome) => return deletion_result(edit, outcome),
        Err(report) if report.current_context().verdict == Verdict::MayHaveRun => report,
        Err(report) => return Err(report),
    };
    let outcome_unknown = || report.current_context().clone().report();
    let Ok(listing) = store.list(key).await else {
        return Err(outcome_unknown());
    };
    let current = listing.pairs.iter().find(|pair| *pair.key == *key);
    match current.map(|pair: &KvPair| pair.revision) {
        None => Ok(listing.revision),
        Some(revision) if Some(revision) != edit.base => Err(conflict_error(edit, Some(revision))),
        Some(_) => match store.delete(key, precondition).await {
            // The first deletion took effect after the key was read back.
            Ok(WriteOutcome::Conflict { current: None }) => Ok(listing.revision),
            Ok(outcome) => deletion_result(edit, outcome),
            Err(_) => Err(outcome_unknown()),
        },
    }
}

fn deletion_result(edit: &SectionEdit, outcome: WriteOutcome) -> Result<Revision> {
    match outcome {
        WriteOutcome::Written { revision } => Ok(revision),
        WriteOutcome::Conflict { current } => Err(conflict_error(edit, current)),
    }
}

fn conflict_error(edit: &SectionEdit, current: Option<Revision>) -> error_stack::Report<Error> {
    let message = conflict_message(&edit.section, edit.base, current);
    Error::not_run(ErrorKind::Conflict, message).report()
}
