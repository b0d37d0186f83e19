//! A target that speaks plain HTTP/1.1 and does what the path of a request says.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Buf;
use bytes::BytesMut;
use dragonflylead::http1::BodyDecoder;
use dragonflylead::http1::RequestHead;
use dragonflylead::http1::head;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::relay_fleet::HEADER_NAMES;

const MAX_HEAD: usize = 64 * 1024;

/// A request that the target began to run.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// Head, as it arrived.
    pub(crate) head: RequestHead,
    /// Body.
    pub(crate) body: Vec<u8>,
    /// Whether the connection was closed before the answer was due.
    pub(crate) abandoned: bool,
}

impl Run {
    /// Returns the value of a header.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.head.header(name).unwrap_or_default()
    }
}

/// A running target. Paths say what it does: see [`answer`].
#[derive(Debug)]
pub(crate) struct PlainTarget {
    pub(crate) address: SocketAddr,
    runs: Arc<Mutex<Vec<Run>>>,
    silent: Arc<Mutex<Option<Instant>>>,
    task: JoinHandle<()>,
}

impl PlainTarget {
    /// Starts a target on any free port of `ip`, called `name`.
    pub(crate) async fn start(ip: &str, name: &str) -> PlainTarget {
        let listener = TcpListener::bind((ip, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let seen = runs.clone();
        let silent: Arc<Mutex<Option<Instant>>> = Arc::default();
        let since = silent.clone();
        let name = name.to_owned();
        let task = tokio::spawn(async move {
            let mut served = tokio::task::JoinSet::new();
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let (name, seen, since) = (name.clone(), seen.clone(), since.clone());
                let opened = Instant::now();
                served.spawn(async move {
                    let serving = serve(stream, name, seen);
                    tokio::pin!(serving);
                    tokio::select! {
                        () = &mut serving => return,
                        () = turned_silent(opened, &since) => (),
                    }
                    // The connection stays open with `serving`, which nobody polls any more.
                    std::future::pending::<()>().await;
                });
            }
        });
        PlainTarget {
            address,
            runs,
            silent,
            task,
        }
    }

    /// Makes the open connections silent for good; new ones work.
    pub(crate) fn silence_open(&self) {
        *self.silent.lock().unwrap() = Some(Instant::now());
    }

    /// Ends the target: its port refuses and its connections are cut.
    pub(crate) fn crash(&self) {
        self.task.abort();
    }

    /// Returns the requests that were run so far.
    pub(crate) fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns how often the request with this id was run.
    pub(crate) fn count(&self, id: &str) -> usize {
        let runs = self.runs.lock().unwrap();
        runs.iter()
            .filter(|run| run.header(HEADER_NAMES.request_id) == id)
            .count()
    }
}

impl Drop for PlainTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Waits until connections opened at `opened` are to be silent.
async fn turned_silent(opened: Instant, since: &Mutex<Option<Instant>>) {
    while since.lock().unwrap().is_none_or(|at| opened > at) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

async fn serve(mut stream: TcpStream, name: String, runs: Arc<Mutex<Vec<Run>>>) {
    let mut buf = BytesMut::new();
    while let Some((head, body)) = read(&mut stream, &mut buf).await {
        let meant = head
            .header(HEADER_NAMES.target_instance)
            .unwrap_or_default()
            .to_owned();
        if meant != name {
            let text = format!(
                "HTTP/1.1 421 Misdirected\r\n{}: {name}\r\nContent-Length: 0\r\n\r\n",
                HEADER_NAMES.instance
            );
            stream.write_all(text.as_bytes()).await.ok();
            continue;
        }
        if head.path().contains("/full") {
            let text = format!(
                "HTTP/1.1 503 Full\r\n{}: 1\r\nContent-Length: 0\r\n\r\n",
                HEADER_NAMES.not_run
            );
            stream.write_all(text.as_bytes()).await.ok();
            continue;
        }
        let at = {
            let mut runs = runs.lock().unwrap();
            runs.push(Run {
                head: head.clone(),
                body: body.clone(),
                abandoned: false,
            });
            runs.len() - 1
        };
        if !wait(&mut stream, &mut buf, head.path()).await {
            runs.lock().unwrap()[at].abandoned = true;
            return;
        }
        if !answer(&mut stream, &head, &body).await {
            return;
        }
    }
}

/// Works for the time that the path says. Returns false if the connection was closed meanwhile.
async fn wait(stream: &mut TcpStream, buf: &mut BytesMut, path: &str) -> bool {
    let Some(ms) = path.split("/wait-").nth(1) else {
        return true;
    };
    let ms: u64 = ms
        .split('/')
        .next()
        .unwrap_or_default()
        .parse()
        .unwrap_or(0);
    tokio::select! {
        () = tokio::time::sleep(Duration::from_millis(ms)) => true,
        read = stream.read_buf(buf) => !matches!(read, Ok(0) | Err(_)),
    }
}

/// Answers as the path says, with the body echoed. Returns whether the connection stays open.
async fn answer(stream: &mut TcpStream, head: &RequestHead, body: &[u8]) -> bool {
    let id = head.header(HEADER_NAMES.request_id).unwrap_or_default();
    let path = head.path();
    let signed = format!(
        "{}: {id}\r\n{}: s.{id}\r\n",
        HEADER_NAMES.request_id, HEADER_NAMES.signature
    );
    let len = body.len();
    let whole = format!("HTTP/1.1 200 OK\r\n{signed}Content-Length: {len}\r\n\r\n");
    let with_body = |head: String| [head.into_bytes(), body.to_vec()].concat();
    let (bytes, open) = match path {
        p if p.contains("/silent") => (Vec::new(), false),
        p if p.contains("/cut") => {
            let head = format!(
                "HTTP/1.1 200 OK\r\n{signed}Content-Length: {}\r\n\r\n",
                len + 9
            );
            (with_body(head), false)
        }
        p if p.contains("/unframed") => {
            (with_body(format!("HTTP/1.1 200 OK\r\n{signed}\r\n")), false)
        }
        p if p.contains("/garbage") => (b"\x01\x02no answer\r\n\r\n".to_vec(), true),
        p if p.contains("/unsigned") => {
            let echoed = format!("{}: {id}\r\n", HEADER_NAMES.request_id);
            let head = format!("HTTP/1.1 200 OK\r\n{echoed}Content-Length: {len}\r\n\r\n");
            (with_body(head), true)
        }
        p if p.contains("/twice") => {
            let answer = with_body(whole.clone());
            ([answer.clone(), answer].concat(), true)
        }
        p if p.contains("/late-other") => {
            let other = whole.replace(id, "another");
            ([with_body(other), with_body(whole.clone())].concat(), true)
        }
        p if p.contains("/lying-503") => (
            format!("HTTP/1.1 503 Full\r\n{signed}Content-Length: 0\r\n\r\n").into_bytes(),
            true,
        ),
        p if p.contains("/error") => (
            format!("HTTP/1.1 500 Error\r\n{signed}Content-Length: 0\r\n\r\n").into_bytes(),
            true,
        ),
        p if p.contains("/chunked") => {
            let head = format!("HTTP/1.1 200 OK\r\n{signed}Transfer-Encoding: chunked\r\n\r\n");
            let chunk = format!("{len:x}\r\n");
            let parts = [head.as_bytes(), chunk.as_bytes(), body, b"\r\n0\r\n\r\n"];
            (parts.concat(), true)
        }
        _ => (with_body(whole), true),
    };
    stream.write_all(&bytes).await.is_ok() && open
}

async fn read(stream: &mut TcpStream, buf: &mut BytesMut) -> Option<(RequestHead, Vec<u8>)> {
    let (head, mut decoder) = loop {
        if let Some((head, len)) = head::parse_request(buf, MAX_HEAD).ok()? {
            buf.advance(len);
            let decoder = BodyDecoder::new(head.framing, 1 << 24);
            break (head, decoder);
        }
        if stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    };
    while !decoder.decode(buf).ok()? {
        if stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    }
    Some((head, decoder.into_body()))
}
