//! A target that sends given bytes for each request, whatever the request asks for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Time after a response at which further bytes are sent.
const LATER: Duration = Duration::from_millis(30);

/// What the target does for one request.
pub(crate) enum Reaction {
    /// Sends bytes.
    Send(Vec<u8>),
    /// Sends bytes, and further ones after a pause.
    SendThenLater(Vec<u8>, Vec<u8>),
    /// Sends bytes and closes the connection.
    SendThenClose(Vec<u8>),
    /// Sends bytes and resets the connection. It reads no body.
    SendThenReset(Vec<u8>),
    /// Sends bytes and, after a pause, resets the connection. It reads no body.
    SendThenResetLater(Vec<u8>),
    /// Sends bytes and ends its side of the connection, which stays open otherwise. It reads no body.
    SendThenEnd(Vec<u8>),
    /// Sends bytes, ends its side of the connection and resets it. It reads no body.
    SendThenEndAndReset(Vec<u8>),
    /// Sends bytes and then nothing more, with the connection open.
    SendThenStall(Vec<u8>),
    /// Reads nothing for a time, then reads this many bytes of a body and sends a response.
    ReadLater(Duration, usize, Vec<u8>),
    /// Sends the first bytes once and the second ones until the connection closes.
    SendEndlessly(&'static [u8], &'static [u8]),
}

#[derive(Debug, Default)]
struct Counts {
    connections: AtomicUsize,
    requests: AtomicUsize,
    closed: AtomicUsize,
    sent: AtomicUsize,
    later_sent: AtomicBool,
}

/// A running target. It reads requests without a body.
#[derive(Debug)]
pub(crate) struct ScriptedTarget {
    pub(crate) address: SocketAddr,
    counts: Arc<Counts>,
    task: JoinHandle<()>,
}

impl ScriptedTarget {
    /// Starts a target. `react` gets the number of the request, from 0.
    pub(crate) async fn start<F>(react: F) -> ScriptedTarget
    where
        F: Fn(usize) -> Reaction + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let counts: Arc<Counts> = Arc::default();
        let shared = counts.clone();
        let react = Arc::new(react);
        let task = tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let (react, counts) = (react.clone(), shared.clone());
                counts.connections.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(async move {
                    serve(stream, react.as_ref(), &counts).await;
                    counts.closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        ScriptedTarget {
            address,
            counts,
            task,
        }
    }

    /// Returns the number of connections that were opened.
    pub(crate) fn connections(&self) -> usize {
        self.counts.connections.load(Ordering::SeqCst)
    }

    /// Returns the number of bytes that were written.
    pub(crate) fn sent(&self) -> usize {
        self.counts.sent.load(Ordering::SeqCst)
    }

    /// Waits until the bytes after a pause were sent and have had time to arrive.
    pub(crate) async fn wait_for_later_bytes(&self) {
        while !self.counts.later_sent.load(Ordering::SeqCst) {
            tokio::time::sleep(LATER).await;
        }
        tokio::time::sleep(LATER).await;
    }

    /// Waits until all connections are closed.
    pub(crate) async fn wait_until_closed(&self) {
        while self.counts.closed.load(Ordering::SeqCst) < self.connections() {
            tokio::time::sleep(LATER).await;
        }
    }
}

impl Drop for ScriptedTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve<F>(mut stream: TcpStream, react: &F, counts: &Counts)
where
    F: Fn(usize) -> Reaction,
{
    while read_head(&mut stream).await {
        let number = counts.requests.fetch_add(1, Ordering::SeqCst);
        match react(number) {
            Reaction::Send(bytes) => send(&mut stream, &bytes, counts).await,
            Reaction::SendThenLater(bytes, later) => {
                send(&mut stream, &bytes, counts).await;
                tokio::time::sleep(LATER).await;
                send(&mut stream, &later, counts).await;
                counts.later_sent.store(true, Ordering::SeqCst);
                true
            }
            Reaction::SendThenClose(bytes) => {
                send(&mut stream, &bytes, counts).await;
                return;
            }
            Reaction::SendThenReset(bytes) => {
                send(&mut stream, &bytes, counts).await;
                stream.set_zero_linger().unwrap();
                return;
            }
            Reaction::SendThenResetLater(bytes) => {
                send(&mut stream, &bytes, counts).await;
                tokio::time::sleep(LATER).await;
                stream.set_zero_linger().unwrap();
                return;
            }
            Reaction::SendThenEnd(bytes) => {
                send(&mut stream, &bytes, counts).await;
                stream.shutdown().await.unwrap();
                std::future::pending().await
            }
            Reaction::SendThenEndAndReset(bytes) => {
                send(&mut stream, &bytes, counts).await;
                stream.shutdown().await.unwrap();
                stream.set_zero_linger().unwrap();
                return;
            }
            Reaction::SendThenStall(bytes) => {
                send(&mut stream, &bytes, counts).await;
                std::future::pending().await
            }
            Reaction::ReadLater(pause, len, bytes) => {
                tokio::time::sleep(pause).await;
                let mut body = vec![0; len];
                stream.read_exact(&mut body).await.is_ok()
                    && send(&mut stream, &bytes, counts).await
            }
            Reaction::SendEndlessly(start, repeated) => {
                let block = repeated.repeat(4_096 / repeated.len());
                let mut open = send(&mut stream, start, counts).await;
                while open {
                    open = send(&mut stream, &block, counts).await;
                }
                return;
            }
        };
    }
}

async fn send(stream: &mut TcpStream, bytes: &[u8], counts: &Counts) -> bool {
    let sent = stream.write_all(bytes).await.is_ok();
    counts.sent.fetch_add(bytes.len(), Ordering::SeqCst);
    sent
}

/// Reads the head of a request. Returns false at the end of the connection.
async fn read_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return false,
        }
    }
    true
}
