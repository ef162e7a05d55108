//! Stand-in for the platform's metadata store, written from the users' protocol page.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use salvo::conn::TcpListener;
use salvo::http::StatusCode;
use salvo::prelude::*;
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::Result;
use crate::record::Record;

/// Largest value (`valueBytes`).
const VALUE_BYTES: usize = 1_048_576;
/// Largest key in bytes.
const KEY_BYTES: usize = 200;
/// Most entries of a transaction.
const TXN_ENTRIES: usize = 32;
/// Most items of a page.
const PAGE_ITEMS: usize = 500;
/// Most bytes of the values of a page.
const PAGE_BYTES: usize = 1_000_000;
/// Number of changes that watches can go back.
const HISTORY: usize = 20_000;
/// Revision at which the store starts; it has been in use for a while.
const FIRST_REVISION: u64 = 1_000_000_000;

type Answer = (StatusCode, Value);

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// End and length of each lease.
    leases: HashMap<u64, (Instant, Duration)>,
    history: Vec<Value>,
    /// Highest revision that the history does not have any more.
    forgotten: u64,
    /// Time that each answer takes.
    delay: Duration,
    /// Keys of which a value was too long.
    too_long: Vec<String>,
}

/// The store.
#[derive(Debug, Clone)]
pub(crate) struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    record: Record,
}

impl Store {
    /// Serves the store at an address.
    pub(crate) async fn serve(addr: SocketAddr, record: &Record) -> Result<Self> {
        let state = State {
            revision: FIRST_REVISION,
            items: BTreeMap::new(),
            leases: HashMap::new(),
            history: Vec::new(),
            forgotten: 0,
            delay: Duration::ZERO,
            too_long: Vec::new(),
        };
        let store = Self {
            state: Arc::new(Mutex::new(state)),
            changed: Arc::default(),
            record: record.clone(),
        };
        let acceptor = TcpListener::new(addr).try_bind().await?;
        let router = Router::with_path("{**path}").goal(store.clone());
        tokio::spawn(Server::new(acceptor).serve(router));
        tokio::spawn(store.clone().expire_leases());
        Ok(store)
    }

    /// Sets the time that each answer takes.
    pub(crate) fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Writes a key on behalf of the operator.
    pub(crate) fn put(&self, key: &str, value: &Value) {
        let mut state = self.lock();
        state.revision += 1;
        state.put(key, STANDARD.encode(value.to_string()), 0);
        drop(state);
        self.changed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn expire_leases(self) {
        loop {
            tokio::time::sleep(Duration::from_millis(20)).await;
            let now = Instant::now();
            let mut state = self.lock();
            let leases = state.leases.iter();
            let over = leases.filter(|(_, (end, _))| *end <= now);
            let over: Vec<u64> = over.map(|(lease, _)| *lease).collect();
            over.iter().for_each(|lease| state.end_lease(*lease));
            drop(state);
            if !over.is_empty() {
                self.changed.notify_waiters();
            }
        }
    }

    async fn respond(&self, req: &mut Request) -> Answer {
        let path = req.uri().path().to_owned();
        let query = |name: &str| req.query::<String>(name).unwrap_or_default();
        if path == "/kv-key" {
            return self.lock().get(&query("key"));
        }
        if path == "/kv-range" {
            return self.lock().range(&query("prefix"), &query("after"));
        }
        if path == "/kv-watch" {
            let after = query("after").parse().unwrap_or(0);
            let wait = Duration::from_millis(query("waitMs").parse().unwrap_or(0));
            return self.watch(&query("prefix"), after, wait).await;
        }
        let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
        let id: u64 = id.unwrap_or(0);
        if path.starts_with("/kv-keep/") {
            return self.lock().keep_lease(id);
        }
        if path.starts_with("/kv-lease-end/") {
            self.lock().end_lease(id);
            self.changed.notify_waiters();
            return (StatusCode::OK, json!({}));
        }
        let body = req.payload_with_max_size(64 * 1024 * 1024).await.ok();
        let body = body.and_then(|body| serde_json::from_slice::<Value>(body).ok());
        let Some(body) = body else {
            return (StatusCode::BAD_REQUEST, json!({}));
        };
        match &*path {
            "/kv-lease" => self.lock().grant_lease(&body),
            "/kv-txn" => {
                let answer = self.commit(&body);
                self.changed.notify_waiters();
                answer
            }
            _ => (StatusCode::NOT_FOUND, json!({})),
        }
    }

    fn commit(&self, body: &Value) -> Answer {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (expected, puts, removed) = (rows("expected"), rows("puts"), rows("remove"));
        if expected.len() + puts.len() + removed.len() > TXN_ENTRIES {
            return (StatusCode::BAD_REQUEST, json!({}));
        }
        let mut state = self.lock();
        for row in &puts {
            let key = row["key"].as_str().unwrap_or("");
            let value = STANDARD.decode(row["value"].as_str().unwrap_or(""));
            let length = value.map_or(usize::MAX, |value| value.len());
            if key.len() > KEY_BYTES || length > VALUE_BYTES {
                if !state.too_long.iter().any(|known| known == key) {
                    state.too_long.push(key.into());
                    self.record.say(&format!(
                        "the store refuses {key}: its value has {length} bytes"
                    ));
                }
                return (StatusCode::BAD_REQUEST, json!({}));
            }
        }
        state.commit(&expected, &puts, &removed)
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Answer {
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            {
                let state = self.lock();
                if after < state.forgotten {
                    return (StatusCode::GONE, json!({}));
                }
                let events = state.events(prefix, after);
                if !events.is_empty() || tokio::time::Instant::now() >= deadline {
                    let body = json!({"events": events, "currentRev": state.revision});
                    return (StatusCode::OK, body);
                }
            }
            // A change and the end of the wait both lead to another look.
            let _ = tokio::time::timeout_at(deadline, changed).await;
        }
    }
}

impl State {
    fn item(&self, key: &str) -> Option<Value> {
        let item = self.items.get(key)?;
        Some(
            json!({"key": key, "value": item.value, "revision": item.revision,
            "created": item.created, "lease": item.lease}),
        )
    }

