//! A target that speaks plain HTTP/1.1. The path of a request selects its behaviour.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
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
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use super::header_names::HEADER_NAMES;

const MAX_HEAD: usize = 64 * 1024;

/// Time between an early response and the reset of its connection.
const RESET_DELAY: Duration = Duration::from_millis(30);

/// A request that the target has started to run.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// Head of the request as received.
    pub(crate) head: RequestHead,
    /// Body of the request.
    pub(crate) body: Vec<u8>,
    /// Whether the connection was closed before the response was sent.
    pub(crate) abandoned: bool,
}

impl Run {
    /// Returns the value of a header, empty if there is none.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.head.header(name).unwrap_or_default()
    }
}

/// A running target. [`respond`] lists the paths and what they do.
#[derive(Debug)]
pub(crate) struct PlainTarget {
    pub(crate) address: SocketAddr,
    name: Arc<Mutex<String>>,
    runs: Arc<Mutex<Vec<Run>>>,
    refused: Arc<AtomicUsize>,
    outbound: Arc<Mutex<Option<SocketAddr>>>,
    silenced_at: Arc<Mutex<Option<Instant>>>,
    task: JoinHandle<()>,
}

impl PlainTarget {
    /// Starts a target with the instance name `name` on a free port of `ip`.
    pub(crate) async fn start(ip: &str, name: &str) -> PlainTarget {
        let listener = TcpListener::bind((ip, 0)).await.unwrap();
        PlainTarget::serve(listener, name)
    }

    /// Starts a target at the address of one that crashed.
    pub(crate) async fn start_again(address: SocketAddr, name: &str) -> PlainTarget {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        socket.bind(address).unwrap();
        PlainTarget::serve(socket.listen(64).unwrap(), name)
    }

    fn serve(listener: TcpListener, name: &str) -> PlainTarget {
        let address = listener.local_addr().unwrap();
        let crash: Arc<Notify> = Arc::default();
        let outbound: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
        let shared_outbound = outbound.clone();
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let recorded = runs.clone();
        let refused: Arc<AtomicUsize> = Arc::default();
        let refusals = refused.clone();
        let silenced_at: Arc<Mutex<Option<Instant>>> = Arc::default();
        let silence_time = silenced_at.clone();
        let name = Arc::new(Mutex::new(name.to_owned()));
        let shared_name = name.clone();
        let task = tokio::spawn(async move {
            let mut served = tokio::task::JoinSet::new();
            loop {
                let (stream, _) = tokio::select! {
                    accepted = listener.accept() => accepted.unwrap(),
                    () = crash.notified() => return,
                };
                let (name, recorded, silence_time) =
                    (shared_name.clone(), recorded.clone(), silence_time.clone());
                let (crash, outbound) = (crash.clone(), shared_outbound.clone());
                let refusals = refusals.clone();
                let opened = Instant::now();
                served.spawn(async move {
                    let serving = serve(stream, name, recorded, refusals, crash, outbound);
                    tokio::pin!(serving);
                    tokio::select! {
                        () = &mut serving => return,
                        () = wait_until_silenced(opened, &silence_time) => (),
                    }
                    // `serving` keeps the connection open but is not polled any more.
                    std::future::pending::<()>().await;
                });
            }
        });
        PlainTarget {
            address,
            name,
            runs,
            refused,
            outbound,
            silenced_at,
            task,
        }
    }

    /// Makes the target answer as another instance from now on, as after a restart.
    pub(crate) fn rename(&self, name: &str) {
        name.clone_into(&mut self.name.lock().unwrap());
    }

    /// Sets the address to which the target sends its sub-calls.
    pub(crate) fn set_outbound(&self, address: SocketAddr) {
        *self.outbound.lock().unwrap() = Some(address);
    }

    /// Makes the target ignore all open connections from now on. New connections work.
    pub(crate) fn silence_open_connections(&self) {
        *self.silenced_at.lock().unwrap() = Some(Instant::now());
    }

    /// Stops the target: its port refuses connections and the open ones are closed.
    pub(crate) fn crash(&self) {
        self.task.abort();
    }

    /// Returns the requests that were started so far.
    pub(crate) fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns the number of requests that were refused because the target is full.
    pub(crate) fn refused(&self) -> usize {
        self.refused.load(Ordering::SeqCst)
    }

