//! The directory controller: maintains the endpoints of all cells as reported by their owners.

use std::sync::Arc;
use std::time::{Duration, Instant};

use board::Membership;
use errors::{Error, ErrorKind, Result};
use indexmap::IndexMap;
use model::{Announced, CellId, Endpoint, Revision};
use policy::routing::refresh_routes;
use tokio::sync::mpsc;
use wire::{Call, Directory, EndpointEntry, OwnerRecord, Reply};

use crate::context::{CellReport, Context};
use crate::relay;
use crate::silent::update_silent;

/// Timeout of one store watch for new cells.
const CELLS_WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of a directory call; the owner replies within 1 s even if nothing has changed.
const DIRECTORY_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum delay after a changed directory, because each change sends all endpoints of the cell; a drain must be known
/// within 3 s.
const MIN_DIRECTORY_INTERVAL: Duration = Duration::from_millis(300);
/// Range of the random delay after a failed call, in milliseconds.
const RETRY_DELAY_MS: std::ops::Range<u64> = 100..300;

/// A directory received from the owner of a cell.
struct CellUpdate {
    cell: CellId,
    owner: OwnerRecord,
    directory: Directory,
    /// Whether the directory lists the endpoints; an unchanged list is omitted.
    has_endpoints: bool,
}

/// Follows the directories of all cells until the process exits.
pub(crate) async fn run(cx: Arc<Context>) {
    let (tx, rx) = mpsc::channel(16);
    tokio::spawn(merge_updates(Arc::clone(&cx), rx));
    let mut followed: Vec<CellId> = Vec::new();
    let mut known_revision = None;
    loop {
        let (cells, revision) = list_cells(&cx, known_revision).await;
        known_revision = revision;
        for cell in cells {
            if !followed.contains(&cell) {
                followed.push(cell.clone());
                tokio::spawn(follow_cell(Arc::clone(&cx), cell, tx.clone()));
            }
        }
    }
}

/// Waits for a change since the known revision, and returns the entry's own cell and all cells in the store.
async fn list_cells(
    cx: &Context,
    known_revision: Option<Revision>,
) -> (Vec<CellId>, Option<Revision>) {
    let mut cells = vec![cx.settings.cell.clone()];
    if let Ok((names, revision)) = cx.locator.cells(known_revision, CELLS_WATCH_TIMEOUT).await {
        if cx.entry_board.cells.load().as_ref() != &Some(names.clone()) {
            cx.entry_board.cells.publish(Some(names.clone()));
        }
        cells.extend(names);
        return (cells, Some(revision));
    }
    wait_before_retry(cx).await;
    (cells, None)
}

async fn wait_before_retry(cx: &Context) {
    let delay = Duration::from_millis(fastrand::u64(RETRY_DELAY_MS));
    cx.timer.subscribe_after(delay).recv().await;
}

async fn follow_cell(cx: Arc<Context>, cell: CellId, tx: mpsc::Sender<CellUpdate>) {
    loop {
        if let Ok(owner) = cx.locator.owner(&cell).await {
            follow_owner(&cx, &cell, &owner, &tx).await;
        }
        wait_before_retry(&cx).await;
    }
}

/// Polls the directory of one owner until a call fails, for example because it is no longer the owner.
async fn follow_owner(
    cx: &Context,
    cell: &CellId,
    owner: &OwnerRecord,
    tx: &mpsc::Sender<CellUpdate>,
) {
    let mut after = 0;
    let mut behind_since = None;
    while let Ok(directory) = fetch_directory(cx, owner, after).await {
        let has_endpoints = after == 0 || directory.version != after;
        after = directory.version;
        fetch_newer_config(cx, owner, directory.revision, &mut behind_since).await;
        let update = CellUpdate {
            cell: cell.clone(),
            owner: owner.clone(),
            directory,
            has_endpoints,
        };
        if tx.send(update).await.is_err() {
            return;
        }
        if has_endpoints {
            cx.timer
                .subscribe_after(MIN_DIRECTORY_INTERVAL)
                .recv()
                .await;
        }
    }
}

async fn fetch_directory(cx: &Context, owner: &OwnerRecord, after: u64) -> Result<Directory> {
    match cx
        .peers
        .call(owner.addr, &Call::Directory { after }, DIRECTORY_TIMEOUT)
        .await?
    {
        Reply::Directory(directory) => Ok(directory),
        _ => Err(Error::not_run(ErrorKind::Internal, "unexpected reply to Directory").report()),
    }
}

