//! A small JSON value with a parser and a writer.

use std::collections::BTreeMap;
use std::fmt;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(BTreeMap<String, Json>),
}

impl Json {
    pub fn obj<const N: usize>(fields: [(&str, Json); N]) -> Json {
        Json::Obj(fields.into_iter().map(|(k, v)| (k.to_owned(), v)).collect())
    }
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Obj(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }
    pub fn str(&self) -> &str {
        match self {
            Json::Str(s) => s,
            _ => "",
        }
    }
    pub fn u64(&self) -> Option<u64> {
        match self {
            Json::Num(n) if *n >= 0.0 => Some(*n as u64),
            _ => None,
        }
    }
    pub fn arr(&self) -> &[Json] {
        match self {
            Json::Arr(a) => a,
            _ => &[],
        }
    }
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip_space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }
}

pub fn num(n: u64) -> Json {
    Json::Num(n as f64)
}

pub fn text(s: impl Into<String>) -> Json {
    Json::Str(s.into())
}

fn skip_space(b: &[u8], at: &mut usize) {
    while *at < b.len() && b[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn expect(b: &[u8], at: &mut usize, word: &str) -> Option<()> {
    let end = *at + word.len();
    (b.get(*at..end)? == word.as_bytes()).then(|| *at = end)
}

fn parse_value(b: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(b, at);
    match *b.get(*at)? {
        b'n' => expect(b, at, "null").map(|()| Json::Null),
        b't' => expect(b, at, "true").map(|()| Json::Bool(true)),
        b'f' => expect(b, at, "false").map(|()| Json::Bool(false)),
        b'"' => parse_string(b, at).map(Json::Str),
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(b, at);
                match *b.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::Arr(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(b, at)?),
                }
            }
        }
        b'{' => {
            *at += 1;
            let mut map = BTreeMap::new();
            loop {
                skip_space(b, at);
                match *b.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Obj(map));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = parse_string(b, at)?;
                        skip_space(b, at);
                        expect(b, at, ":")?;
                        map.insert(key, parse_value(b, at)?);
                    }
                }
            }
        }
        _ => {
            let start = *at;
            while *at < b.len() && matches!(b[*at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E') {
                *at += 1;
            }
            std::str::from_utf8(&b[start..*at]).ok()?.parse().ok().map(Json::Num)
        }
    }
}

fn parse_string(b: &[u8], at: &mut usize) -> Option<String> {
    if *b.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        let byte = *b.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escaped = *b.get(*at)?;
                *at += 1;
                let c = match escaped {
                    b'n' => '\n',
                    b't' => '\t',
                    b'r' => '\r',
                    b'b' => '\u{8}',
                    b'f' => '\u{c}',
                    b'u' => {
                        let hex = std::str::from_utf8(b.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        char::from_u32(u32::from_str_radix(hex, 16).ok()?).unwrap_or('?')
                    }
                    other => other as char,
                };
                out.extend_from_slice(c.to_string().as_bytes());
            }
            other => out.push(other),
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(b) => write!(f, "{b}"),
            Json::Num(n) if n.fract() == 0.0 => write!(f, "{}", *n as i64),
            Json::Num(n) => write!(f, "{n}"),
            Json::Str(s) => write_string(f, s),
            Json::Arr(items) => {
                f.write_str("[")?;
                for (i, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if i > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Json::Obj(map) => {
                f.write_str("{")?;
                for (i, (key, value)) in map.iter().enumerate() {
                    f.write_str(if i > 0 { "," } else { "" })?;
                    write_string(f, key)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_string(f: &mut fmt::Formatter<'_>, s: &str) -> fmt::Result {
    f.write_str("\"")?;
    for c in s.chars() {
        match c {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            c if (c as u32) < 0x20 => write!(f, "\\u{:04x}", c as u32)?,
            c => write!(f, "{c}")?,
        }
    }
    f.write_str("\"")
}
