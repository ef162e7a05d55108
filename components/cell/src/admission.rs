//! Admission of jobs: whether the owner has room for a job, before anything of it is stored.
//!
//! The owner decides, because only it knows all jobs. While it has plenty of room, an entry stores a few jobs without asking, so
//! that a submission does not wait for a call between regions. Entries that have not heard yet that room is scarce may exceed it by a
//! quarter in this way.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use error_stack::Report;
use errors::{Error, ErrorKind, Result};
use graph::JobUsage;
use indexmap::IndexMap;
use ingress::decide::{self, JobLoad, Reason};
use model::{AccountId, JobId};
use wire::{Call, JobAdmission, Reply};

use crate::entry::Entry;
use crate::keys;
use crate::leader::{Leading, Owner};
use crate::submit::with_timeout;

/// Timeout for asking the owner: several times the latency between regions.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);
/// How long room is kept for a record of which the owner learns later.
const STORE_WAIT: Duration = Duration::from_secs(2);
/// Delay after which a client should repeat a submission for which there was no room. Jobs take seconds to end.
const RETRY_DELAY: Duration = Duration::from_secs(5);

/// Jobs that are admitted and not yet part of the usage that the owner publishes.
#[derive(Debug, Default)]
pub(crate) struct Admissions {
    pending: ArcSwap<JobUsage>,
    /// Jobs that other entries have asked for, until the owner learns that they are stored.
    asked: ArcSwap<IndexMap<JobId, Arc<Admission>>>,
    /// Bytes of jobs that are stored although no owner could be notified of them.
    unconfirmed: AtomicUsize,
    /// Whether the owner has said that it must be asked before each job is stored.
    scarce: AtomicBool,
}

/// Room for a job, which is given back when this value is dropped.
#[derive(Debug)]
pub(crate) struct Admission {
    admissions: Arc<Admissions>,
    account: AccountId,
    bytes: usize,
}

impl Admissions {
    /// Holds room for a job if `may` allows it beside what is pending.
    pub(crate) fn hold_if(
        self: &Arc<Self>,
        account: &AccountId,
        bytes: usize,
        may: impl Fn(&JobUsage) -> bool,
    ) -> Option<Admission> {
        let mut granted = false;
        self.pending.rcu(|pending| {
            granted = may(pending);
            if !granted {
                return Arc::clone(pending);
            }
            let mut pending = JobUsage::clone(pending);
            pending.add(account, bytes);
            Arc::new(pending)
        });
        granted.then(|| Admission {
            admissions: Arc::clone(self),
            account: account.clone(),
            bytes,
        })
    }

    /// Holds room for a job that is stored already.
    pub(crate) fn hold(self: &Arc<Self>, account: &AccountId, bytes: usize) -> Option<Admission> {
        self.hold_if(account, bytes, |_| true)
    }

    /// Keeps the room for a job that another entry is about to store.
    fn expect(&self, id: JobId, admission: Admission) {
        let admission = Arc::new(admission);
        self.asked.rcu(|asked| {
            let mut asked = IndexMap::clone(asked);
            asked.insert(id, Arc::clone(&admission));
            asked
        });
    }

    /// Gives back the room that was kept for a job, because it counts as part of the usage, or was not stored in time.
    pub(crate) fn settle(&self, id: JobId) {
        if self.asked.load().contains_key(&id) {
            self.asked.rcu(|asked| {
                let mut asked = IndexMap::clone(asked);
                asked.swap_remove(&id);
                asked
            });
        }
    }

    /// Records the answer of an owner, which knows all jobs that were stored before.
    pub(crate) fn record_reply(&self, reply: &Reply) {
        let scarce = matches!(reply, Reply::JobRoomScarce);
        self.scarce.store(scarce, Ordering::Relaxed);
        self.unconfirmed.store(0, Ordering::Relaxed);
    }

    /// Bytes that this entry has stored, or is storing, without the knowledge of an owner.
    fn unknown_to_owner(&self, pending: &JobUsage) -> usize {
        pending.total + self.unconfirmed.load(Ordering::Relaxed)
    }
}

impl Admission {
    /// Keeps the room until an owner answers, because it may not have learned of the job.
    pub(crate) fn keep_unconfirmed(self) {
        let unconfirmed = &self.admissions.unconfirmed;
        unconfirmed.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.admissions.pending.rcu(|pending| {
            let mut pending = JobUsage::clone(pending);
            pending.subtract(&self.account, self.bytes);
            pending
        });
    }
}

