//! The little of HTTP/1.1 that the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or an answer: its first line, headers with names in lower case, and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }

    /// The path of a request, without its query.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|pair| pair.1)
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or_default()
    }
}

fn end_of_head(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4)
}

/// Reads one message; `buffer` keeps what was received beyond it. None at the end of the connection. `may_read` is asked before each read and
/// may wait.
pub fn read(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    until: Option<Instant>,
    may_read: &dyn Fn(),
) -> io::Result<Option<Message>> {
    let mut more = |buffer: &mut Vec<u8>| -> io::Result<usize> {
        loop {
            may_read();
            if until.is_some_and(|until| Instant::now() >= until) {
                return Err(io::ErrorKind::TimedOut.into());
            }
            let mut piece = [0; 16 << 10];
            stream.set_read_timeout(Some(Duration::from_millis(5)))?;
            match stream.read(&mut piece) {
                Ok(count) => {
                    buffer.extend_from_slice(&piece[..count]);
                    return Ok(count);
                }
                Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
                Err(error) => return Err(error),
            }
        }
    };
    let head = loop {
        if let Some(end) = end_of_head(buffer) {
            break end;
        }
        if more(buffer)? == 0 {
            return if buffer.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
    };
    let text = String::from_utf8_lossy(&buffer[..head]).into_owned();
    buffer.drain(..head);
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let pair = |line: &str| line.split_once(':').map(|(key, value)| (key.to_ascii_lowercase(), value.trim().to_owned()));
    let headers = lines.filter_map(pair).collect();
    let mut message = Message { first, headers, body: Vec::new() };
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let line = loop {
                if let Some(at) = buffer.windows(2).position(|two| two == b"\r\n") {
                    break at;
                }
                if more(buffer)? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let size = String::from_utf8_lossy(&buffer[..line]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            while buffer.len() < line + 2 + size + 2 {
                if more(buffer)? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            message.body.extend_from_slice(&buffer[line + 2..line + 2 + size]);
            buffer.drain(..line + 2 + size + 2);
            if size == 0 {
                return Ok(Some(message));
            }
        }
    }
    let length: usize = message.header("content-length").parse().unwrap_or_default();
    while buffer.len() < length {
        if more(buffer)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    message.body = buffer.drain(..length).collect();
    Ok(Some(message))
}

/// Writes a message with a body of this length.
pub fn write(stream: &mut TcpStream, first: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
    let mut text = format!("{first}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Makes one call on a new connection.
pub fn call(
    address: SocketAddr,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    within: Duration,
) -> io::Result<Message> {
    let until = Instant::now() + within;
    let mut stream = TcpStream::connect_timeout(&address, within.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    write(&mut stream, first, headers, body)?;
    let answer = read(&mut stream, &mut Vec::new(), Some(until), &|| {})?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
