//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A request or an answer: its first line, its headers and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or_default()
    }

    /// The value of a field of the query, with `%2F` and `%00` decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.path().split_once('?')?;
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields.find(|(key, _)| *key == name).map(|(_, value)| value.replace("%2F", "/").replace("%00", "\0"))
    }
}

/// A connection and what was received on it and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 64 << 10];
        let count = self.stream.read(&mut part)?;
        self.rest.extend_from_slice(&part[..count]);
        Ok(count)
    }

    /// The head of the next message; none if the connection was closed before it began.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.rest.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                return if self.rest.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        };
        let text = String::from_utf8_lossy(&self.rest[..end]).into_owned();
        self.rest.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned())).collect();
        Ok(Some(Message { line, headers, body: Vec::new() }))
    }

    /// Up to `most` bytes that come next; none at the end of the connection.
    pub fn some(&mut self, most: usize) -> io::Result<Vec<u8>> {
        if self.rest.is_empty() && self.fill()? == 0 {
            return Ok(Vec::new());
        }
        let count = most.min(self.rest.len());
        Ok(self.rest.drain(..count).collect())
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        let mut out = Vec::with_capacity(count);
        while out.len() < count {
            let part = self.some(count - out.len())?;
            if part.is_empty() {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            out.extend(part);
        }
        Ok(out)
    }

    fn text_line(&mut self) -> io::Result<String> {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            line.extend(self.exactly(1)?);
        }
        Ok(String::from_utf8_lossy(&line).trim().to_owned())
    }

    /// The body that follows a head, by its length or its chunks. Without either it is empty.
    pub fn body(&mut self, head: &Message) -> io::Result<Vec<u8>> {
        if head.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            let mut out = Vec::new();
            loop {
                let line = self.text_line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or_default(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let chunk = self.exactly(size + 2)?;
                if size == 0 {
                    return Ok(out);
                }
                out.extend_from_slice(&chunk[..size]);
            }
        }
        let length = head.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        self.exactly(length)
    }

    /// The next message; none if the connection was closed before it began.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        message.body = self.body(&message)?;
        Ok(Some(message))
    }

    /// Writes an answer with a length.
    pub fn answer(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
        let mut all = head.into_bytes();
        all.extend_from_slice(body);
        self.stream.write_all(&all)
    }
}