    /// Returns how often the request with this id was started.
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

/// Waits until connections that were opened at `opened` are silenced.
async fn wait_until_silenced(opened: Instant, silenced_at: &Mutex<Option<Instant>>) {
    while silenced_at.lock().unwrap().is_none_or(|at| opened > at) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

async fn serve(
    mut stream: TcpStream,
    name: Arc<Mutex<String>>,
    runs: Arc<Mutex<Vec<Run>>>,
    refusals: Arc<AtomicUsize>,
    crash: Arc<Notify>,
    outbound: Arc<Mutex<Option<SocketAddr>>>,
) {
    let mut buf = BytesMut::new();
    while let Some((head, body)) = read(&mut stream, &mut buf).await {
        let name = name.lock().unwrap().clone();
        let addressed = head
            .header(HEADER_NAMES.target_instance)
            .unwrap_or_default()
            .to_owned();
        let id = head.header(HEADER_NAMES.request_id).unwrap_or_default();
        let echoed = format!("{}: {id}\r\n", HEADER_NAMES.request_id);
        if addressed != name {
            let text = format!(
                "HTTP/1.1 421 Misdirected\r\n{echoed}{}: {name}\r\nContent-Length: 0\r\n\r\n",
                HEADER_NAMES.instance
            );
            stream.write_all(text.as_bytes()).await.ok();
            continue;
        }
        if head.path().contains("/full") {
            refusals.fetch_add(1, Ordering::SeqCst);
            let text = format!(
                "HTTP/1.1 503 Full\r\n{echoed}{}: 1\r\nContent-Length: 0\r\n\r\n",
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
        if let Some((first, called)) = head.path().split_once("calls/") {
            let outbound = outbound.lock().unwrap().unwrap();
            call(outbound, &format!("/{called}"), &format!("{id}@{name}")).await;
            if first.ends_with("lost-") {
                return;
            }
        }
        if head.path().contains("/crash") {
            crash.notify_one();
            return std::future::pending().await;
        }
        if !respond(&mut stream, &head, &body).await {
            return;
        }
    }
}

/// Makes a sub-call on a connection of its own, and waits for its end.
async fn call(outbound: SocketAddr, path: &str, id: &str) {
    let mut stream = TcpStream::connect(outbound).await.unwrap();
    let text = format!(
        "GET {path} HTTP/1.1\r\nHost: h.example\r\n{}: {id}\r\nConnection: close\r\n\r\n",
        HEADER_NAMES.request_id
    );
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.ok();
}

/// Waits for the time in the path, `/wait-MS`. Returns false if the connection is closed meanwhile.
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

/// Sends the response or fault that the path selects; a response echoes the body of the request.
/// Returns whether the connection stays open.
async fn respond(stream: &mut TcpStream, head: &RequestHead, body: &[u8]) -> bool {
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
        p if p.contains("/status-") => {
            let status = p.split("/status-").nth(1).unwrap_or_default();
            (with_body(whole.replacen("200 OK", status, 1)), true)
        }
        p if p.contains("/name-with-blank") => (
            with_body(whole.replacen("Content-", "X Y: 1\r\nContent-", 1)),
            true,
        ),
        p if p.contains("/name-with-control") => (
            with_body(whole.replacen("Content-", "X\x01Y: 1\r\nContent-", 1)),
            true,
        ),
        p if p.contains("/length-after-blank") => {
            (with_body(whole.replace("Length:", "Length :")), true)
        }
        p if p.contains("/unsigned") => {
            let echoed = format!("{}: {id}\r\n", HEADER_NAMES.request_id);
            let head = format!("HTTP/1.1 200 OK\r\n{echoed}Content-Length: {len}\r\n\r\n");
            (with_body(head), true)
        }
        p if p.contains("/twice") => {
            let response = with_body(whole.clone());
            ([response.clone(), response].concat(), true)
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

/// Sends a part of a response without a length, and resets the connection. Reads no body.
async fn respond_and_reset(stream: &mut TcpStream, head: &RequestHead) {
    let id = head.header(HEADER_NAMES.request_id).unwrap_or_default();
    let text = format!(
        "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: s.{id}\r\n\r\npart",
        HEADER_NAMES.request_id, HEADER_NAMES.signature
    );
    stream.write_all(text.as_bytes()).await.ok();
    tokio::time::sleep(RESET_DELAY).await;
    stream.set_zero_linger().ok();
}

async fn read(stream: &mut TcpStream, buf: &mut BytesMut) -> Option<(RequestHead, Vec<u8>)> {
    let (head, mut decoder) = loop {
        if let Some((head, len)) = head::parse_request(buf, MAX_HEAD).ok()? {
            buf.advance(len);
            if head.path().contains("/reset-early") {
                respond_and_reset(stream, &head).await;
                return None;
            }
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
    Some((head, decoder.into_body().to_vec()))
}
