//! The platform's key-value service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{self, Request};

/// Items in a page of a listing.
const PAGE_ITEMS: usize = 500;
/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    last_lease: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    /// Changes with their keys and revisions.
    history: Vec<(String, u64, Value)>,
}

/// The service; clones share its state.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

impl Store {
    pub fn serve(addr: SocketAddr) -> std::io::Result<Self> {
        let store = Self::default();
        store.lock().revision = 1;
        let handling = store.clone();
        http::serve(
            addr,
            Arc::new(move |request| Some(handling.answer(&request))),
        )?;
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                expiring.expire();
            }
        });
        Ok(store)
    }

    /// Writes a value on behalf of the operator.
    pub fn put(&self, key: &str, value: &Value) {
        let mut state = self.lock();
        state.revision += 1;
        let value = encode(value.to_string().as_bytes());
        state.put(key, value, 0);
        drop(state);
        self.changed.notify_all();
    }

    /// Returns a value.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.lock();
        let item = state.items.get(key)?;
        Some(decode(&item.value))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the store")
    }

    fn expire(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let leases = state.leases.iter();
        let expired = leases.filter(|(_, lease)| lease.expires_at <= now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in &expired {
            state.end_lease(*id);
        }
        drop(state);
        if !expired.is_empty() {
            self.changed.notify_all();
        }
    }

    fn answer(&self, request: &Request) -> (u16, Value) {
        thread::sleep(ANSWER_TIME);
        let id = || request.path.rsplit('/').next()?.parse::<u64>().ok();
        match request.path.as_str() {
            "/kv-key" => self.lock().get(request.query("key").unwrap_or("")),
            "/kv-range" => {
                let prefix = request.query("prefix").unwrap_or("");
                self.lock().range(prefix, request.query("after"))
            }
            "/kv-watch" => self.watch(request),
            "/kv-txn" => {
                let answer = self.lock().commit(&request.body);
                self.changed.notify_all();
                answer
            }
            "/kv-lease" => self.lock().grant(&request.body),
            path if path.starts_with("/kv-keep/") => self.lock().keep(id().unwrap_or(0)),
            path if path.starts_with("/kv-lease-end/") => {
                self.lock().end_lease(id().unwrap_or(0));
                self.changed.notify_all();
                (200, json!({}))
            }
            _ => (404, json!({})),
        }
    }

    fn watch(&self, request: &Request) -> (u16, Value) {
        let number = |name| request.query(name).and_then(|text| text.parse().ok());
        let after: u64 = number("after").unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let prefix = request.query("prefix").unwrap_or("");
        let mut state = self.lock();
        loop {
            let history = state.history.iter();
            let events = history.filter(|(key, at, _)| *at > after && key.starts_with(prefix));
            let events: Vec<Value> = events.map(|(_, _, event)| event.clone()).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, json!({"events": events, "currentRev": state.revision}));
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.expect("no thread panics with the store").0;
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.history
            .push((key.to_owned(), self.revision, item_body(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = json!({"key": key, "revision": self.revision, "deleted": true});
            self.history.push((key.to_owned(), self.revision, event));
        }
    }

    fn get(&self, key: &str) -> (u16, Value) {
        let Some(item) = self.items.get(key) else {
            return (404, json!({"currentRev": self.revision}));
        };
        let mut body = item_body(key, item);
        body["currentRev"] = json!(self.revision);
        (200, body)
    }

    fn range(&self, prefix: &str, after: Option<&str>) -> (u16, Value) {
        let items = self.items.iter();
        let mut found = items.filter(|(key, _)| {
            key.starts_with(prefix) && after.is_none_or(|after| key.as_str() > after)
        });
        let page = found.by_ref().take(PAGE_ITEMS);
        let page: Vec<Value> = page.map(|(key, item)| item_body(key, item)).collect();
        let more = found.next().is_some();
        (
            200,
            json!({"items": page, "morePages": more, "currentRev": self.revision}),
        )
    }

    fn commit(&mut self, body: &Value) -> (u16, Value) {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let expected = rows("expected");
        let text = |row: &Value, name: &str| row[name].as_str().unwrap_or("").to_owned();
        let current = |state: &Self, key: &str| state.items.get(key).map_or(0, |i| i.revision);
        let holds =
            |row: &Value| current(self, &text(row, "key")) == row["revision"].as_u64().unwrap_or(0);
        if !expected.iter().all(holds) {
            let items = expected.iter().filter_map(|row| {
                let key = text(row, "key");
                self.items.get(&key).map(|item| item_body(&key, item))
            });
            let items: Vec<Value> = items.collect();
            return (412, json!({"items": items}));
        }
        let puts = rows("puts");
        let lease = |row: &Value| row["lease"].as_u64().unwrap_or(0);
        let lapsed = |row: &Value| lease(row) > 0 && !self.leases.contains_key(&lease(row));
        if puts.iter().any(lapsed) {
            return (404, json!({}));
        }
        let removed = rows("remove");
        if !puts.is_empty() || !removed.is_empty() {
            self.revision += 1;
        }
        for row in &puts {
            self.put(&text(row, "key"), text(row, "value"), lease(row));
        }
        for key in removed.iter().filter_map(Value::as_str) {
            self.remove(key);
        }
        (200, json!({"revision": self.revision}))
    }

    fn grant(&mut self, body: &Value) -> (u16, Value) {
        let ttl_ms = body["ttlMs"].as_u64().unwrap_or(0).clamp(1000, 600_000);
        let ttl = Duration::from_millis(ttl_ms);
        self.last_lease += 1;
        let expires_at = Instant::now() + ttl;
        self.leases
            .insert(self.last_lease, Lease { ttl, expires_at });
        (200, json!({"lease": self.last_lease, "ttlMs": ttl_ms}))
    }

    fn keep(&mut self, id: u64) -> (u16, Value) {
        let Some(lease) = self.leases.get_mut(&id) else {
            return (404, json!({}));
        };
        lease.expires_at = Instant::now() + lease.ttl;
        (200, json!({}))
    }

    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let items = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = items.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

fn item_body(key: &str, item: &Item) -> Value {
    json!({"key": key, "value": item.value, "revision": item.revision, "created": item.created, "lease": item.lease})
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            if index > chunk.len() {
                text.push('=');
            } else {
                let digit = (bits >> (18 - 6 * index)) & 63;
                text.push(char::from(BASE64[digit as usize]));
            }
        }
    }
    text
}

fn decode(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for digit in text.bytes() {
        let Some(value) = BASE64.iter().position(|known| *known == digit) else {
            break;
        };
        bits = bits << 6 | u32::try_from(value).unwrap_or(0);
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count & 255) as u8);
        }
    }
    bytes
}
