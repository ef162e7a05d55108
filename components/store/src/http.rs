//! HTTP/JSON client of the key-value service.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use errors::{Error, ErrorKind, Result, Verdict};
use model::Revision;
use reqwest::header::{HeaderMap, IF_MATCH, IF_NONE_MATCH};
use reqwest::{Client, Method, RequestBuilder, StatusCode, Url};

use crate::calls::{CallCounters, CallCounts, CallKind};
use crate::frames::decode_frames;
use crate::kv::{
    Change, KvPair, KvStore, LeaseId, Listing, MAX_VALUE_BYTES, Precondition, WatchOutcome,
    WriteOutcome,
};
use crate::transport::{parse_json, send};
use crate::wire::{LEASE_HEADER, LeaseRequest, LeaseResponse, REVISION_HEADER, WriteResponse};

/// Address and timeouts of the client.
#[derive(Debug, Clone)]
pub struct HttpStoreSettings {
    /// The base URL, such as `http://127.0.0.1:2379`.
    pub base_url: Box<str>,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Timeout for one call; the wait of a watch is added to it.
    pub call_timeout: Duration,
}

impl HttpStoreSettings {
    /// Creates settings with timeouts of 1 s for a connection and 2 s for a call; the service responds within
    /// milliseconds.
    pub fn new(base_url: impl Into<Box<str>>) -> Self {
        Self {
            base_url: base_url.into(),
            connect_timeout: Duration::from_secs(1),
            call_timeout: Duration::from_secs(2),
        }
    }
}

/// A key-value service that is reached over HTTP.
#[derive(Debug)]
pub struct HttpStore {
    client: Client,
    base: Url,
    call_timeout: Duration,
    calls: CallCounters,
}

impl HttpStore {
    /// Creates the client; it connects on the first call.
    pub fn new(settings: &HttpStoreSettings) -> Result<Self> {
        let base = Url::parse(&settings.base_url)
            .ok()
            .filter(|url| !url.cannot_be_a_base())
            .ok_or_else(|| {
                let message = format!("invalid store URL {:?}", settings.base_url);
                Error::not_run(ErrorKind::InvalidRequest, message).report()
            })?;
        let client = Client::builder()
            .no_proxy()
            .connect_timeout(settings.connect_timeout)
            .tcp_nodelay(true)
            .build()
            .map_err(|e| {
                let message = format!("cannot create the HTTP client: {e}");
                Error::not_run(ErrorKind::Internal, message).report()
            })?;
        Ok(Self {
            client,
            base,
            call_timeout: settings.call_timeout,
            calls: CallCounters::default(),
        })
    }

    /// Returns the number of calls made so far.
    pub fn call_counts(&self) -> CallCounts {
        self.calls.counts()
    }

    fn request(
        &self,
        kind: CallKind,
        method: Method,
        path: &str,
        query: &[(&str, &str)],
    ) -> RequestBuilder {
        self.calls.add(kind);
        let mut url = self.base.clone();
        url.set_path(path);
        if !query.is_empty() {
            url.query_pairs_mut().extend_pairs(query);
        }
        self.client.request(method, url).timeout(self.call_timeout)
    }

    /// Sends a call on a lease; returns false if the lease has expired.
    async fn call_lease(&self, id: LeaseId, method: Method, action: &str) -> Result<bool> {
        let path = format!("/v1/leases/{id}{action}");
        let req = self.request(CallKind::Lease, method, &path, &[]);
        let (status, _, _) = send(req, Verdict::MayHaveRun).await?;
        Ok(status != StatusCode::NOT_FOUND)
    }
}

