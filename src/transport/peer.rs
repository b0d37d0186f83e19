//! The peer port: signed requests and replies between nodes over JSON-RPC.

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

/// The only JSON-RPC method of the port.
const METHOD: &str = "peer";

/// JSON-RPC error code of an error object whose data is an [`EnvelopeError`].
const ENVELOPE_ERROR_CODE: i32 = -32_010;

/// Maximum size of a request, in bytes.
const MAX_REQUEST_BYTES: u32 = 2 * 1024 * 1024;

/// Maximum size of a reply, in bytes; the largest one is the instance list of a whole fleet.
const MAX_REPLY_BYTES: u32 = 16 * 1024 * 1024;

/// Maximum number of connections that the port accepts at the same time.
const MAX_CONNECTIONS: u32 = 1_024;

/// Maximum number of peers to which connections are kept open.
const MAX_CLIENTS: usize = 64;

/// Time after which an unanswered request fails.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers a configuration or membership request of a peer.
pub type ControlHandler = Box<dyn Fn(&PeerId, control::Request) -> control::Reply + Send + Sync>;

/// Processes a peer's report of a crashed target.
pub type CrashHandler = Box<dyn Fn(&PeerId, CrashReport) + Send + Sync>;

/// Cancels the attempt of a peer that has the given number.
pub type CancelHandler = Box<dyn Fn(&PeerId, u64) + Send + Sync>;

/// Mints up to the given number of idempotency tokens for a peer, in text form.
pub type MintHandler = Box<dyn Fn(&PeerId, u16) -> Vec<String> + Send + Sync>;

/// Handlers of the port, one for each kind of request.
pub struct PeerHandlers {
    /// Handles configuration and membership requests.
    pub control: ControlHandler,
    /// Handles crash reports.
    pub crash: CrashHandler,
    /// Handles cancellations of attempts.
    pub cancel: CancelHandler,
    /// Handles requests for idempotency tokens.
    pub mint: MintHandler,
}

impl fmt::Debug for PeerHandlers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerHandlers").finish_non_exhaustive()
    }
}

impl PeerHandlers {
    /// Passes a request to its handler and returns the reply.
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

/// A running peer port. Dropping it stops the server.
#[derive(Debug)]
pub struct PeerServer {
    address: SocketAddr,
    handle: ServerHandle,
    traffic: Arc<TrafficCounter>,
}

/// State shared by the requests of the port.
struct PeerPort {
    me: PeerId,
    keys: Keyring,
    handlers: PeerHandlers,
    traffic: Arc<TrafficCounter>,
}

impl PeerServer {
    /// Starts to serve the port on `listener`. Called inside a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener cannot be used.
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

    /// Returns the bytes of the requests to this node, as received, and of its replies, as sent.
    pub fn traffic(&self) -> &TrafficCounter {
        &self.traffic
    }

    /// Returns the address that the port listens on.
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
    /// Verifies a request and returns the signature and text of the reply.
    fn handle(
        &self,
        text: &str,
        signature: &str,
    ) -> Result<(String, Box<JsonRawValue>), EnvelopeError> {
        self.traffic.add_received(text.len() + signature.len());
        let request = Envelope::verify(text, signature, &self.keys, &self.me.name)?;
        let reply = self.handlers.handle(&request.from, request.body);
        let to = Some(request.from.name);
        let reply = Envelope::new(self.me.clone(), to, request.sequence, reply);
        let (signature, text) = raw_json(&reply.sign(&self.keys));
        self.traffic.add_sent(text.get().len() + signature.len());
        Ok((signature, text))
    }
}

/// Converts the text and signature of a message to the parameters of a call: signature, then text.
fn raw_json((text, signature): &(String, String)) -> (String, Box<JsonRawValue>) {
    let raw = JsonRawValue::from_string(text.clone()).expect("a message is valid JSON");
    (signature.clone(), raw)
}

/// Converts the error of a request to a JSON-RPC error object.
fn error_object(error: EnvelopeError) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(ENVELOPE_ERROR_CODE, error.to_string(), Some(error))
}

/// Why a request to a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The peer rejected the request, or this node rejected the reply.
    #[error(transparent)]
    Rejected(#[from] EnvelopeError),
    /// The address filter of this node excludes the peer.
    #[error("peer is unreachable")]
    Unreachable,
    /// The connection or the JSON-RPC call failed or timed out.
    #[error("call to peer failed: {0}")]
    Call(ClientError),
    /// The kind of the reply does not match the request.
    #[error("kind of the peer's reply does not match the request")]
    UnexpectedReply,
}

impl From<ClientError> for PeerError {
    fn from(e: ClientError) -> PeerError {
        let rejection = match &e {
            ClientError::Call(object) if object.code() == ENVELOPE_ERROR_CODE => object
                .data()
                .and_then(|data| serde_json::from_str(data.get()).ok()),
            _ => None,
        };
        rejection.map_or(PeerError::Call(e), PeerError::Rejected)
    }
}

/// Sends requests to the peer ports of other nodes.
pub struct PeerClient {
    me: PeerId,
    keys: Keyring,
    sequence: AtomicU64,
    clients: Mutex<Clients>,
    traffic: TrafficCounter,
}

/// HTTP clients by address, each with the use count at its last use, to evict the least recently
/// used one.
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
    /// Builds a client that sends requests as `me` and signs them with `keys`.
    pub fn new(me: PeerId, keys: Keyring) -> PeerClient {
        PeerClient {
            me,
            keys,
            sequence: AtomicU64::new(1),
            clients: Mutex::default(),
            traffic: TrafficCounter::default(),
        }
    }

    /// Returns the bytes of the requests that this node sent, and of the replies that it received.
    pub fn traffic(&self) -> &TrafficCounter {
        &self.traffic
    }

    /// Sends a request and returns the sender and the body of the verified reply.
    ///
    /// Without a receiver name in `to`, any instance at `address` may reply.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or times out, the peer rejects the request, or the reply
    /// has a wrong signature, sequence number or sender.
    pub async fn send_request(
        &self,
        to: Option<&InstanceName>,
        address: SocketAddr,
        request: PeerRequest,
    ) -> Result<(PeerId, PeerReply), PeerError> {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let request = Envelope::new(self.me.clone(), to.cloned(), sequence, request);
        let (signature, text) = raw_json(&request.sign(&self.keys));
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

    /// Returns the client for an address. A new one replaces the least recently used one if
    /// [`MAX_CLIENTS`] are open.
    fn client(&self, address: SocketAddr) -> Result<Arc<HttpClient>, ClientError> {
        let mut clients = self.clients.lock().unwrap_or_else(|p| p.into_inner());
        clients.uses += 1;
        let uses = clients.uses;
        if let Some((used, client)) = clients.open.get_mut(&address) {
            *used = uses;
            return Ok(client.clone());
        }
        if clients.open.len() >= MAX_CLIENTS {
            let least_recent = clients.open.iter().min_by_key(|(_, (used, _))| *used);
            let least_recent = least_recent.map(|(address, _)| *address);
            least_recent.map(|address| clients.open.remove(&address));
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
