//! HTTP/1.1 on loopback: a server with one thread per connection, and a client.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::json::Json;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Json,
    /// Bytes of the body.
    size: usize,
    peer: Option<TcpStream>,
}

impl Request {
    /// Returns whether the caller has closed its connection.
    pub fn is_gone(&self) -> bool {
        let Some(peer) = &self.peer else { return false };
        let _ = peer.set_nonblocking(true);
        let is_gone = matches!(peer.peek(&mut [0]), Ok(0));
        let _ = peer.set_nonblocking(false);
        is_gone
    }
    pub fn query(&self, key: &str) -> &str {
        let found = self.query.iter().find(|(k, _)| k == key);
        found.map_or("", |(_, v)| v)
    }
    pub fn header(&self, key: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(k, _)| k.eq_ignore_ascii_case(key));
        found.map(|(_, v)| v.as_str())
    }
}

/// Bytes that a link carries at a time.
const PART_BYTES: usize = 8 * 1024;

/// Status and body; a status of 0 leaves the request unanswered and closes the connection.
pub type Answer = (u16, Json);

/// A listening server; stopping it closes its listener and all of its connections.
pub struct Server {
    up: Arc<AtomicBool>,
    addr: SocketAddr,
    open: Arc<Mutex<HashMap<u64, TcpStream>>>,
}

/// The link of a machine, each way.
pub struct Links {
    up: Link,
    down: Link,
}

impl Links {
    pub fn new(mbit_per_s: f64) -> Links {
        Links { up: Link::new(mbit_per_s), down: Link::new(mbit_per_s) }
    }
}

/// One way of a link, which carries bodies one after the other.
struct Link {
    bytes_per_s: f64,
    free_at: Mutex<Instant>,
}

impl Link {
    fn new(mbit_per_s: f64) -> Link {
        Link { bytes_per_s: mbit_per_s * 1e6 / 8.0, free_at: Mutex::new(Instant::now()) }
    }

    /// Waits until the link has carried some bytes.
    fn carry(&self, bytes: usize) {
        let until = {
            let mut free_at = self.free_at.lock().unwrap();
            let takes = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
            *free_at = (*free_at).max(Instant::now()) + takes;
            *free_at
        };
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}

impl Server {
    pub fn start(
        addr: SocketAddr,
        handler: impl Fn(Request) -> Answer + Send + Sync + 'static,
    ) -> std::io::Result<Server> {
        Self::start_on(None, addr, handler)
    }

    /// Starts a server whose requests and answers pass the links of a machine.
    pub fn start_on(
        links: Option<Links>,
        addr: SocketAddr,
        handler: impl Fn(Request) -> Answer + Send + Sync + 'static,
    ) -> std::io::Result<Server> {
        let links = Arc::new(links);
        let listener = bind(addr)?;
        let up = Arc::new(AtomicBool::new(true));
        let open: Arc<Mutex<HashMap<u64, TcpStream>>> = Arc::default();
        let handler = Arc::new(handler);
        let (accepting, streams) = (Arc::clone(&up), Arc::clone(&open));
        std::thread::spawn(move || {
            for (number, stream) in (0..).zip(listener.incoming()) {
                if !accepting.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                if let Ok(copy) = stream.try_clone() {
                    streams.lock().unwrap().insert(number, copy);
                }
                let (handler, up) = (Arc::clone(&handler), Arc::clone(&accepting));
                let links = Arc::clone(&links);
                let streams = Arc::clone(&streams);
                std::thread::spawn(move || {
                    serve(stream, &*handler, &up, links.as_ref().as_ref());
                    streams.lock().unwrap().remove(&number);
                });
            }
        });
        Ok(Server { up, addr, open })
    }

