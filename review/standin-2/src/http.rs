//! A small HTTP/1.1 server and client with JSON bodies.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::Value;

/// A request as a server received it.
#[derive(Debug, Default)]
pub struct Request {
    pub path: String,
    query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
    pub body: Value,
}

impl Request {
    pub fn query(&self, name: &str) -> Option<&str> {
        find(&self.query, name)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(pairs: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = pairs.iter().filter(|(key, _)| key == name);
    found.next().map(|(_, value)| value.as_str())
}

/// Answers a request with a status and a body; `None` closes the connection without an answer.
pub type Handler = Arc<dyn Fn(Request) -> Option<(u16, Value)> + Send + Sync>;

/// Serves an address in background threads, one for each connection.
pub fn serve(addr: SocketAddr, handler: Handler) -> std::io::Result<()> {
    let listener = TcpListener::bind(addr)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    Ok(())
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reading);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(request) else {
            return;
        };
        let body = body.to_string();
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if stream.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let _method = words.next()?;
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), decode(value)));
    let mut request = Request {
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body: Value::Null,
    };
    let body = read_body(reader, &request.headers)?;
    request.body = serde_json::from_slice(&body).unwrap_or(Value::Null);
    Some(request)
}

type Head = (String, Vec<(String, String)>);

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Head> {
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
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let length = find(headers, "content-length").and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// Decodes a value of a query.
fn decode(value: &str) -> String {
    let bytes = value.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = || u8::from_str_radix(value.get(index + 1..index + 3)?, 16).ok();
        match bytes[index] {
            b'%' => {
                decoded.push(hex().unwrap_or(b'%'));
                index += 2;
            }
            b'+' => decoded.push(b' '),
            byte => decoded.push(byte),
        }
        index += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Sends a request on a connection of its own and returns the status and the body.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
    timeout: Duration,
) -> std::io::Result<(u16, Value)> {
    let mut stream = TcpStream::connect_timeout(&addr, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let text = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        text.len()
    );
    stream.write_all((head + &text).as_bytes())?;
    let mut reader = BufReader::new(stream);
    let broken = || std::io::Error::other("no complete answer");
    let (first, headers) = read_head(&mut reader).ok_or_else(broken)?;
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok());
    let body = read_body(&mut reader, &headers).ok_or_else(broken)?;
    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
    Ok((status.ok_or_else(broken)?, body))
}
