//! Checks of guarantees against the workers that an entry knows.

use std::collections::BTreeSet;
use std::sync::Arc;

use board::Fleet;
use errors::{Error, ErrorKind, Result};
use indexmap::IndexMap;
use model::{CellId, Document, SectionName, Worker};
use placement::guarantee_faults;

use crate::cmd::fetch::get_json;

/// Refuses a document with guarantees that no cell can pack, and names their sections.
pub(super) async fn check(entry: &str, document: &Document) -> Result<()> {
    let cells: IndexMap<CellId, Vec<Worker>> = get_json(entry, "/v1/workers").await?;
    let workers: usize = cells.values().map(Vec::len).sum();
    let faults = faults(cells, document);
    if faults.is_empty() {
        return Ok(());
    }
    let names: Vec<&str> = faults.iter().map(AsRef::as_ref).collect();
    let message = format!(
        "the guarantees cannot be packed together on the {workers} workers that {entry} knows; sections: {}",
        names.join(", ")
    );
    Err(Error::not_run(ErrorKind::Infeasible, message).report())
}

/// Returns the sections whose guarantees fit into no cell; each owner packs all guarantees into its own cell.
fn faults(cells: IndexMap<CellId, Vec<Worker>>, document: &Document) -> BTreeSet<SectionName> {
    let all = document
        .accounts
        .iter()
        .filter(|(_, account)| !account.guarantees.is_empty());
    let mut faults: BTreeSet<SectionName> =
        all.map(|(id, _)| format!("accounts/{id}").into()).collect();
    for workers in cells.into_values() {
        let cell = guarantee_faults(&fleet(workers), document);
        faults.retain(|section| cell.contains(section));
    }
    faults
}

fn fleet(mut workers: Vec<Worker>) -> Fleet {
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
