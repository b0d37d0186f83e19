//! Server for other nodes: runs their requests at the local target and reads the store for them.

use std::collections::HashMap;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use futures_util::StreamExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio_util::codec::FramedRead;

use crate::error::NotRunKind;
use crate::protocol::frame;
use crate::protocol::frame::FRAME_VERSION;
use crate::protocol::frame::Frame;
use crate::protocol::frame::LoadReport;
use crate::protocol::frame::MAX_FRAME_BYTES;
use crate::protocol::frame::MAX_HELLO_BYTES;
use crate::protocol::frame::MAX_INLINE_BODY;
use crate::protocol::frame::RunOutcome;
use crate::protocol::frame::RunRequest;
use crate::protocol::frame::StreamedBody;
use crate::protocol::store_query::Query;
use crate::protocol::sync::KnownState;
use crate::relay::Relay;
use crate::relay::incoming_body::BodySender;
use crate::relay::incoming_body::IncomingBody;
use crate::relay::peer_connection::PeerFrames;
use crate::relay::peer_writer;
use crate::relay::peer_writer::ToPeer;
use crate::relay::run;
use crate::relay::socket;

/// Limit on the messages that are queued for writing on one connection.
const MAX_QUEUED_FRAMES: usize = 4_096;

/// Limit on the concurrent reads of the store for other nodes.
pub(super) const MAX_STORE_READS: usize = 16;

/// Time that a new connection has to identify itself as one of a node.
const HELLO_TIMEOUT: Duration = Duration::from_millis(2_000);

/// A request that runs for another node.
struct RunningRequest {
    task: AbortHandle,
    /// Where the parts of its body go, if they are sent one by one.
    body: Option<BodySender>,
}

/// The requests that run for one connection, by number.
type RunningRequests = Arc<Mutex<HashMap<u32, RunningRequest>>>;

