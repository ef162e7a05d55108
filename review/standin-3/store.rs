//! The platform's metadata store, as the pages describe it.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Links, Request, Server};
use crate::json::{Json, num, text};

/// Key that the leading machine writes.
const LEADER_KEY: &str = "limpethook/cell/owner";

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, (Instant, Duration)>,
    events: Vec<(u64, String, Json)>,
    /// Index of the machine that leads: it last wrote the record of the leader under a condition.
    leader: Option<usize>,
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl State {
    fn item(&self, key: &str) -> Option<Json> {
        let item = self.items.get(key)?;
        Some(Json::obj([
            ("key", text(key)),
            ("value", text(&*item.value)),
            ("revision", num(item.revision)),
            ("created", num(item.created)),
            ("lease", num(item.lease)),
        ]))
    }

    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        self.items.insert(key.to_owned(), Item { value, revision, created, lease });
        if let Some(item) = self.item(key) {
            self.events.push((revision, key.to_owned(), item));
        }
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = Json::obj([
                ("key", text(key)),
                ("revision", num(self.revision)),
                ("deleted", Json::Bool(true)),
            ]);
            self.events.push((self.revision, key.to_owned(), event));
        }
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        for lease in &expired {
            self.end_lease(*lease);
        }
        !expired.is_empty()
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        self.revision += 1;
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn commit(&mut self, body: &Json, writer: usize) -> Answer {
        let revision = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let expected = body.get("expected").arr();
        if !expected.iter().all(|row| row.get("revision").u64() == Some(revision(row.get("key").str()))) {
            let items = expected.iter().filter_map(|row| self.item(row.get("key").str()));
            return (412, Json::obj([("items", Json::Arr(items.collect()))]));
        }
        let puts = body.get("puts").arr();
        let lease = |row: &Json| row.get("lease").u64().unwrap_or(0);
        if !puts.iter().all(|row| lease(row) == 0 || self.leases.contains_key(&lease(row))) {
            return (404, Json::obj([]));
        }
        let removals = body.get("remove").arr();
        if !puts.is_empty() || !removals.is_empty() {
            self.revision += 1;
            if puts.iter().any(|row| row.get("key").str() == LEADER_KEY) {
                self.leader = Some(writer);
            }
        }
        for row in puts {
            self.put(row.get("key").str(), row.get("value").str().to_owned(), lease(row));
        }
        for key in removals {
            self.remove(key.str());
        }
        (200, Json::obj([("revision", num(self.revision))]))
    }
}

impl Store {
    /// Serves the store at an address that only one machine uses, over its links.
    pub fn serve(&self, addr: SocketAddr, machine: usize, links: Option<Links>) -> std::io::Result<Server> {
        let store = self.clone();
        Server::start_on(links, addr, move |request| store.answer(&request, machine))
    }

    /// Ends leases in the background.
    pub fn expire_leases(&self) {
        let store = self.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(10));
                if store.state.0.lock().unwrap().expire() {
                    store.state.1.notify_all();
                }
            }
        });
    }

    /// Writes a key of the operator.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.put(key, encode(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    /// Returns the machine that leads.
    pub fn leader(&self) -> Option<usize> {
        self.state.0.lock().unwrap().leader
    }

    fn answer(&self, request: &Request, machine: usize) -> Answer {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        let path = request.path.as_str();
        if path == "/kv-watch" {
            drop(state);
            return self.watch(request);
        }
        let answer = match path {
            "/kv-key" => match state.item(request.query("key")) {
                Some(Json::Obj(mut item)) => {
                    item.insert("currentRev".into(), num(state.revision));
                    (200, Json::Obj(item))
                }
                _ => (404, Json::obj([])),
            },
            "/kv-range" => range(&state, request.query("prefix"), request.query("after")),
            "/kv-txn" => state.commit(&request.body, machine),
            "/kv-lease" => {
                state.revision += 1;
                let (id, ttl) = (state.revision, request.body.get("ttlMs").u64().unwrap_or(1000));
                let ttl = ttl.clamp(1000, 600_000);
                let length = Duration::from_millis(ttl);
                state.leases.insert(id, (Instant::now() + length, length));
                (200, Json::obj([("lease", num(id)), ("ttlMs", num(ttl))]))
            }
            _ => match path.rsplit_once('/') {
                Some(("/kv-keep", id)) => {
                    let id = id.parse().unwrap_or(0);
                    match state.leases.get_mut(&id) {
                        Some((end, length)) => {
                            *end = Instant::now() + *length;
                            (200, Json::obj([]))
                        }
                        None => (404, Json::obj([])),
                    }
                }
                Some(("/kv-lease-end", id)) => {
                    state.end_lease(id.parse().unwrap_or(0));
                    (200, Json::obj([]))
                }
                _ => (400, Json::obj([])),
            },
        };
        changed.notify_all();
        drop(state);
        // The store takes 4 ms to answer.
        std::thread::sleep(Duration::from_millis(4));
        answer
    }

    fn watch(&self, request: &Request) -> Answer {
        let (lock, changed) = &*self.state;
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait = request.query("waitMs").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut state = lock.lock().unwrap();
        loop {
            let found = state.events.iter().filter(|(rev, key, _)| *rev > after && key.starts_with(prefix));
            let found: Vec<Json> = found.map(|(_, _, event)| event.clone()).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                return (
                    200,
                    Json::obj([("events", Json::Arr(found)), ("currentRev", num(state.revision))]),
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn range(state: &State, prefix: &str, after: &str) -> Answer {
    const PAGE: usize = 500;
    const PAGE_BYTES: usize = 1 << 20;
    let keys = state.items.keys();
    let mut keys = keys.filter(|key| key.starts_with(prefix) && (after.is_empty() || key.as_str() > after));
    let mut page = Vec::new();
    let mut bytes = 0;
    while page.len() < PAGE && bytes < PAGE_BYTES {
        let Some(key) = keys.next() else { break };
        bytes += state.items[key].value.len();
        page.extend(state.item(key));
    }
    let more = keys.next().is_some();
    let fields = [
        ("items", Json::Arr(page)),
        ("morePages", Json::Bool(more)),
        ("currentRev", num(state.revision)),
    ];
    (200, Json::obj(fields))
}

/// Encodes bytes as standard base64 with padding.
fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(DIGITS[(bits >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
