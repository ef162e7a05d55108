//! `limpethook config`.

mod apply;
mod guarantees;
mod lock;
mod stored;

use std::path::Path;
use std::process::ExitCode;

use config::{
    BaseSections, ChangeKind, SectionChange, diff_documents, format_with_base, parse_with_base,
};
use errors::{Error, ErrorKind, Result};
use model::Document;
use store::{HttpStore, HttpStoreSettings};

use crate::cli::ConfigCommand;
use crate::cmd::block_on;

/// Runs a subcommand of `config`.
pub(crate) fn run(command: ConfigCommand) -> Result<ExitCode> {
    match command {
        ConfigCommand::Check { file, entry } => block_on(check(&file, entry.as_deref())),
        ConfigCommand::Show { store } => block_on(print_stored(&store)),
        ConfigCommand::Diff { file, store } => block_on(print_diff(&file, &store)),
        ConfigCommand::Apply(args) => block_on(apply::apply(&args)),
        ConfigCommand::Token => hash_token_from_stdin(),
    }
}

async fn check(file: &Path, entry: Option<&str>) -> Result<ExitCode> {
    let (document, _) = read_document(file)?;
    if let Some(entry) = entry {
        guarantees::check(entry, &document).await?;
    }
    println!(
        "{}: {} client accounts, {} services, no errors",
        file.display(),
        document.accounts.len(),
        document.services.len()
    );
    Ok(ExitCode::SUCCESS)
}

fn hash_token_from_stdin() -> Result<ExitCode> {
    let mut token = String::new();
    std::io::stdin().read_line(&mut token).map_err(|e| {
        Error::not_run(
            ErrorKind::InvalidRequest,
            format!("cannot read standard input: {e}"),
        )
        .report()
    })?;
    println!("{}", config::new_token_hash(token.trim_end()));
    Ok(ExitCode::SUCCESS)
}

fn read_document(file: &Path) -> Result<(Document, Option<BaseSections>)> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| {
        Error::not_run(
            ErrorKind::InvalidRequest,
            format!("cannot read {name}: {e}"),
        )
        .report()
    })?;
    parse_with_base(&name, &text)
}

fn open_store(url: &str) -> Result<HttpStore> {
    HttpStore::new(&HttpStoreSettings::new(url))
}

async fn print_stored(url: &str) -> Result<ExitCode> {
    let stored = stored::read(&open_store(url)?).await?;
    println!("{}", format_with_base(&stored.document, &stored.base));
    for fault in &stored.faults {
        eprintln!("invalid section, not in force: {fault}");
    }
    Ok(ExitCode::SUCCESS)
}

async fn print_diff(file: &Path, url: &str) -> Result<ExitCode> {
    let (document, base) = read_document(file)?;
    let stored = stored::read(&open_store(url)?).await?;
    for change in diff_documents(&stored.document, &document) {
        println!("{}", describe_change(&change));
    }
    for (section, base_section) in base.unwrap_or_default() {
        let current_revision = stored.base.get(&section).map(|section| section.revision);
        if current_revision != Some(base_section.revision) {
            let current_revision = stored::describe_revision(current_revision);
            println!(
                "{section}: the file is based on revision {}, the section is now {current_revision}",
                base_section.revision
            );
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn describe_change(change: &SectionChange) -> String {
    match &change.kind {
        ChangeKind::Added => format!("{}: added", change.section),
        ChangeKind::Removed => format!("{}: removed", change.section),
        ChangeKind::Changed(keys) => format!("{}: changed {}", change.section, keys.join(", ")),
    }
}
