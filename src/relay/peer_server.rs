//! Server for other nodes: runs their requests at the local target and reads the store for them.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::BytesMut;
use futures_util::StreamExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::task::JoinSet;
use tokio_util::codec::FramedRead;

use crate::protocol::frame;
use crate::protocol::frame::FRAME_VERSION;
use crate::protocol::frame::Frame;
use crate::protocol::frame::RunRequest;
use crate::protocol::store_query::Query;
use crate::protocol::sync::KnownState;
use crate::relay::Relay;
use crate::relay::run;
use crate::relay::socket;

/// Limit on the messages that are queued for writing on one connection.
const MAX_QUEUED_FRAMES: usize = 4_096;

/// Limit on the concurrent reads of the store for other nodes.
const MAX_STORE_READS: usize = 16;

/// Number of reads of the store for other nodes that are in progress.
static STORE_READS: AtomicUsize = AtomicUsize::new(0);

/// Tasks of the requests that run for one connection, by number of the request.
type RunningRequests = Arc<Mutex<HashMap<u32, AbortHandle>>>;

/// Accepts connections of other nodes. They are closed when the task ends.
pub async fn accept(relay: Arc<Relay>, listener: Arc<TcpListener>) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, from)) => {
                let relay = relay.clone();
                relay.record_connected_peer(from.ip());
                connections.spawn(async move {
                    if let Err(e) = serve(relay, stream).await {
                        log::debug!(peer:% = from, error:% = e; "connection of another node broke");
                    }
                });
            }
            Err(e) => {
                log::warn!("cannot accept a connection of another node: {e}");
                tokio::time::sleep(run::ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(relay: Arc<Relay>, stream: TcpStream) -> io::Result<()> {
    socket::set_options(&stream)?;
    let (rd, wr) = stream.into_split();
    let (tx, rx) = mpsc::channel(MAX_QUEUED_FRAMES);
    let writer = tokio::spawn(write_frames(wr, rx));
    let running = RunningRequests::default();
    let mut frames = FramedRead::new(rd, frame::codec());
    let result = loop {
        let bytes = match frames.next().await {
            Some(Ok(bytes)) => bytes,
            Some(Err(e)) => break Err(e),
            None => break Ok(()),
        };
        match frame::decode(&bytes) {
            Ok(frame) => {
                if let Err(e) = handle_frame(&relay, frame, &tx, &running).await {
                    break Err(e);
                }
            }
            Err(e) => break Err(io::Error::other(e)),
        }
    };
    // The sender is gone, so its runs are aborted. Non-idempotent runs continue to their end.
    let handles: Vec<AbortHandle> = lock(&running).drain().map(|(_, handle)| handle).collect();
    handles.iter().for_each(AbortHandle::abort);
    drop(tx);
    writer.abort();
    result
}

async fn handle_frame(
    relay: &Arc<Relay>,
    frame: Frame,
    tx: &mpsc::Sender<Frame>,
    running: &RunningRequests,
) -> io::Result<()> {
    match frame {
        Frame::Hello { version, .. } if version != FRAME_VERSION => {
            return Err(io::Error::other(format!(
                "unsupported message version {version}, expected {FRAME_VERSION}"
            )));
        }
        Frame::Run(req) => start_run(relay, req, tx, running),
        Frame::Cancel(number) => {
            if let Some(handle) = lock(running).remove(&number) {
                handle.abort();
            }
        }
        Frame::ConfigVersion(version) => relay.handle_peer_version(version),
        Frame::Ping => send(tx, Frame::Pong).await?,
        Frame::Crash(report) => relay.record_crash_report(&report),
        Frame::Read { number, query } => spawn_store_read(relay, number, query, tx),
        Frame::Sync { number, known } => spawn_sync(relay, number, known, tx),
        _ => (),
    }
    Ok(())
}

fn start_run(
    relay: &Arc<Relay>,
    req: Box<RunRequest>,
    tx: &mpsc::Sender<Frame>,
    running: &RunningRequests,
) {
    let number = req.number;
    let arrived = relay.now();
    let task = {
        let relay = relay.clone();
        let tx = tx.clone();
        let running = running.clone();
        async move {
            let route: Arc<str> = Arc::from(req.route.as_str());
            let outcome = run::run_locally(&relay, *req, arrived).await;
            lock(&running).remove(&number);
            let reply = Frame::Reply {
                number,
                outcome,
                load: relay.load_report(&route),
            };
            if send(&tx, reply).await.is_err() {
                log::debug!("reply dropped, the connection of the requesting node is closed");
            }
        }
    };
    let mut running = lock(running);
    let handle = tokio::spawn(task).abort_handle();
    running.insert(number, handle);
}

/// Reads the store for another node. Replies with nothing if [`MAX_STORE_READS`] are in progress.
fn spawn_store_read(relay: &Arc<Relay>, number: u32, query: Query, tx: &mpsc::Sender<Frame>) {
    let relay = relay.clone();
    let tx = tx.clone();
    tokio::spawn(async move {
        let overloaded = STORE_READS.fetch_add(1, Ordering::Relaxed) >= MAX_STORE_READS;
        let result = match overloaded {
            true => None,
            false => relay.read_store_for_peer(query).await,
        };
        STORE_READS.fetch_sub(1, Ordering::Relaxed);
        if send(&tx, Frame::ReadReply { number, result })
            .await
            .is_err()
        {
            log::debug!("query result dropped, the connection of the requesting node is closed");
        }
    });
}

/// Replies to a follower once there is something that it does not know.
fn spawn_sync(relay: &Arc<Relay>, number: u32, known: KnownState, tx: &mpsc::Sender<Frame>) {
    let relay = relay.clone();
    let tx = tx.clone();
    tokio::spawn(async move {
        let reply = tokio::select! {
            reply = relay.answer_sync(known) => Box::new(reply),
            () = tx.closed() => return,
        };
        if send(&tx, Frame::SyncReply { number, reply }).await.is_err() {
            log::debug!("reply dropped, the connection of the asking node is closed");
        }
    });
}

async fn send(tx: &mpsc::Sender<Frame>, frame: Frame) -> io::Result<()> {
    let sent = tx.send(frame).await;
    sent.map_err(|_| io::ErrorKind::BrokenPipe.into())
}

async fn write_frames(mut wr: OwnedWriteHalf, mut rx: mpsc::Receiver<Frame>) {
    let mut out = BytesMut::new();
    while let Some(frame) = rx.recv().await {
        frame::append_or_log(&mut out, &frame);
        while let Ok(frame) = rx.try_recv() {
            frame::append_or_log(&mut out, &frame);
        }
        if let Err(e) = wr.write_all(&out).await {
            log::debug!("cannot write replies to another node: {e}");
            return;
        }
        out.clear();
    }
}

fn lock(running: &RunningRequests) -> std::sync::MutexGuard<'_, HashMap<u32, AbortHandle>> {
    running.lock().unwrap_or_else(|p| p.into_inner())
}
