//! Admission control: limits on the requests and bytes that each client account may have in flight.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use board::{AccountQuota, AccountUsage, Board, Limits};
use errors::{Error, ErrorKind, Result};
use indexmap::IndexMap;
use model::{AccountId, Document};

use crate::retry;

/// Retry delay for refused callers; `Retry-After` has a resolution of one second.
const ADMISSION_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Requests and bytes are packed into one atomic, so that one compare-and-exchange admits or refuses both.
const BYTE_BITS: u32 = 44;
const ONE_REQUEST: u64 = 1 << BYTE_BITS;
const BYTES_MASK: u64 = ONE_REQUEST - 1;
const MAX_REQUESTS: u64 = u64::MAX >> BYTE_BITS;

/// Applies the limits of the configuration; the counters of the accounts are preserved.
pub fn apply_limits(board: &Board, now: Instant) {
    let config = board.config.load();
    board
        .limits
        .update(|limits| replace_limits(limits, &config.document, now));
}

fn replace_limits(limits: &mut Limits, document: &Document, now: Instant) {
    let mut usages: IndexMap<AccountId, Arc<AccountUsage>> = std::mem::take(&mut limits.removed);
    let previous = limits.accounts.drain(..);
    usages.extend(previous.map(|(id, quota)| (id, Arc::clone(&quota.usage))));
    for (id, account) in &document.accounts {
        let usage = usages.swap_remove(id);
        let quota = AccountQuota {
            limits: account.limits.clone(),
            usage: usage.unwrap_or_else(|| Arc::new(AccountUsage::new(now))),
        };
        limits.accounts.insert(id.clone(), Arc::new(quota));
    }
    usages.retain(|_, usage| usage.in_flight.load(Relaxed) != 0);
    limits.removed = usages;
}

/// Admission of one request; dropping it releases the request and its bytes.
#[derive(Debug)]
pub struct Admission {
    quota: Arc<AccountQuota>,
    bytes: u64,
}

impl Admission {
    /// Admits more bytes of a body whose length was not known in advance.
    pub fn extend(&mut self, bytes: u64) -> Result<()> {
        reserve(&self.quota, 0, bytes)?;
        self.bytes += bytes;
        Ok(())
    }

    /// Returns the limits and counters of the account, which include the retry budget.
    pub fn quota(&self) -> &AccountQuota {
        &self.quota
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        let released = ONE_REQUEST + self.bytes;
        self.quota.usage.in_flight.fetch_sub(released, Relaxed);
    }
}

/// Admits a request with a body of `bytes`, or refuses it with the verdict "not run".
pub fn admit(limits: &Limits, account: &str, bytes: u64, now: Instant) -> Result<Admission> {
    let Some(quota) = limits.accounts.get(account) else {
        let message = format!("account {account} is not in the configuration");
        return Err(Error::not_run(ErrorKind::NotFound, message).report());
    };
    reserve(quota, 1, bytes)?;
    retry::record_request(&quota.usage, now);
    Ok(Admission {
        quota: Arc::clone(quota),
        bytes,
    })
}

/// Returns the numbers of requests and bytes that an account has in flight.
pub fn in_flight(usage: &AccountUsage) -> (u64, u64) {
    unpack(usage.in_flight.load(Relaxed))
}

fn unpack(packed: u64) -> (u64, u64) {
    (packed >> BYTE_BITS, packed & BYTES_MASK)
}

/// Adds requests and bytes to the counter of an account if its limits allow them.
///
/// Relaxed ordering is sufficient, because the counter guards no other memory.
fn reserve(quota: &AccountQuota, requests: u64, bytes: u64) -> Result<()> {
    let limits = &quota.limits;
    let max_requests = u64::from(limits.requests).min(MAX_REQUESTS);
    let max_bytes = limits.bytes.min(BYTES_MASK);
    if bytes > max_bytes {
        let message = format!("body exceeds the account limit of {max_bytes} bytes in flight");
        return Err(Error::not_run(ErrorKind::TooLarge, message).report());
    }
    let add = |packed: u64| {
        let (current_requests, current_bytes) = unpack(packed);
        let too_many = requests > 0 && current_requests + requests > max_requests;
        let too_large = bytes > 0 && current_bytes + bytes > max_bytes;
        (!too_many && !too_large).then(|| packed + requests * ONE_REQUEST + bytes)
    };
    let counter = &quota.usage.in_flight;
    match counter.fetch_update(Relaxed, Relaxed, add) {
        Ok(_) => Ok(()),
        Err(packed) => Err(overloaded(packed, max_requests, max_bytes).report()),
    }
}

fn overloaded(packed: u64, max_requests: u64, max_bytes: u64) -> Error {
    let (requests, bytes) = unpack(packed);
    let message = format!(
        "account limit reached: {requests} of {max_requests} requests and {bytes} of {max_bytes} bytes in flight"
    );
    Error::not_run(ErrorKind::Overloaded, message).retry_after(ADMISSION_RETRY_AFTER)
}
