//! `limpethook config`.

use std::path::Path;
use std::process::ExitCode;

use config::{
    Change, ChangeKind, assemble_sections, diff_documents, parse_document, split_sections,
};
use distribution::CONFIG_PREFIX;
use errors::{Error, ErrorKind, Result};
use indexmap::IndexMap;
use model::{Document, Revision, SectionName};
use store::{Confirmed, Expect, HttpStore, HttpStoreSettings, KvStore, PutRequest, put_confirmed};

use crate::cli::ConfigCommand;
use crate::cmd::block_on;

/// Runs a subcommand of `config`.
pub(crate) fn run(command: ConfigCommand) -> Result<ExitCode> {
    match command {
        ConfigCommand::Check { file } => check(&file),
        ConfigCommand::Show { store } => block_on(show(&store)),
        ConfigCommand::Diff { file, store } => block_on(diff(&file, &store)),
        ConfigCommand::Apply {
            file,
            store,
            section,
        } => block_on(apply(&file, &store, &section)),
        ConfigCommand::Token => token(),
    }
}

fn check(file: &Path) -> Result<ExitCode> {
    let document = read_document(file)?;
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

fn read_document(file: &Path) -> Result<Document> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|e| Error::not_run(ErrorKind::InvalidRequest, format!("{name}: {e}")).report())?;
    parse_document(&name, &text)
}

/// The document in the store with the revision of each section.
struct Stored {
    document: Document,
    revisions: IndexMap<SectionName, Revision>,
}

async fn read_store(store: &dyn KvStore) -> Result<Stored> {
    let sections = distribution::read_store(store).await?;
    let present = || {
        sections
            .sections
            .iter()
            .filter_map(|section| Some((&*section.name, section.text.as_deref()?)))
    };
    Ok(Stored {
        document: assemble_sections(present())?,
        revisions: sections
            .sections
            .iter()
            .map(|section| (section.name.clone(), section.revision))
            .collect(),
    })
}

fn open_store(url: &str) -> Result<HttpStore> {
    HttpStore::new(&HttpStoreSettings::new(url))
}

async fn show(url: &str) -> Result<ExitCode> {
    let stored = read_store(&open_store(url)?).await?;
    println!(
        "{}",
        serde_json::to_string_pretty(&stored.document).unwrap_or_default()
    );
    Ok(ExitCode::SUCCESS)
}

async fn diff(file: &Path, url: &str) -> Result<ExitCode> {
    let document = read_document(file)?;
    let stored = read_store(&open_store(url)?).await?;
    for change in diff_documents(&stored.document, &document) {
        println!("{}", describe(&change));
    }
    Ok(ExitCode::SUCCESS)
}

fn describe(change: &Change) -> String {
    match &change.kind {
        ChangeKind::Added => format!("{}: added", change.section),
        ChangeKind::Removed => format!("{}: removed", change.section),
        ChangeKind::Changed(keys) => format!("{}: changed {}", change.section, keys.join(", ")),
    }
}

/// Writes each section that differs with compare-and-swap and reports what became of it.
async fn apply(file: &Path, url: &str, only: &[Box<str>]) -> Result<ExitCode> {
    let document = read_document(file)?;
    let store = open_store(url)?;
    let stored = read_store(&store).await?;
    let changed = diff_documents(&stored.document, &document);
    let texts: IndexMap<_, _> = split_sections(&document).into_iter().collect();
    let mut failed = false;
    for change in changed {
        let name = change.section;
        if !only.is_empty() && !only.contains(&name) {
            continue;
        }
        let revision = stored.revisions.get(&name).copied();
        let result = match texts.get(&name) {
            Some(text) => write(&store, &name, text, revision).await,
            None => remove(&store, &name, revision).await,
        };
        match result {
            Ok(revision) => println!("{name}: applied at revision {revision}"),
            Err(report) => {
                failed = true;
                println!("{name}: {}", report.current_context());
            }
        }
    }
    Ok(if failed {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}

async fn write(
    store: &dyn KvStore,
    name: &str,
    text: &str,
    revision: Option<Revision>,
) -> Result<Revision> {
    let req = PutRequest {
        key: format!("{CONFIG_PREFIX}{name}").into(),
        value: text.to_owned().into(),
        expect: revision.map_or(Expect::Absent, Expect::Revision),
        lease: None,
        since: revision.unwrap_or_default(),
    };
    match put_confirmed(store, &req).await? {
        Confirmed::Written { revision } => Ok(revision),
        Confirmed::Conflict { current } => Err(conflict(name, current)),
        Confirmed::Unknown(error) => Err(error.report()),
    }
}

async fn remove(store: &dyn KvStore, name: &str, revision: Option<Revision>) -> Result<Revision> {
    let expect = revision.map_or(Expect::Any, Expect::Revision);
    match store
        .delete(&format!("{CONFIG_PREFIX}{name}"), expect)
        .await?
    {
        store::PutOutcome::Written { revision } => Ok(revision),
        store::PutOutcome::Conflict { current } => Err(conflict(name, current)),
    }
}

fn conflict(name: &str, current: Option<Revision>) -> error_stack::Report<Error> {
    let current = current.map_or_else(
        || "deleted".to_owned(),
        |revision| format!("at revision {revision}"),
    );
    let message = format!(
        "section {name} was changed by somebody else and is now {current}; run config diff again"
    );
    Error::not_run(ErrorKind::Conflict, message).report()
}
