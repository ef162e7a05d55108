//! Check of guarantees against the workers known to an entry.

use std::collections::BTreeSet;
use std::sync::Arc;

use board::Fleet;
use errors::{Error, ErrorKind, Result};
use indexmap::IndexMap;
use model::{CellId, Document, SectionName, Worker};
use placement::guarantee_faults;

use crate::cmd::fetch::get_json;

/// Fails if no cell can hold the guarantees of some sections, and names these sections.
pub(super) async fn check(entry: &str, document: &Document) -> Result<()> {
    let cells: IndexMap<CellId, Vec<Worker>> = get_json(entry, "/v1/workers").await?;
    let workers: usize = cells.values().map(Vec::len).sum();
    let unpackable_sections = unpackable_sections(cells, document);
    if unpackable_sections.is_empty() {
        return Ok(());
    }
    let names: Vec<&str> = unpackable_sections.iter().map(AsRef::as_ref).collect();
    let message = format!(
        "the guarantees do not fit together on the {workers} workers known to {entry}; sections: {}",
        names.join(", ")
    );
    Err(Error::not_run(ErrorKind::Infeasible, message).report())
}

/// Returns the sections whose guarantees fit into no cell. All guarantees are packed into each cell, as its owner does.
fn unpackable_sections(
    cells: IndexMap<CellId, Vec<Worker>>,
    document: &Document,
) -> BTreeSet<SectionName> {
    let with_guarantees = document
        .accounts
        .iter()
        .filter(|(_, account)| !account.guarantees.is_empty());
    let mut unpackable_sections: BTreeSet<SectionName> = with_guarantees
        .map(|(id, _)| format!("accounts/{id}").into())
        .collect();
    for workers in cells.into_values() {
        let unpackable_in_cell = guarantee_faults(&idle_fleet(workers), document);
        unpackable_sections.retain(|section| unpackable_in_cell.contains(section));
    }
    unpackable_sections
}

fn idle_fleet(mut workers: Vec<Worker>) -> Fleet {
    workers.sort_by(|a, b| a.location.cmp(&b.location).then_with(|| a.id.cmp(&b.id)));
    let free = workers.iter().map(|worker| worker.capacity).collect();
    let workers = workers
        .into_iter()
        .map(|worker| (worker.id.clone(), worker));
    Fleet {
        workers: Arc::new(workers.collect()),
        free,
        ..Fleet::default()
    }
}