/// Fetches newer configuration sections from an owner if the relay has not delivered them within the grace period.
///
/// This propagates a change between regions when the store fails right after accepting it.
async fn fetch_newer_config(
    cx: &Context,
    owner: &OwnerRecord,
    revision: Revision,
    behind_since: &mut Option<Instant>,
) {
    let received_revision = cx.entry_board.received_config.load().revision;
    if revision <= received_revision {
        *behind_since = None;
        return;
    }
    let since = *behind_since.get_or_insert_with(timer::now);
    if timer::now().saturating_duration_since(since) < relay::catch_up_grace(cx) {
        return;
    }
    if let Ok(sections) = distribution::fetch(&cx.peers, owner.addr, received_revision).await {
        cx.config_updates.deliver(sections).await;
    }
}

/// Merges the directories of all cells and publishes the result to the board.
async fn merge_updates(cx: Arc<Context>, mut rx: mpsc::Receiver<CellUpdate>) {
    let mut directories = Directories::default();
    while let Some(update) = rx.recv().await {
        cx.entry_board.owners.update(|owners| {
            owners.insert(update.cell.clone(), update.owner.clone());
        });
        // While the owner has not listed the jobs, the last known number holds.
        if let Some(live) = update.directory.live_jobs {
            cx.entry_board.live_jobs.update(|jobs| {
                jobs.insert(update.cell.clone(), live);
            });
        }
        report(&cx, &update);
        if !directories.apply(update) {
            continue;
        }
        let settled = directories.active.iter().filter(|(_, d)| d.settled);
        let settled = settled.map(|(cell, _)| cell.clone());
        cx.entry_board.settled_cells.publish(settled.collect());
        let now = timer::now();
        let listed = membership(&directories.active, now);
        // Published first, so that a reader of the new membership finds the endpoints that it lacks.
        cx.entry_board.silent_endpoints.update(|silent| {
            update_silent(silent, &cx.board.membership.load(), &listed, now);
        });
        cx.board.membership.publish(listed);
        refresh_routes(&cx.board, &cx.settings.region);
    }
}

/// The directories of all cells.
#[derive(Default)]
struct Directories {
    /// The last endpoints reported for each cell; owners do not resend an unchanged list.
    reported_endpoints: IndexMap<CellId, Vec<EndpointEntry>>,
    /// The directories in use for routing.
    active: IndexMap<CellId, Directory>,
}

impl Directories {
    /// Applies an update and returns whether routing has to be refreshed.
    fn apply(&mut self, update: CellUpdate) -> bool {
        let CellUpdate {
            cell,
            mut directory,
            has_endpoints,
            ..
        } = update;
        if has_endpoints {
            self.reported_endpoints
                .insert(cell.clone(), std::mem::take(&mut directory.endpoints));
        }
        // A new owner does not know all endpoints yet, so routing keeps those of its predecessor until it does.
        let complete = directory.settled && !directory.recovering;
        if !complete && self.active.contains_key(&cell) {
            return false;
        }
        directory.endpoints = self
            .reported_endpoints
            .get(&cell)
            .cloned()
            .unwrap_or_default();
        let same = self.active.get(&cell).is_some_and(|active| {
            active.settled == directory.settled && active.endpoints == directory.endpoints
        });
        self.active.insert(cell, directory);
        !same
    }
}

/// Publishes the status of the cell, and marks peers in other regions as remote.
fn report(cx: &Context, update: &CellUpdate) {
    let directory = &update.directory;
    cx.entry_board.reports.update(|reports| {
        let report = CellReport {
            region: directory.region.clone(),
            revision: directory.revision,
            summary: directory.summary.clone(),
            received: timer::now(),
        };
        reports.insert(update.cell.clone(), report);
    });
    let remote = |region: &str| *region != *cx.settings.region;
    cx.peers
        .set_remote(update.owner.addr, remote(&directory.region));
    for endpoint in &directory.endpoints {
        let place = &endpoint.location;
        cx.peers
            .set_remote(endpoint.agent_addr, remote(&place.region));
    }
}

fn membership(directories: &IndexMap<CellId, Directory>, now: Instant) -> Membership {
    let mut membership = Membership::default();
    for entry in directories
        .values()
        .flat_map(|directory| &directory.endpoints)
    {
        let endpoint = announced_endpoint(entry, now).serve(entry.free, now);
        if entry.draining {
            membership
                .draining
                .insert(entry.id.clone(), Arc::new(endpoint.drain(now)));
        } else {
            membership
                .serving
                .insert(entry.id.clone(), Arc::new(endpoint));
        }
    }
    membership
}

fn announced_endpoint(entry: &EndpointEntry, now: Instant) -> Endpoint<Announced> {
    Endpoint {
        id: entry.id.clone(),
        agent: entry.agent.clone(),
        agent_addr: entry.agent_addr,
        incarnation: entry.incarnation,
        service: entry.service.clone(),
        location: entry.location.clone(),
        slots: entry.slots,
        state: Announced { at: now },
    }
}