    fn get(&self, key: &str) -> Answer {
        match self.item(key) {
            Some(mut item) => {
                item["currentRev"] = json!(self.revision);
                (StatusCode::OK, item)
            }
            None => (StatusCode::NOT_FOUND, json!({"currentRev": self.revision})),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Answer {
        let keys = self.items.range(prefix.to_owned()..);
        let keys = keys.take_while(|(key, _)| key.starts_with(prefix));
        let mut keys = keys.filter(|(key, _)| key.as_str() > after).peekable();
        let mut items = Vec::new();
        let mut bytes = 0;
        while let Some((key, item)) = keys.peek() {
            bytes += item.value.len();
            if items.len() >= PAGE_ITEMS || (bytes > PAGE_BYTES && !items.is_empty()) {
                break;
            }
            items.extend(self.item(key));
            keys.next();
        }
        let more = keys.peek().is_some();
        let body = json!({"items": items, "morePages": more, "currentRev": self.revision});
        (StatusCode::OK, body)
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        let newer = |event: &Value| event["revision"].as_u64() > Some(after);
        let first = self.history.partition_point(|event| !newer(event));
        let matches = |event: &&Value| {
            let key = event["key"].as_str();
            key.is_some_and(|key| key.starts_with(prefix))
        };
        self.history[first..]
            .iter()
            .filter(matches)
            .cloned()
            .collect()
    }

    /// Writes a key at the revision of the present change.
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let known = self.items.get(key);
        let created = known.map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.into(), item);
        if let Some(event) = self.item(key) {
            self.note(event);
        }
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            self.note(json!({"key": key, "revision": revision, "deleted": true}));
        }
    }

    fn note(&mut self, event: Value) {
        self.history.push(event);
        if self.history.len() > 2 * HISTORY {
            let last = &self.history[HISTORY - 1];
            self.forgotten = last["revision"].as_u64().unwrap_or(0);
            self.history.drain(..HISTORY);
        }
    }

    fn commit(&mut self, expected: &[Value], puts: &[Value], removed: &[Value]) -> Answer {
        let key_of = |row: &Value| row["key"].as_str().unwrap_or("").to_owned();
        let revision_of = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let holds = |row: &Value| row["revision"].as_u64() == Some(revision_of(&key_of(row)));
        if !expected.iter().all(holds) {
            let items = expected.iter().filter_map(|row| self.item(&key_of(row)));
            let items: Vec<Value> = items.collect();
            return (StatusCode::PRECONDITION_FAILED, json!({"items": items}));
        }
        let lease_of = |row: &Value| row["lease"].as_u64().unwrap_or(0);
        let has_lease =
            |row: &Value| lease_of(row) == 0 || self.leases.contains_key(&lease_of(row));
        if !puts.iter().all(has_lease) {
            return (StatusCode::NOT_FOUND, json!({}));
        }
        self.revision += 1;
        for row in puts {
            let value = row["value"].as_str().unwrap_or("").to_owned();
            self.put(&key_of(row), value, lease_of(row));
        }
        for key in removed {
            self.remove(key.as_str().unwrap_or(""));
        }
        (StatusCode::OK, json!({"revision": self.revision}))
    }

    fn grant_lease(&mut self, body: &Value) -> Answer {
        let ttl_ms = body["ttlMs"].as_u64().unwrap_or(0).clamp(1000, 600_000);
        self.revision += 1;
        let ttl = Duration::from_millis(ttl_ms);
        self.leases
            .insert(self.revision, (Instant::now() + ttl, ttl));
        let body = json!({"lease": self.revision, "ttlMs": ttl_ms});
        (StatusCode::OK, body)
    }

    fn keep_lease(&mut self, lease: u64) -> Answer {
        let Some((end, ttl)) = self.leases.get_mut(&lease) else {
            return (StatusCode::NOT_FOUND, json!({}));
        };
        *end = Instant::now() + *ttl;
        (StatusCode::OK, json!({}))
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        self.revision += 1;
        let items = self.items.iter();
        let keys = items.filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }
}

#[async_trait]
impl Handler for Store {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let delay = self.lock().delay;
        tokio::time::sleep(delay).await;
        let (status, body) = self.respond(req).await;
        res.status_code(status);
        res.render(Json(body));
    }
}