/// Accepts connections of other nodes, as many as their share of the descriptors allows. They are
/// closed when the task ends.
pub async fn accept(relay: Arc<Relay>, listener: Arc<TcpListener>) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, from)) => {
                if connections.len() >= relay.cfg().descriptors.peers() {
                    log::warn!(peer:% = from; "connection of another node refused, too many are open");
                    continue;
                }
                let relay = relay.clone();
                connections.spawn(async move {
                    if let Err(e) = serve(relay, stream, from.ip()).await {
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

async fn serve(relay: Arc<Relay>, stream: TcpStream, from: IpAddr) -> io::Result<()> {
    socket::set_options(&stream)?;
    let (rd, wr) = stream.into_split();
    let mut frames = FramedRead::new(rd, frame::codec(MAX_HELLO_BYTES));
    receive_hello(&mut frames).await?;
    frames.decoder_mut().set_max_frame_length(MAX_FRAME_BYTES);
    relay.record_connected_peer(from);
    let peer = SocketAddr::new(from, relay.cfg().peers.port());
    let (tx, rx) = mpsc::channel(MAX_QUEUED_FRAMES);
    let writer = tokio::spawn(peer_writer::write(wr, rx));
    let running = RunningRequests::default();
    let result = loop {
        let bytes = match frames.next().await {
            Some(Ok(bytes)) => bytes,
            Some(Err(e)) => break Err(e),
            None => break Ok(()),
        };
        match frame::decode(&bytes) {
            Ok(frame) => {
                if let Err(e) = handle_frame(&relay, peer, frame, &tx, &running).await {
                    break Err(e);
                }
            }
            Err(e) => break Err(io::Error::other(e)),
        }
    };
    // The sender is gone, so its runs are aborted. Non-idempotent runs continue to their end.
    let ended: Vec<RunningRequest> = lock(&running).drain().map(|(_, request)| request).collect();
    ended.iter().for_each(|request| request.task.abort());
    drop(tx);
    writer.abort();
    result
}

/// Receives the first message of a connection.
///
/// # Errors
///
/// If it is not that of a node with this version of the message format.
async fn receive_hello(frames: &mut PeerFrames) -> io::Result<()> {
    let first = timeout(HELLO_TIMEOUT, frames.next()).await?;
    let bytes = first.ok_or(io::ErrorKind::UnexpectedEof)??;
    match frame::decode(&bytes).map_err(io::Error::other)? {
        Frame::Hello { version, .. } if version == FRAME_VERSION => Ok(()),
        Frame::Hello { version, .. } => Err(io::Error::other(format!(
            "unsupported message version {version}, expected {FRAME_VERSION}"
        ))),
        _ => Err(io::Error::other("the first message is not a hello")),
    }
}

async fn handle_frame(
    relay: &Arc<Relay>,
    peer: SocketAddr,
    frame: Frame,
    tx: &mpsc::Sender<ToPeer>,
    running: &RunningRequests,
) -> io::Result<()> {
    match frame {
        Frame::Run(req) => {
            relay.handle_peer_version(req.config_version, peer);
            start_run(relay, req, tx, running);
        }
        Frame::Data { number, bytes } => {
            if let Some(RunningRequest {
                body: Some(body), ..
            }) = lock(running).get(&number)
            {
                body.send(bytes).map_err(io::Error::other)?;
            }
        }
        Frame::Credit { number, bytes } => {
            let sent = tx.send(ToPeer::Credit(number, bytes)).await;
            sent.map_err(|_| io::ErrorKind::BrokenPipe)?;
        }
        Frame::Cancel(number) => {
            if let Some(request) = lock(running).remove(&number) {
                request.task.abort();
            }
            let sent = tx.send(ToPeer::Drop(number)).await;
            sent.map_err(|_| io::ErrorKind::BrokenPipe)?;
        }
        Frame::ConfigVersion(version) => relay.handle_peer_version(version, peer),
        Frame::Ping => send(tx, Frame::Pong).await?,
        Frame::Crash(report) => relay.record_crash_report(&report),
        Frame::Unharmed(fingerprint) => relay.record_unharmed_elsewhere(fingerprint),
        Frame::Trial(fingerprint) => relay.record_trial_elsewhere(fingerprint),
        Frame::Read { number, query } => spawn_store_read(relay, number, query, tx),
        Frame::Sync { number, known } => spawn_sync(relay, number, known, tx),
        Frame::QuotaAsk {
            number,
            organisation,
            wanted,
            purpose,
        } => {
            let (relay, tx) = (relay.clone(), tx.clone());
            tokio::spawn(async move {
                let reply = relay
                    .answer_quota(&organisation, wanted, purpose, peer)
                    .await;
                if send(&tx, Frame::QuotaReply { number, reply })
                    .await
                    .is_err()
                {
                    log::debug!("tokens dropped, the connection of the asking node is closed");
                }
            });
        }
        _ => (),
    }
    Ok(())
}

fn start_run(
    relay: &Arc<Relay>,
    mut req: Box<RunRequest>,
    tx: &mpsc::Sender<ToPeer>,
    running: &RunningRequests,
) {
    let number = req.number;
    let arrived = relay.now();
    let (body, streamed) = match req.streamed {
        Some(StreamedBody { len, .. }) => {
            let window = relay.memory().reserve();
            let (sender, body) = IncomingBody::new(number, len, tx.clone(), window);
            (Some(sender), Some(body))
        }
        None => (None, None),
    };
    let mut reservation = relay.memory().reserve();
    let has_memory = reservation.extend_to(req.body.len());
    req.body = std::mem::take(&mut req.body).with_reservation(reservation);
    let task = {
        let relay = relay.clone();
        let tx = tx.clone();
        let running = running.clone();
        async move {
            let route: Arc<str> = Arc::from(req.route.as_str());
            let outcome = match has_memory {
                true => run::run_locally(&relay, *req, streamed, arrived).await,
                false => RunOutcome::NotRun {
                    kind: NotRunKind::Overloaded,
                    refused_by_target: false,
                },
            };
            lock(&running).remove(&number);
            let load = relay.load_report(&route);
            if tx.send(reply(number, outcome, load)).await.is_err() {
                log::debug!("reply dropped, the connection of the requesting node is closed");
            }
        }
    };
    let mut running = lock(running);
    let task = tokio::spawn(task).abort_handle();
    running.insert(number, RunningRequest { task, body });
}

/// Returns the reply to a request. A long body follows in pieces.
fn reply(number: u32, mut outcome: RunOutcome, load: LoadReport) -> ToPeer {
    let long_body = match &mut outcome {
        RunOutcome::Completed { body, .. } if body.len() > MAX_INLINE_BODY => {
            Some(std::mem::take(body))
        }
        _ => None,
    };
    let reply = Frame::Reply {
        number,
        outcome,
        load,
        streamed_len: long_body.as_ref().map(|body| body.len() as u64),
    };
    match long_body {
        Some(body) => ToPeer::Streamed(reply, number, body),
        None => ToPeer::Frame(reply),
    }
}

/// Reads the store for another node. Replies with nothing if [`MAX_STORE_READS`] are in progress.
fn spawn_store_read(relay: &Arc<Relay>, number: u32, query: Query, tx: &mpsc::Sender<ToPeer>) {
    let relay = relay.clone();
    let tx = tx.clone();
    tokio::spawn(async move {
        let result = match relay.store_reads.try_acquire() {
            Ok(_permit) => relay.read_store_for_peer(query).await,
            Err(_) => None,
        };
        if send(&tx, Frame::ReadReply { number, result })
            .await
            .is_err()
        {
            log::debug!("query result dropped, the connection of the requesting node is closed");
        }
    });
}

/// Replies to a follower once there is something that it does not know.
fn spawn_sync(relay: &Arc<Relay>, number: u32, known: KnownState, tx: &mpsc::Sender<ToPeer>) {
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

async fn send(tx: &mpsc::Sender<ToPeer>, frame: Frame) -> io::Result<()> {
    let sent = tx.send(ToPeer::Frame(frame)).await;
    sent.map_err(|_| io::ErrorKind::BrokenPipe.into())
}

fn lock(running: &RunningRequests) -> std::sync::MutexGuard<'_, HashMap<u32, RunningRequest>> {
    running.lock().unwrap_or_else(|p| p.into_inner())
}