impl Entry {
    /// Reserves room for a job before it is stored.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        id: JobId,
        account: &AccountId,
        bytes: usize,
    ) -> Result<Admission> {
        if self.board.owner().is_err()
            && !self.admissions.scarce.load(Ordering::Relaxed)
            && let Some(admission) = self.hold_unasked(account, bytes)
        {
            return Ok(admission);
        }
        self.ask_owner_to_admit(id, account, bytes).await
    }

    /// Reserves room for a job at the owner. A job that the owner knows needs no more room: it was submitted before, and a refusal
    /// would say that it never runs.
    pub(crate) async fn ask_owner_to_admit(
        self: &Arc<Self>,
        id: JobId,
        account: &AccountId,
        bytes: usize,
    ) -> Result<Admission> {
        let asked = match self.board.owner() {
            Ok(owner) => self.admit_as_owner(&owner, id, account, bytes).await,
            Err(_) => self.ask_remote_owner(id, account, bytes).await,
        };
        let admission = match asked {
            Ok(admission) => admission,
            Err(report) if report.current_context().kind == ErrorKind::Overloaded => None,
            // Without an owner, jobs are accepted as far as the next one has room for them.
            Err(_) => match self.hold_unasked(account, bytes) {
                Some(admission) => Some(admission),
                None if self.is_stored(id).await? => self.admissions.hold(account, 0),
                None => None,
            },
        };
        admission.ok_or_else(|| self.refuse_job())
    }

    /// Asks another entry, which owns the cell, to admit a job.
    async fn ask_remote_owner(
        self: &Arc<Self>,
        id: JobId,
        account: &AccountId,
        bytes: usize,
    ) -> Result<Option<Admission>> {
        let call = Call::AdmitJob(JobAdmission {
            id,
            account: account.clone(),
            bytes: bytes as u64,
        });
        let reply = self.call_leader(call, ASK_TIMEOUT).await?;
        self.admissions.record_reply(&reply);
        Ok(self.admissions.hold(account, bytes))
    }

    /// Reserves room for a job without asking the owner, if this entry has stored little that the owner does not know.
    fn hold_unasked(&self, account: &AccountId, bytes: usize) -> Option<Admission> {
        let unasked = decide::unasked_bytes(self.job_capacity(), self.entry_count());
        self.admissions.hold_if(account, bytes, |pending| {
            let unknown = self.admissions.unknown_to_owner(pending);
            unknown.saturating_add(bytes) <= unasked
        })
    }

    /// Reserves room for a job at the owner itself; returns `None` if there is none.
    async fn admit_as_owner(
        &self,
        owner: &Owner<Leading>,
        id: JobId,
        account: &AccountId,
        bytes: usize,
    ) -> Result<Option<Admission>> {
        let usage = &owner.published()?.usage;
        let has_room = |pending: &JobUsage| {
            // Read after what is pending: a job that becomes part of the usage meanwhile counts twice rather than not at all.
            let used = usage.load();
            let load = JobLoad {
                total: used.total + pending.total,
                of_account: used.of_account(account) + pending.of_account(account),
            };
            decide::admits_job(self.job_capacity(), load, bytes)
        };
        Ok(match self.admissions.hold_if(account, bytes, has_room) {
            Some(admission) => Some(admission),
            None if owner.handle.knows(id).await? => self.admissions.hold(account, 0),
            None => None,
        })
    }

    /// Answers another entry that asks whether a job may be stored, and keeps the room until it is.
    pub(crate) async fn admit_for_entry(
        self: &Arc<Self>,
        owner: &Owner<Leading>,
        asked: &JobAdmission,
    ) -> Result<Reply> {
        let bytes = usize::try_from(asked.bytes).unwrap_or(usize::MAX);
        let admission = self.admit_as_owner(owner, asked.id, &asked.account, bytes);
        let admission = admission.await?.ok_or_else(|| self.refuse_job())?;
        self.admissions.expect(asked.id, admission);
        let mut waited = self.timer.subscribe_after(STORE_WAIT);
        let (admissions, id) = (Arc::clone(&self.admissions), asked.id);
        tokio::spawn(async move {
            waited.recv().await;
            admissions.settle(id);
        });
        self.job_room(owner)
    }

    /// Keeps the room for a record until the owner has learned of it from the store or from another entry.
    pub(crate) fn keep_for_a_while(&self, admission: Admission) {
        let mut waited = self.timer.subscribe_after(STORE_WAIT);
        tokio::spawn(async move {
            waited.recv().await;
            drop(admission);
        });
    }

    /// Returns the answer to a call about a job, which tells whether there is plenty of room for further ones.
    pub(crate) fn job_room(&self, owner: &Owner<Leading>) -> Result<Reply> {
        let usage = owner.published()?.usage.load();
        let used = usage.total + self.admissions.pending.load().total;
        let is_scarce = decide::is_scarce(self.job_capacity(), used);
        Ok(if is_scarce {
            Reply::JobRoomScarce
        } else {
            Reply::Done
        })
    }

    /// Returns the room for jobs of the owner. Any entry may be the next one, so that the smallest decides.
    fn job_capacity(&self) -> usize {
        let members = self.board.members.load();
        let entries = members.iter().flat_map(|members| members.entries.values());
        let stated = entries.filter_map(|entry| entry.job_bytes);
        let others = stated.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        others.fold(self.clients.capacity().jobs, usize::min)
    }

    async fn is_stored(&self, id: JobId) -> Result<bool> {
        Ok(with_timeout(self.store.get(&keys::job(id)))
            .await?
            .is_some())
    }

    fn refuse_job(&self) -> Report<Error> {
        self.clients.count(Reason::RefusedJob);
        let message = "the cell has no room for more jobs of this client account";
        Error::not_run(ErrorKind::Overloaded, message)
            .retry_after(RETRY_DELAY)
            .report()
    }
}
