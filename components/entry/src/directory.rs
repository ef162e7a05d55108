//! The directory controller: the endpoints of all cells, as their owners report them.

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

/// How long one watch for new cells waits at the store.
const CELLS_WAIT: Duration = Duration::from_secs(20);
/// The owner answers within 1 s even without a change.
const DIRECTORY_TIMEOUT: Duration = Duration::from_secs(2);
/// The least time between two directories of a cell, whose whole content is sent; a drain must be known within 3 s.
const DIRECTORY_INTERVAL: Duration = Duration::from_millis(300);
/// Bounds of the pause after a failed call, in milliseconds.
const RETRY_DELAY_MS: std::ops::Range<u64> = 100..300;

/// What a subscription to one cell learned.
struct Learned {
    cell: CellId,
    owner: OwnerRecord,
    directory: Directory,
    /// Whether the endpoints are listed; they are left out when they did not change.
    changed: bool,
}

/// Follows all cells until the process ends.
pub(crate) async fn run(cx: Arc<Context>) {
    let (tx, rx) = mpsc::channel(16);
    tokio::spawn(merge(Arc::clone(&cx), rx));
    let mut followed: Vec<CellId> = Vec::new();
    let mut known = None;
    loop {
        let (cells, revision) = cells(&cx, known).await;
        known = revision;
        for cell in cells {
            if !followed.contains(&cell) {
                followed.push(cell.clone());
                tokio::spawn(follow(Arc::clone(&cx), cell, tx.clone()));
            }
        }
    }
}

/// Returns the entry's own cell and all cells in the store, once that changed since the known revision.
async fn cells(cx: &Context, known: Option<Revision>) -> (Vec<CellId>, Option<Revision>) {
    let mut cells = vec![cx.settings.cell.clone()];
    if let Ok((names, revision)) = cx.locator.cells(known, CELLS_WAIT).await {
        if cx.entry_board.cells.load().as_ref() != &Some(names.clone()) {
            cx.entry_board.cells.publish(Some(names.clone()));
        }
        cells.extend(names);
        return (cells, Some(revision));
    }
    pause(cx).await;
    (cells, None)
}

async fn pause(cx: &Context) {
    let delay = Duration::from_millis(fastrand::u64(RETRY_DELAY_MS));
    cx.timer.subscribe_after(delay).recv().await;
}

async fn follow(cx: Arc<Context>, cell: CellId, tx: mpsc::Sender<Learned>) {
    loop {
        if let Ok(owner) = cx.locator.owner(&cell).await {
            follow_owner(&cx, &cell, &owner, &tx).await;
        }
        pause(&cx).await;
    }
}

/// Asks one owner again and again; ends when it no longer answers as the owner.
async fn follow_owner(
    cx: &Context,
    cell: &CellId,
    owner: &OwnerRecord,
    tx: &mpsc::Sender<Learned>,
) {
    let mut after = 0;
    let mut behind = None;
    while let Ok(directory) = ask(cx, owner, after).await {
        let changed = after == 0 || directory.version != after;
        after = directory.version;
        fetch_newer_config(cx, owner, directory.revision, &mut behind).await;
        let learned = Learned {
            cell: cell.clone(),
            owner: owner.clone(),
            directory,
            changed,
        };
        if tx.send(learned).await.is_err() {
            return;
        }
        if changed {
            cx.timer.subscribe_after(DIRECTORY_INTERVAL).recv().await;
        }
    }
}

async fn ask(cx: &Context, owner: &OwnerRecord, after: u64) -> Result<Directory> {
    match cx
        .peers
        .call(owner.addr, &Call::Directory { after }, DIRECTORY_TIMEOUT)
        .await?
    {
        Reply::Directory(directory) => Ok(directory),
        _ => Err(Error::not_run(ErrorKind::Internal, "unexpected reply to Directory").report()),
    }
}

/// Fetches the sections of an owner if the relay has not delivered them for a while.
///
/// This brings a change from one region to the other when the store fails just after it accepted the change.
async fn fetch_newer_config(
    cx: &Context,
    owner: &OwnerRecord,
    revision: Revision,
    behind: &mut Option<Instant>,
) {
    let own = cx.entry_board.held.load().revision;
    if revision <= own {
        *behind = None;
        return;
    }
    let since = *behind.get_or_insert_with(timer::now);
    if timer::now().saturating_duration_since(since) < relay::catch_up_grace(cx) {
        return;
    }
    if let Ok(sections) = distribution::fetch(&cx.peers, owner.addr, own).await {
        cx.config_updates.deliver(sections).await;
    }
}

/// Merges the directories of all cells into one section.
async fn merge(cx: Arc<Context>, mut rx: mpsc::Receiver<Learned>) {
    let mut directories = Directories::default();
    while let Some(learned) = rx.recv().await {
        cx.entry_board.owners.update(|owners| {
            owners.insert(learned.cell.clone(), learned.owner.clone());
        });
        cx.entry_board.live_jobs.update(|jobs| {
            jobs.insert(learned.cell.clone(), learned.directory.live_jobs);
        });
        report(&cx, &learned);
        if !directories.learn(learned) {
            continue;
        }
        let settled = directories.used.iter().filter(|(_, d)| d.settled);
        let settled = settled.map(|(cell, _)| cell.clone());
        cx.entry_board.settled.publish(settled.collect());
        cx.board
            .membership
            .publish(membership(&directories.used, timer::now()));
        refresh_routes(&cx.board, &cx.settings.region);
    }
}

/// The directories of all cells.
#[derive(Default)]
struct Directories {
    /// The endpoints that each owner listed last; an unchanged list is not sent again.
    listed: IndexMap<CellId, Vec<EndpointEntry>>,
    /// The directories by which requests are routed.
    used: IndexMap<CellId, Directory>,
}

impl Directories {
    /// Takes a directory in and returns whether routing changes.
    fn learn(&mut self, learned: Learned) -> bool {
        let Learned {
            cell,
            mut directory,
            changed,
            ..
        } = learned;
        if changed {
            self.listed
                .insert(cell.clone(), std::mem::take(&mut directory.endpoints));
        }
        // An owner that just took over does not know all endpoints yet; those of its predecessor still serve.
        let complete = directory.settled && !directory.recovering;
        if !complete && self.used.contains_key(&cell) {
            return false;
        }
        directory.endpoints = self.listed.get(&cell).cloned().unwrap_or_default();
        let same = self.used.get(&cell).is_some_and(|used| {
            used.settled == directory.settled && used.endpoints == directory.endpoints
        });
        self.used.insert(cell, directory);
        !same
    }
}

/// Publishes what operators want to know, and marks the peers in other regions.
fn report(cx: &Context, learned: &Learned) {
    let directory = &learned.directory;
    cx.entry_board.reports.update(|reports| {
        let report = CellReport {
            region: directory.region.clone(),
            revision: directory.revision,
            free: directory.free,
            summary: directory.summary.clone(),
        };
        reports.insert(learned.cell.clone(), report);
    });
    let remote = |region: &str| *region != *cx.settings.region;
    cx.peers
        .set_remote(learned.owner.addr, remote(&directory.region));
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
        let endpoint = announced(entry, now).serve(entry.free, now);
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

fn announced(entry: &EndpointEntry, now: Instant) -> Endpoint<Announced> {
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
