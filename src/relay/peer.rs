//! Serves other nodes: runs their requests at the own target and reads the store for them.

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
use crate::relay::Relay;
use crate::relay::run;
use crate::relay::socket;

/// Messages that wait to be written on one connection, at most.
const MAX_WAITING: usize = 4_096;

/// Readings of the store that are made for other nodes at once, at most.
const MAX_READS: usize = 16;

static READS: AtomicUsize = AtomicUsize::new(0);

type Running = Arc<Mutex<HashMap<u32, AbortHandle>>>;

/// Accepts other nodes. Their connections end with the task.
pub async fn accept(relay: Arc<Relay>, listener: TcpListener) {
    let mut served = JoinSet::new();
    loop {
        while served.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, from)) => {
                let relay = relay.clone();
                relay.heard_from(from.ip());
                served.spawn(async move {
                    if let Err(e) = serve(relay, stream).await {
                        log::debug!(peer:% = from, error:% = e; "connection of a node ended");
                    }
                });
            }
            Err(e) => {
                log::warn!("no connection of a node accepted: {e}");
                tokio::time::sleep(run::ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(relay: Arc<Relay>, stream: TcpStream) -> io::Result<()> {
    socket::watch(&stream)?;
    let (rd, wr) = stream.into_split();
    let (tx, rx) = mpsc::channel(MAX_WAITING);
    let writer = tokio::spawn(write(wr, rx));
    let running = Running::default();
    let mut frames = FramedRead::new(rd, frame::codec());
    let end = loop {
        let bytes = match frames.next().await {
            Some(Ok(bytes)) => bytes,
            Some(Err(e)) => break Err(e),
            None => break Ok(()),
        };
        match frame::decode(&bytes) {
            Ok(frame) => {
                if let Err(e) = take(&relay, frame, &tx, &running).await {
                    break Err(e);
                }
            }
            Err(e) => break Err(io::Error::other(e)),
        }
    };
    // Nobody is there to take the answers.
    let left: Vec<AbortHandle> = lock(&running).drain().map(|(_, handle)| handle).collect();
    left.iter().for_each(AbortHandle::abort);
    drop(tx);
    writer.abort();
    end
}

async fn take(
    relay: &Arc<Relay>,
    frame: Frame,
    tx: &mpsc::Sender<Frame>,
    running: &Running,
) -> io::Result<()> {
    match frame {
        Frame::Hello { version, .. } if version != FRAME_VERSION => {
            return Err(io::Error::other(format!("node speaks version {version}")));
        }
        Frame::Run(req) => start(relay, req, tx, running),
        Frame::Cancel(number) => {
            if let Some(handle) = lock(running).remove(&number) {
                handle.abort();
            }
        }
        Frame::Version(version) => relay.hear_version(version),
        Frame::Ping => send(tx, Frame::Pong).await?,
        Frame::Crash(report) => relay.take_crash(&report),
        Frame::Read { number, query } => read_for(relay, number, query, tx),
        _ => (),
    }
    Ok(())
}

fn start(relay: &Arc<Relay>, req: Box<RunRequest>, tx: &mpsc::Sender<Frame>, running: &Running) {
    let number = req.number;
    let arrived = relay.now();
    let task = {
        let relay = relay.clone();
        let tx = tx.clone();
        let running = running.clone();
        async move {
            let route: Arc<str> = Arc::from(req.route.as_str());
            let outcome = run::run_here(&relay, *req, arrived).await;
            lock(&running).remove(&number);
            let reply = Frame::Reply {
                number,
                outcome,
                load: relay.load_report(&route),
            };
            if send(&tx, reply).await.is_err() {
                log::debug!("an answer is dropped, the node that asked is gone");
            }
        }
    };
    let mut held = lock(running);
    let handle = tokio::spawn(task).abort_handle();
    held.insert(number, handle);
}

/// Reads the store for another node, if not too many readings are being made already.
fn read_for(relay: &Arc<Relay>, number: u32, query: Query, tx: &mpsc::Sender<Frame>) {
    let relay = relay.clone();
    let tx = tx.clone();
    tokio::spawn(async move {
        let busy = READS.fetch_add(1, Ordering::Relaxed) >= MAX_READS;
        let result = match busy {
            true => None,
            false => relay.read_store_for_other(query).await,
        };
        READS.fetch_sub(1, Ordering::Relaxed);
        if send(&tx, Frame::ReadReply { number, result })
            .await
            .is_err()
        {
            log::debug!("a reading is dropped, the node that asked is gone");
        }
    });
}

async fn send(tx: &mpsc::Sender<Frame>, frame: Frame) -> io::Result<()> {
    let sent = tx.send(frame).await;
    sent.map_err(|_| io::ErrorKind::BrokenPipe.into())
}

async fn write(mut wr: OwnedWriteHalf, mut rx: mpsc::Receiver<Frame>) {
    let mut out = BytesMut::new();
    while let Some(frame) = rx.recv().await {
        frame::append_or_log(&mut out, &frame);
        while let Ok(frame) = rx.try_recv() {
            frame::append_or_log(&mut out, &frame);
        }
        if let Err(e) = wr.write_all(&out).await {
            log::debug!("answers to a node not written: {e}");
            return;
        }
        out.clear();
    }
}

fn lock(running: &Running) -> std::sync::MutexGuard<'_, HashMap<u32, AbortHandle>> {
    running.lock().unwrap_or_else(|p| p.into_inner())
}