    pub fn stop(&self) {
        self.up.store(false, Ordering::SeqCst);
        for (_, stream) in self.open.lock().unwrap().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the listener, which then ends.
        let _ = TcpStream::connect_timeout(&self.addr, Duration::from_millis(200));
    }
}

fn bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let mut attempts = 0;
    loop {
        match TcpListener::bind(addr) {
            Err(_) if attempts < 100 => attempts += 1,
            result => return result,
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn serve(stream: TcpStream, handler: &dyn Fn(Request) -> Answer, up: &AtomicBool, links: Option<&Links>) {
    let (uplink, link) = (links.map(|links| &links.up), links.map(|links| &links.down));
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        if let Some(link) = uplink {
            link.carry(request.size);
        }
        let (status, body) = handler(request);
        if status == 0 || !up.load(Ordering::SeqCst) {
            break;
        }
        let body = body.to_string();
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let answer = format!("{head}{body}").into_bytes();
        let mut sent = true;
        for part in answer.chunks(PART_BYTES) {
            if let Some(link) = link {
                link.carry(part.len());
            }
            if writer.write_all(part).is_err() {
                sent = false;
                break;
            }
        }
        if !sent {
            break;
        }
    }
    let _ = writer.shutdown(Shutdown::Both);
}

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (key, value) = line.split_once(':')?;
        headers.push((key.to_owned(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let find = |name: &str| headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    if find("transfer-encoding").is_some_and(|(_, v)| v.eq_ignore_ascii_case("chunked")) {
        let mut body = Vec::new();
        loop {
            let mut size = String::new();
            reader.read_line(&mut size).ok()?;
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            let mut part = vec![0; size + 2];
            reader.read_exact(&mut part).ok()?;
            if size == 0 {
                return Some(body);
            }
            body.extend_from_slice(&part[..size]);
        }
    }
    let length = find("content-length").and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let body = read_body(reader, &headers)?;
    let body = String::from_utf8(body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pair = |pair: &str| {
        let (k, v) = pair.split_once('=').unwrap_or((pair, ""));
        (decode(k), decode(v))
    };
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.split('&').filter(|p| !p.is_empty()).map(pair).collect(),
        headers,
        size: body.len(),
        body: Json::parse(&body).unwrap_or(Json::Null),
        peer: reader.get_ref().try_clone().ok(),
    })
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|h| std::str::from_utf8(h).ok());
        match (bytes[at], hex.and_then(|h| u8::from_str_radix(h, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (b'+', _) => {
                out.push(b' ');
                at += 1;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A client that keeps one connection to an address.
pub struct Client {
    addr: SocketAddr,
    timeout: Duration,
    stream: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(addr: SocketAddr, timeout: Duration) -> Client {
        Client { addr, timeout, stream: None }
    }

    /// Sends a request; returns the status and the body, or `None` without a complete answer.
    pub fn call(&mut self, method: &str, path: &str, headers: &str, body: Option<&Json>) -> Option<Answer> {
        let answer = self.try_call(method, path, headers, body);
        if answer.is_none() {
            self.stream = None;
        }
        answer
    }

    fn try_call(&mut self, method: &str, path: &str, headers: &str, body: Option<&Json>) -> Option<Answer> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.addr, self.timeout).ok()?;
            stream.set_read_timeout(Some(self.timeout)).ok()?;
            stream.set_nodelay(true).ok()?;
            self.stream = Some(BufReader::new(stream));
        }
        let reader = self.stream.as_mut()?;
        let body = body.map(Json::to_string).unwrap_or_default();
        let request = format!(
            "{method} {path} HTTP/1.1\r\n{headers}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        reader.get_mut().write_all(request.as_bytes()).ok()?;
        let (first, headers) = read_head(reader)?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let body = read_body(reader, &headers)?;
        let closes = headers.iter().any(|(k, v)| k.eq_ignore_ascii_case("connection") && v.eq_ignore_ascii_case("close"));
        if closes {
            self.stream = None;
        }
        Some((status, Json::parse(&String::from_utf8_lossy(&body)).unwrap_or(Json::Null)))
    }
}