#[async_trait]
impl KvStore for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<KvPair>> {
        let req = self.request(CallKind::Get, Method::GET, "/v1/kv", &[("key", key)]);
        let (status, headers, value) = send(req, Verdict::NotRun).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        Ok(Some(KvPair {
            key: key.into(),
            value,
            revision: revision_from(&headers)?,
            lease: integer_header(&headers, LEASE_HEADER),
        }))
    }

    async fn list(&self, prefix: &str) -> Result<Listing> {
        let query = [("prefix", prefix)];
        let req = self.request(CallKind::List, Method::GET, "/v1/list", &query);
        let (_, headers, body) = send(req, Verdict::NotRun).await?;
        let pairs = decode_frames(body)?
            .into_iter()
            .filter_map(|change| match change {
                Change::Put(pair) => Some(pair),
                Change::Deleted { .. } => None,
            })
            .collect();
        let revision = revision_from(&headers)?;
        Ok(Listing { pairs, revision })
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        precondition: Precondition,
        lease: Option<LeaseId>,
    ) -> Result<WriteOutcome> {
        if value.len() > MAX_VALUE_BYTES {
            let message = format!(
                "value of key {key:?} has {} bytes; the limit is {MAX_VALUE_BYTES}",
                value.len()
            );
            return Err(Error::not_run(ErrorKind::TooLarge, message).report());
        }
        let mut req = self.request(CallKind::Put, Method::PUT, "/v1/kv", &[("key", key)]);
        if let Some(lease) = lease {
            req = req.header(LEASE_HEADER, lease);
        }
        write(with_precondition(req, precondition).body(value)).await
    }

    async fn delete(&self, key: &str, precondition: Precondition) -> Result<WriteOutcome> {
        let req = self.request(CallKind::Delete, Method::DELETE, "/v1/kv", &[("key", key)]);
        write(with_precondition(req, precondition)).await
    }

    async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<WatchOutcome> {
        let (after, wait_ms) = (after.to_string(), wait.as_millis().to_string());
        let query = [("prefix", prefix), ("after", &after), ("wait_ms", &wait_ms)];
        let req = self
            .request(CallKind::Watch, Method::GET, "/v1/watch", &query)
            .timeout(self.call_timeout + wait);
        let (status, headers, body) = send(req, Verdict::NotRun).await?;
        let revision = revision_from(&headers)?;
        if status == StatusCode::GONE {
            return Ok(WatchOutcome::Compacted { revision });
        }
        let changes = decode_frames(body)?;
        Ok(WatchOutcome::Changes { changes, revision })
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId> {
        let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX);
        let req = self.request(CallKind::Lease, Method::POST, "/v1/leases", &[]);
        let (_, _, body) = send(req.json(&LeaseRequest { ttl_ms }), Verdict::MayHaveRun).await?;
        Ok(parse_json::<LeaseResponse>(&body, Verdict::MayHaveRun)?.lease)
    }

    async fn renew_lease(&self, id: LeaseId) -> Result<bool> {
        self.call_lease(id, Method::POST, "/renew").await
    }

    async fn revoke_lease(&self, id: LeaseId) -> Result<()> {
        self.call_lease(id, Method::DELETE, "").await.map(drop)
    }
}

fn with_precondition(req: RequestBuilder, precondition: Precondition) -> RequestBuilder {
    match precondition {
        Precondition::Any => req,
        Precondition::Absent => req.header(IF_NONE_MATCH, "*"),
        Precondition::Revision(revision) => req.header(IF_MATCH, format!("\"{revision}\"")),
    }
}

/// Sends a put or a delete and decodes its outcome.
async fn write(req: RequestBuilder) -> Result<WriteOutcome> {
    let (status, _, body) = send(req, Verdict::MayHaveRun).await?;
    if status == StatusCode::NOT_FOUND {
        let error = Error::not_run(ErrorKind::NotFound, "the lease has expired");
        return Err(error.report());
    }
    let res: WriteResponse = parse_json(&body, Verdict::MayHaveRun)?;
    if status == StatusCode::PRECONDITION_FAILED {
        let current = res.revision;
        return Ok(WriteOutcome::Conflict { current });
    }
    match res.revision {
        Some(revision) => Ok(WriteOutcome::Written { revision }),
        None => Err(Error::ran(
            ErrorKind::Corrupt,
            "response of the key-value service to a write has no revision",
        )
        .report()),
    }
}

fn integer_header(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn revision_from(headers: &HeaderMap) -> Result<Revision> {
    integer_header(headers, REVISION_HEADER).ok_or_else(|| {
        let message = "response of the key-value service has no revision header";
        Error::not_run(ErrorKind::Corrupt, message).report()
    })
}
