//! Stand-in for clients.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use crate::http;
use crate::record::Record;
use crate::socket;

/// A request as the client saw it. Times are milliseconds since the start of the script.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub sent: u64,
    pub ended: u64,
    /// Status of a complete answer.
    pub status: Option<u16>,
}

pub struct Request<'a> {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub deadline_ms: u64,
    pub body: &'a [u8],
    /// Whether the client says that it will send no other request on the connection.
    pub last: bool,
}

pub struct Client {
    stream: TcpStream,
    buf: Vec<u8>,
    record: Arc<Record>,
}

impl Client {
    pub fn connect(address: &str, record: &Arc<Record>) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(
            &address.parse().expect("an address"),
            Duration::from_secs(1),
        )?;
        stream.set_nodelay(true)?;
        Ok(Client {
            stream,
            buf: Vec::new(),
            record: record.clone(),
        })
    }

    /// Connects with a receive buffer of a given size, so that unread answers wait at the sender.
    pub fn connect_with_buffer(
        address: &str,
        record: &Arc<Record>,
        bytes: i32,
    ) -> std::io::Result<Client> {
        let stream = socket::open(address, bytes)?;
        stream.set_nodelay(true)?;
        Ok(Client {
            stream,
            buf: Vec::new(),
            record: record.clone(),
        })
    }

    /// Sends a request whole. Returns the time at which its last byte was written.
    pub fn send(&mut self, request: &Request) -> std::io::Result<u64> {
        let Request { id, method, path, deadline_ms, body, last } = request;
        let close = if *last { "Connection: close\r\n" } else { "" };
        let length = match body.is_empty() && *method == "GET" {
            true => String::new(),
            false => format!("Content-Length: {}\r\n", body.len()),
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: site.example\r\nDragonflylead-Request-Id: {id}\r\n\
             Dragonflylead-Deadline-Ms: {deadline_ms}\r\n{close}{length}\r\n"
        );
        self.stream.write_all(head.as_bytes())?;
        self.stream.write_all(body)?;
        let bytes = body.len();
        self.record.line(&format!("request {id} sent: {method} {path}, {bytes} bytes {close:?}"));
        Ok(self.record.now())
    }

    /// Waits for the answer, for at most `max_time`.
    pub fn receive(&mut self, request: &Request, sent: u64, max_time: Duration) -> Sent {
        let _ = self.stream.set_read_timeout(Some(max_time));
        let message = http::read_message(&mut self.stream, &mut self.buf);
        let status = match &message {
            Some((head, true)) => head.first.get(1).and_then(|s| s.parse().ok()),
            _ => None,
        };
        let ended = self.record.now();
        let how = match status {
            Some(status) => format!("answered {status}"),
            None => "no complete answer, the connection ended or the time was over".to_owned(),
        };
        self.record.line(&format!("request {}: {how}", request.id));
        Sent {
            id: request.id.clone(),
            sent,
            ended,
            status,
        }
    }

    /// Sends a request and waits for its answer until its deadline.
    pub fn exchange(&mut self, request: &Request) -> Sent {
        let begun = self.record.now();
        match self.send(request) {
            Ok(sent) => self.receive(request, sent, Duration::from_millis(request.deadline_ms)),
            Err(_) => {
                // The node may have answered before it read the whole request.
                let mut answer = self.receive(request, begun, Duration::from_millis(500));
                answer.sent = begun;
                answer
            }
        }
    }
}
