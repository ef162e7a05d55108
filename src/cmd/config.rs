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
        ConfigCommand::Show { store } => block_on(show(&store)),
        ConfigCommand::Diff { file, store } => block_on(diff(&file, &store)),
        ConfigCommand::Apply(args) => block_on(apply::apply(&args)),
        ConfigCommand::Token => token(),
    }
}

async fn check(file: &Path, entry: Option<&str>) -> Result<ExitCode> {
    let (document, _) = read_document(file)?;
    if let Some(entry) = entry {
        guarantees::check(entry, &document).await?;
    }
    println!(
        "{}: {} client accounts, {} services, no faults",
        file.display(),
        document.accounts.len(),
        document.services.len()
    );
    Ok(ExitCode::SUCCESS)
}

fn token() -> Result<ExitCode> {
    let mut token = String::new();
    std::io::stdin().read_line(&mut token).map_err(|e| {
        Error::not_run(ErrorKind::InvalidRequest, format!("standard input: {e}")).report()
    })?;
    println!("{}", config::new_token_hash(token.trim_end()));
    Ok(ExitCode::SUCCESS)
}

fn read_document(file: &Path) -> Result<(Document, Option<BaseSections>)> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|e| Error::not_run(ErrorKind::InvalidRequest, format!("{name}: {e}")).report())?;
    parse_with_base(&name, &text)
}

fn open_store(url: &str) -> Result<HttpStore> {
    HttpStore::new(&HttpStoreSettings::new(url))
}

async fn show(url: &str) -> Result<ExitCode> {
    let stored = stored::read(&open_store(url)?).await?;
    println!("{}", format_with_base(&stored.document, &stored.base));
    for fault in &stored.faults {
        eprintln!("faulty, not in force: {fault}");
    }
    Ok(ExitCode::SUCCESS)
}

async fn diff(file: &Path, url: &str) -> Result<ExitCode> {
    let (document, base) = read_document(file)?;
    let stored = stored::read(&open_store(url)?).await?;
    for change in diff_documents(&stored.document, &document) {
        println!("{}", describe(&change));
    }
    for (section, seen) in base.unwrap_or_default() {
        let current = stored.base.get(&section).map(|seen| seen.revision);
        if current != Some(seen.revision) {
            let current = stored::revision_text(current);
            println!(
                "{section}: the file has revision {}, the section is now {current}",
                seen.revision
            );
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn describe(change: &SectionChange) -> String {
    match &change.kind {
        ChangeKind::Added => format!("{}: added", change.section),
        ChangeKind::Removed => format!("{}: removed", change.section),
        ChangeKind::Changed(keys) => format!("{}: changed {}", change.section, keys.join(", ")),
    }
}
