//! The port between nodes, by jsonrpsee: signed messages, asked and answered.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use jsonrpsee::RpcModule;
use jsonrpsee::core::ClientError;
use jsonrpsee::core::JsonRawValue;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::http_client::HttpClient;
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::rpc_params;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use jsonrpsee::types::ErrorObjectOwned;

use crate::coordination::control;
use crate::coordination::control::PeerId;
use crate::coordination::poison::CrashReport;
use crate::instance::InstanceName;
use crate::protocol::hop::Keyring;
use crate::protocol::peer::Envelope;
use crate::protocol::peer::EnvelopeError;
use crate::protocol::peer::MAX_TOKENS_PER_REQUEST;
use crate::protocol::peer::PeerReply;
use crate::protocol::peer::PeerRequest;
use crate::transport::traffic::TrafficCounter;

/// The only method of the port.
const METHOD: &str = "peer";

/// Code of the error object that carries an [`EnvelopeError`].
const ENVELOPE_ERROR: i32 = -32_010;

/// Largest message that is taken, in bytes.
const MAX_REQUEST_BYTES: u32 = 2 * 1024 * 1024;

/// Largest answer that is taken, in bytes: the instance list of a whole fleet.
const MAX_REPLY_BYTES: u32 = 16 * 1024 * 1024;

/// Connections that the port accepts at once.
const MAX_CONNECTIONS: u32 = 1_024;

/// Peers to which connections are kept open.
const MAX_CLIENTS: usize = 64;

/// Time after which an unanswered message has failed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Takes configuration and membership messages.
pub type ControlHandler = Box<dyn Fn(&PeerId, control::Request) -> control::Reply + Send + Sync>;

/// Takes reports of crashed targets.
pub type CrashHandler = Box<dyn Fn(&PeerId, CrashReport) + Send + Sync>;

/// Takes cancellations of attempts, by number.
pub type CancelHandler = Box<dyn Fn(&PeerId, u64) + Send + Sync>;

/// Issues idempotency tokens.
pub type MintHandler = Box<dyn Fn(&PeerId, u16) -> Vec<String> + Send + Sync>;

/// What the port does with each kind of message.
pub struct PeerHandlers {
    /// Configuration and membership.
    pub control: ControlHandler,
    /// Crash reports.
    pub crash: CrashHandler,
    /// Cancellations.
    pub cancel: CancelHandler,
    /// Idempotency tokens.
    pub mint: MintHandler,
}

impl fmt::Debug for PeerHandlers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerHandlers").finish_non_exhaustive()
    }
}

impl PeerHandlers {
    fn handle(&self, from: &PeerId, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Control(request) => PeerReply::Control((self.control)(from, request)),
            PeerRequest::Crash(report) => {
                (self.crash)(from, report);
                PeerReply::Done
            }
            PeerRequest::Cancel(number) => {
                (self.cancel)(from, number);
                PeerReply::Done
            }
            PeerRequest::Ping => PeerReply::Done,
            PeerRequest::Mint(count) => {
                PeerReply::Tokens((self.mint)(from, count.min(MAX_TOKENS_PER_REQUEST)))
            }
        }
    }
}

/// A running port. It stops when it is dropped.
#[derive(Debug)]
pub struct PeerServer {
    address: SocketAddr,
    handle: ServerHandle,
    traffic: Arc<TrafficCounter>,
}

struct PeerPort {
    me: PeerId,
    keys: Keyring,
    handlers: PeerHandlers,
    traffic: Arc<TrafficCounter>,
}

impl PeerServer {
    /// Serves the port on `listener`.
    pub fn start(
        listener: TcpListener,
        me: PeerId,
        keys: Keyring,
        handlers: PeerHandlers,
    ) -> io::Result<PeerServer> {
        let cfg = ServerConfig::builder()
            .http_only()
            .max_request_body_size(MAX_REQUEST_BYTES)
            .max_response_body_size(MAX_REPLY_BYTES)
            .max_connections(MAX_CONNECTIONS)
            .set_tcp_no_delay(true)
            .build();
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let server = Server::builder().set_config(cfg).build_from_tcp(listener)?;
        let traffic = Arc::new(TrafficCounter::default());
        let mut module = RpcModule::new(PeerPort {
            me,
            keys,
            handlers,
            traffic: traffic.clone(),
        });
        module
            .register_method(METHOD, |params, port, _| {
                let signed = params.parse::<(String, &JsonRawValue)>();
                let (signature, text) =
                    signed.map_err(|_| error_object(EnvelopeError::Malformed))?;
                port.handle(text.get(), &signature).map_err(error_object)
            })
            .expect("the method is registered once");
        Ok(PeerServer {
            address,
            handle: server.start(module),
            traffic,
        })
    }

    /// Returns the counts of the messages that were asked of this node, and of its answers.
    pub fn traffic(&self) -> &TrafficCounter {
        &self.traffic
    }

    /// Returns the address that the port is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        let _ = self.handle.stop();
    }
}

