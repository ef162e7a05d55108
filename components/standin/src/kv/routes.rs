//! Decoding of requests and encoding of responses of the key-value service.

use std::time::Duration;

use salvo::http::{HeaderValue, Method, StatusCode};
use salvo::{Request, Response};
use store::{
    CallKind, Expect, LEASE_HEADER, LeaseAnswer, LeaseId, LeaseRequest, MAX_VALUE_BYTES,
    PutOutcome, REVISION_HEADER, WriteAnswer, encode_frames,
};
use timer::now;

use crate::http::{read_body, read_json, send_bytes, send_error, send_json};
use crate::kv::handler::KvService;
use crate::kv::state::UnknownLease;

impl KvService {
    /// Handles one request.
    pub(crate) async fn handle_call(&self, kind: CallKind, req: &mut Request, res: &mut Response) {
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
        let Some(entry) = self.state().get(&key).cloned() else {
            return send_error(res, StatusCode::NOT_FOUND, "no such key");
        };
        send_bytes(res, StatusCode::OK, "application/octet-stream", entry.value);
        set_numeric_header(res, REVISION_HEADER, entry.revision);
        if let Some(lease) = entry.lease {
            set_numeric_header(res, LEASE_HEADER, lease);
        }
    }

    fn list(&self, req: &Request, res: &mut Response) {
        let prefix: String = req.query("prefix").unwrap_or_default();
        let (entries, revision) = {
            let state = self.state();
            (state.list(&prefix), state.revision())
        };
        send_bytes(
            res,
            StatusCode::OK,
            "application/x-kv-frames",
            encode_frames(&entries),
        );
        set_numeric_header(res, REVISION_HEADER, revision);
    }

    async fn put(&self, req: &mut Request, res: &mut Response) {
        let Some(value) = read_body(req)
            .await
            .filter(|value| value.len() <= MAX_VALUE_BYTES)
        else {
            return send_error(
                res,
                StatusCode::PAYLOAD_TOO_LARGE,
                "a value has at most 1 MB",
            );
        };
        let Some((key, expect)) = parse_write_target(req) else {
            return send_error(
                res,
                StatusCode::BAD_REQUEST,
                "key or condition is malformed",
            );
        };
        let lease: Option<LeaseId> = req.header(LEASE_HEADER);
        match self.change(|state| state.put(&key, value, expect, lease)) {
            Ok(outcome) => send_write_outcome(res, outcome),
            Err(UnknownLease) => send_error(res, StatusCode::NOT_FOUND, "no such lease"),
        }
    }

    fn delete(&self, req: &Request, res: &mut Response) {
        match parse_write_target(req) {
            Some((key, expect)) => {
                send_write_outcome(res, self.change(|state| state.delete(&key, expect)));
            }
            None => send_error(
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
                let state = self.state();
                (state.changes(&prefix, after), state.revision())
            };
            let Ok(changes) = changes else {
                send_error(res, StatusCode::GONE, "the history is compacted");
                return set_numeric_header(res, REVISION_HEADER, revision);
            };
            if !changes.is_empty() || !waiting {
                send_bytes(
                    res,
                    StatusCode::OK,
                    "application/x-kv-frames",
                    encode_frames(&changes),
                );
                return set_numeric_header(res, REVISION_HEADER, revision);
            }
            tokio::select! {
                _ = revisions.changed() => {}
                _ = faults.changed() => if self.faults.load().outage.is_some() {
                    self.wait_while_hanging().await;
                    return send_error(res, StatusCode::SERVICE_UNAVAILABLE, "outage");
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
            return send_error(res, StatusCode::BAD_REQUEST, "the lease is malformed");
        };
        let known = self.change(|state| {
            if renew {
                state.renew(id, now())
            } else {
                state.revoke(id)
            }
        });
        if known {
            send_json(res, StatusCode::OK, &LeaseAnswer { lease: id });
        } else {
            send_error(res, StatusCode::NOT_FOUND, "the lease has lapsed");
        }
    }

    async fn grant(&self, req: &mut Request, res: &mut Response) {
        match read_json::<LeaseRequest>(req).await {
            Ok(request) => {
                let ttl = Duration::from_millis(request.ttl_ms);
                let lease = self.change(|state| state.grant(ttl, now()));
                send_json(res, StatusCode::OK, &LeaseAnswer { lease });
            }
            Err(error) => send_error(res, StatusCode::BAD_REQUEST, &error),
        }
    }
}

/// Parses the key of a write and the expectation about its current revision.
fn parse_write_target(req: &Request) -> Option<(String, Expect)> {
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

fn send_write_outcome(res: &mut Response, outcome: PutOutcome) {
    let (status, revision) = match outcome {
        PutOutcome::Written { revision } => (StatusCode::OK, Some(revision)),
        PutOutcome::Conflict { current } => (StatusCode::PRECONDITION_FAILED, current),
    };
    send_json(res, status, &WriteAnswer { revision });
}

fn set_numeric_header(res: &mut Response, name: &'static str, number: u64) {
    res.headers_mut().insert(name, HeaderValue::from(number));
}
