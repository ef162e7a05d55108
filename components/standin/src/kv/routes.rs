//! Decoding calls and encoding answers of the key-value service.

use std::time::Duration;

use salvo::http::{HeaderValue, Method, StatusCode};
use salvo::{Request, Response};
use store::{
    CallKind, Expect, LEASE_HEADER, LeaseAnswer, LeaseId, LeaseRequest, MAX_VALUE_BYTES,
    PutOutcome, REVISION_HEADER, WriteAnswer, encode_frames,
};
use timer::now;

use crate::kv::data::UnknownLease;
use crate::kv::handler::Kv;
use crate::reply::{body, json, parse, raw, refuse};

impl Kv {
    /// Carries out one call.
    pub(crate) async fn run(&self, kind: CallKind, req: &mut Request, res: &mut Response) {
        match kind {
            CallKind::Get => self.get(req, res),
            CallKind::List => self.list(req, res),
            CallKind::Put => self.put(req, res).await,
            CallKind::Delete => self.delete(req, res),
            CallKind::Watch => self.watch(req, res).await,
            CallKind::Lease => self.lease(req, res).await,
        }
    }

    fn get(&self, req: &Request, res: &mut Response) {
        let key: String = req.query("key").unwrap_or_default();
        let Some(entry) = self.data().get(&key).cloned() else {
            return refuse(res, StatusCode::NOT_FOUND, "no such key");
        };
        raw(res, StatusCode::OK, "application/octet-stream", entry.value);
        set_number(res, REVISION_HEADER, entry.revision);
        if let Some(lease) = entry.lease {
            set_number(res, LEASE_HEADER, lease);
        }
    }

    fn list(&self, req: &Request, res: &mut Response) {
        let prefix: String = req.query("prefix").unwrap_or_default();
        let (entries, revision) = {
            let data = self.data();
            (data.list(&prefix), data.revision())
        };
        raw(
            res,
            StatusCode::OK,
            "application/x-kv-frames",
            encode_frames(&entries),
        );
        set_number(res, REVISION_HEADER, revision);
    }

    async fn put(&self, req: &mut Request, res: &mut Response) {
        let Some(value) = body(req)
            .await
            .filter(|value| value.len() <= MAX_VALUE_BYTES)
        else {
            return refuse(
                res,
                StatusCode::PAYLOAD_TOO_LARGE,
                "a value has at most 1 MB",
            );
        };
        let Some((key, expect)) = target(req) else {
            return refuse(
                res,
                StatusCode::BAD_REQUEST,
                "key or condition is malformed",
            );
        };
        let lease: Option<LeaseId> = req.header(LEASE_HEADER);
        match self.change(|data| data.put(&key, value, expect, lease)) {
            Ok(outcome) => answer_write(res, outcome),
            Err(UnknownLease) => refuse(res, StatusCode::NOT_FOUND, "no such lease"),
        }
    }

    fn delete(&self, req: &Request, res: &mut Response) {
        match target(req) {
            Some((key, expect)) => {
                answer_write(res, self.change(|data| data.delete(&key, expect)));
            }
            None => refuse(
                res,
                StatusCode::BAD_REQUEST,
                "key or condition is malformed",
            ),
        }
    }

    async fn watch(&self, req: &Request, res: &mut Response) {
        let prefix: String = req.query("prefix").unwrap_or_default();
        let after = req.query("after").unwrap_or_default();
        let wait = Duration::from_millis(req.query("wait_ms").unwrap_or_default());
        let mut deadline = self.timer.subscribe_after(wait);
        let mut revisions = self.revision.subscribe();
        let mut faults = self.faults.subscribe();
        let mut waiting = !wait.is_zero();
        loop {
            let (changes, revision) = {
                let data = self.data();
                (data.changes(&prefix, after), data.revision())
            };
            let Ok(changes) = changes else {
                refuse(res, StatusCode::GONE, "the history is compacted");
                return set_number(res, REVISION_HEADER, revision);
            };
            if !changes.is_empty() || !waiting {
                raw(
                    res,
                    StatusCode::OK,
                    "application/x-kv-frames",
                    encode_frames(&changes),
                );
                return set_number(res, REVISION_HEADER, revision);
            }
            tokio::select! {
                _ = revisions.changed() => {}
                _ = faults.changed() => if self.faults.load().outage.is_some() {
                    self.answered().await;
                    return refuse(res, StatusCode::SERVICE_UNAVAILABLE, "outage");
                },
                _ = deadline.recv() => waiting = false,
            }
        }
    }

    async fn lease(&self, req: &mut Request, res: &mut Response) {
        let path = req.uri().path().trim_start_matches("/v1/leases").to_owned();
        if req.method() == Method::POST && path.is_empty() {
            return self.grant(req, res).await;
        }
        let (id, renew) = match path.strip_suffix("/renew") {
            Some(id) => (id, true),
            None => (path.as_str(), false),
        };
        let Ok(id) = id.trim_start_matches('/').parse::<LeaseId>() else {
            return refuse(res, StatusCode::BAD_REQUEST, "the lease is malformed");
        };
        let known = self.change(|data| {
            if renew {
                data.renew(id, now())
            } else {
                data.revoke(id)
            }
        });
        if known {
            json(res, StatusCode::OK, &LeaseAnswer { lease: id });
        } else {
            refuse(res, StatusCode::NOT_FOUND, "the lease has lapsed");
        }
    }

    async fn grant(&self, req: &mut Request, res: &mut Response) {
        match parse::<LeaseRequest>(req).await {
            Ok(asked) => {
                let ttl = Duration::from_millis(asked.ttl_ms);
                let lease = self.change(|data| data.grant(ttl, now()));
                json(res, StatusCode::OK, &LeaseAnswer { lease });
            }
            Err(fault) => refuse(res, StatusCode::BAD_REQUEST, &fault),
        }
    }
}

/// Reads the key of a write and the state in which it must find the key.
fn target(req: &Request) -> Option<(String, Expect)> {
    let key: String = req.query("key")?;
    if req.headers().contains_key("if-none-match") {
        return Some((key, Expect::Absent));
    }
    let Some(condition) = req.headers().get("if-match") else {
        return Some((key, Expect::Any));
    };
    let revision = condition.to_str().ok()?.trim_matches('"').parse().ok()?;
    Some((key, Expect::Revision(revision)))
}

fn answer_write(res: &mut Response, outcome: PutOutcome) {
    let (status, revision) = match outcome {
        PutOutcome::Written { revision } => (StatusCode::OK, Some(revision)),
        PutOutcome::Conflict { current } => (StatusCode::PRECONDITION_FAILED, current),
    };
    json(res, status, &WriteAnswer { revision });
}

fn set_number(res: &mut Response, name: &'static str, number: u64) {
    res.headers_mut().insert(name, HeaderValue::from(number));
}