impl PeerPort {
    fn handle(
        &self,
        text: &str,
        signature: &str,
    ) -> Result<(String, Box<JsonRawValue>), EnvelopeError> {
        self.traffic.add_received(text.len() + signature.len());
        let asked = Envelope::verify(text, signature, &self.keys, &self.me.name)?;
        let reply = self.handlers.handle(&asked.from, asked.body);
        let to = Some(asked.from.name);
        let reply = Envelope::new(self.me.clone(), to, asked.sequence, reply);
        let (signature, text) = raw_json(&reply.sign(&self.keys));
        self.traffic.add_sent(text.get().len() + signature.len());
        Ok((signature, text))
    }
}

fn raw_json((text, signature): &(String, String)) -> (String, Box<JsonRawValue>) {
    let raw = JsonRawValue::from_string(text.clone()).expect("a message is valid JSON");
    (signature.clone(), raw)
}

fn error_object(refusal: EnvelopeError) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(ENVELOPE_ERROR, refusal.to_string(), Some(refusal))
}

/// Why a message was not answered.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The peer refused it, or its answer was refused.
    #[error(transparent)]
    Rejected(#[from] EnvelopeError),
    /// The peer cannot be reached from here.
    #[error("peer cannot be reached")]
    Unreachable,
    /// The peer did not answer.
    #[error("peer did not answer: {0}")]
    Call(ClientError),
    /// The answer is of another kind than the question.
    #[error("peer answered another kind of message")]
    UnexpectedReply,
}

impl From<ClientError> for PeerError {
    fn from(e: ClientError) -> PeerError {
        let refusal = match &e {
            ClientError::Call(object) if object.code() == ENVELOPE_ERROR => object
                .data()
                .and_then(|data| serde_json::from_str(data.get()).ok()),
            _ => None,
        };
        refusal.map_or(PeerError::Call(e), PeerError::Rejected)
    }
}

/// Sends messages to other nodes.
pub struct PeerClient {
    me: PeerId,
    keys: Keyring,
    sequence: AtomicU64,
    clients: Mutex<Clients>,
    traffic: TrafficCounter,
}

#[derive(Default)]
struct Clients {
    open: BTreeMap<SocketAddr, (u64, Arc<HttpClient>)>,
    uses: u64,
}

impl fmt::Debug for PeerClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerClient")
            .field("me", &self.me)
            .finish_non_exhaustive()
    }
}

impl PeerClient {
    /// Builds a client that speaks for `me`.
    pub fn new(me: PeerId, keys: Keyring) -> PeerClient {
        PeerClient {
            me,
            keys,
            sequence: AtomicU64::new(1),
            clients: Mutex::default(),
            traffic: TrafficCounter::default(),
        }
    }

    /// Returns the counts of the messages that this node asked, and of their answers.
    pub fn traffic(&self) -> &TrafficCounter {
        &self.traffic
    }

    /// Sends a message and returns who answered, and what.
    pub async fn send_request(
        &self,
        to: Option<&InstanceName>,
        address: SocketAddr,
        request: PeerRequest,
    ) -> Result<(PeerId, PeerReply), PeerError> {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let asked = Envelope::new(self.me.clone(), to.cloned(), sequence, request);
        let (signature, text) = raw_json(&asked.sign(&self.keys));
        let client = self.client(address)?;
        self.traffic.add_sent(text.get().len() + signature.len());
        let (signature, text): (String, Box<JsonRawValue>) =
            client.request(METHOD, rpc_params![signature, text]).await?;
        self.traffic
            .add_received(text.get().len() + signature.len());
        let reply: Envelope<PeerReply> =
            Envelope::verify(text.get(), &signature, &self.keys, &self.me.name)?;
        if reply.sequence != sequence {
            return Err(EnvelopeError::SequenceMismatch.into());
        }
        if let Some(to) = to.filter(|to| **to != reply.from.name) {
            return Err(EnvelopeError::OtherInstance(to.clone()).into());
        }
        Ok((reply.from, reply.body))
    }

    /// Returns the client of an address, closing the one that was used the longest ago.
    fn client(&self, address: SocketAddr) -> Result<Arc<HttpClient>, ClientError> {
        let mut clients = self.clients.lock().unwrap_or_else(|p| p.into_inner());
        clients.uses += 1;
        let uses = clients.uses;
        if let Some((used, client)) = clients.open.get_mut(&address) {
            *used = uses;
            return Ok(client.clone());
        }
        if clients.open.len() >= MAX_CLIENTS {
            let oldest = clients.open.iter().min_by_key(|(_, (used, _))| *used);
            let oldest = oldest.map(|(address, _)| *address);
            oldest.map(|address| clients.open.remove(&address));
        }
        let client = HttpClientBuilder::default()
            .request_timeout(REQUEST_TIMEOUT)
            .max_request_size(MAX_REQUEST_BYTES)
            .max_response_size(MAX_REPLY_BYTES)
            .build(format!("http://{address}"))?;
        let client = Arc::new(client);
        clients.open.insert(address, (uses, client.clone()));
        Ok(client)
    }
}
