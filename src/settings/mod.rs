//! Node settings, read from an INI file and validated at startup.

pub mod error;
mod reader;
pub mod table;

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use log::LevelFilter;

use crate::instance::DomainName;
use crate::instance::InstanceName;
use crate::instance::RegionName;
use crate::instance::ServiceName;

pub use error::SettingsErrorKind;
pub use error::SettingsErrors;
use reader::SettingsReader;

/// Name and location of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Instance name, unique in the fleet.
    pub name: InstanceName,
    /// Service that the instance belongs to.
    pub service: ServiceName,
    /// Failure domain that the instance runs in.
    pub domain: DomainName,
    /// Region that contains the failure domain.
    pub region: RegionName,
}

/// Addresses that a node listens on. Port 0 selects any free port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ports {
    /// Receives calls for the target from callers and other nodes.
    pub ingress: SocketAddr,
    /// Receives the target's outgoing sub-calls.
    pub egress: SocketAddr,
    /// Receives control messages from other nodes.
    pub peer: SocketAddr,
    /// Serves metrics and status.
    pub operator: SocketAddr,
}

/// Signing keys shared by all nodes of a fleet. `Debug` output omits the keys.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetKeys {
    /// Key used to sign and to verify.
    pub current: String,
    /// Key that is also accepted for verification, during key rotation.
    pub previous: Option<String>,
}

impl fmt::Debug for FleetKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FleetKeys")
            .field("rotating", &self.previous.is_some())
            .finish_non_exhaustive()
    }
}

/// Limits on message sizes, buffers and idempotency tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: u64,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum size of a request body that is buffered for retries, in bytes.
    pub request_buffer_bytes: u64,
    /// Maximum size of a response that is buffered completely before it is forwarded, in bytes.
    pub response_buffer_bytes: u64,
    /// Time within which an idempotency token may be used.
    pub token_validity: Duration,
    /// Memory limit for responses that are stored for replay, in bytes.
    pub token_memory: u64,
}

/// Validated settings of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name and location of the instance.
    pub instance: Identity,
    /// Addresses that the node listens on.
    pub ports: Ports,
    /// Address of the target.
    pub target: SocketAddr,
    /// Base URL of the platform's configuration service and instance list.
    pub platform: String,
    /// Signing keys of the fleet.
    pub keys: FleetKeys,
    /// Peer addresses that are contacted at startup, before the instance list is known.
    pub peers: Vec<SocketAddr>,
    /// Expected number of instances in the fleet.
    pub fleet_size: usize,
    /// Limits on message sizes, buffers and idempotency tokens.
    pub limits: Limits,
    /// Number of worker threads that serve calls.
    pub workers: usize,
    /// Least severe level that is logged.
    pub log_level: LevelFilter,
    /// Maximum time that a graceful shutdown waits for requests in progress.
    pub drain_grace: Duration,
}

impl Settings {
    /// Reads and validates a settings file. Returns all errors found.
    pub fn load(path: &Path) -> Result<Settings, SettingsErrors> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Settings::parse(&text, &file),
            Err(e) => Err(SettingsErrors {
                file,
                errors: vec![SettingsErrorKind::Unreadable {
                    reason: e.to_string(),
                }],
            }),
        }
    }

    /// Parses the text of a settings file.
    ///
    /// `file_name` appears in error messages; key files are relative to its directory.
    pub fn parse(text: &str, file_name: &str) -> Result<Settings, SettingsErrors> {
        let directory = Path::new(file_name).parent().unwrap_or(Path::new(""));
        let mut reader = SettingsReader::new(text, directory);
        let settings = reader
            .is_valid_ini()
            .then(|| read_settings(&mut reader))
            .flatten();
        match settings {
            Some(settings) if reader.errors.is_empty() => Ok(settings),
            _ => Err(SettingsErrors {
                file: file_name.to_owned(),
                errors: reader.errors,
            }),
        }
    }

    /// Builds settings from the required values and the defaults of all others.
    pub fn with_defaults(instance: Identity, platform: &str, keys: FleetKeys) -> Settings {
        let mut reader = SettingsReader::new("", Path::new(""));
        Settings {
            instance,
            ports: read_ports(&mut reader).expect(VALID_DEFAULTS),
            target: reader.address(&table::TARGET).expect(VALID_DEFAULTS),
            platform: platform.to_owned(),
            keys,
            peers: reader.addresses(&table::PEERS).expect(VALID_DEFAULTS),
            fleet_size: reader.count(&table::FLEET_SIZE).expect(VALID_DEFAULTS),
            limits: read_limits(&mut reader).expect(VALID_DEFAULTS),
            workers: reader.count(&table::WORKERS).expect(VALID_DEFAULTS),
            log_level: reader.log_level(&table::LOG_LEVEL).expect(VALID_DEFAULTS),
            drain_grace: reader.duration(&table::DRAIN_GRACE).expect(VALID_DEFAULTS),
        }
    }
}

const VALID_DEFAULTS: &str = "defaults in the settings table are valid";

/// Reads every setting before returning, so that all errors are reported.
fn read_settings(reader: &mut SettingsReader<'_>) -> Option<Settings> {
    let instance = read_identity(reader);
    let ports = read_ports(reader);
    let target = reader.address(&table::TARGET);
    let platform = reader.url(&table::PLATFORM);
    let keys = read_keys(reader);
    let peers = reader.addresses(&table::PEERS);
    let fleet_size = reader.count(&table::FLEET_SIZE);
    let limits = read_limits(reader);
    let workers = reader.count(&table::WORKERS);
    let log_level = reader.log_level(&table::LOG_LEVEL);
    let drain_grace = reader.duration(&table::DRAIN_GRACE);
    Some(Settings {
        instance: instance?,
        ports: ports?,
        target: target?,
        platform: platform?,
        keys: keys?,
        peers: peers?,
        fleet_size: fleet_size?,
        limits: limits?,
        workers: workers?,
        log_level: log_level?,
        drain_grace: drain_grace?,
    })
}

fn read_identity(reader: &mut SettingsReader<'_>) -> Option<Identity> {
    let name = reader.name(&table::INSTANCE_NAME);
    let service = reader.name(&table::INSTANCE_SERVICE);
    let domain = reader.name(&table::INSTANCE_DOMAIN);
    let region = reader.name(&table::INSTANCE_REGION);
    Some(Identity {
        name: InstanceName::new(&name?),
        service: ServiceName::new(&service?),
        domain: DomainName::new(&domain?),
        region: RegionName::new(&region?),
    })
}

fn read_ports(reader: &mut SettingsReader<'_>) -> Option<Ports> {
    let ingress = reader.address(&table::INGRESS);
    let egress = reader.address(&table::EGRESS);
    let peer = reader.address(&table::PEER);
    let operator = reader.address(&table::OPERATOR);
    Some(Ports {
        ingress: ingress?,
        egress: egress?,
        peer: peer?,
        operator: operator?,
    })
}

/// Reads the fleet keys. The current key is required, either inline or as a file.
fn read_keys(reader: &mut SettingsReader<'_>) -> Option<FleetKeys> {
    let previous_errors = reader.errors.len();
    let current = reader.secret(&table::FLEET_KEY, &table::FLEET_KEY_FILE);
    if current.is_none() && reader.errors.len() == previous_errors {
        reader.report_missing(&table::FLEET_KEY);
    }
    let previous = reader.secret(&table::PREVIOUS_KEY, &table::PREVIOUS_KEY_FILE);
    Some(FleetKeys {
        current: current?,
        previous,
    })
}

fn read_limits(reader: &mut SettingsReader<'_>) -> Option<Limits> {
    let max_header_bytes = reader.bytes(&table::MAX_HEADER_BYTES);
    let max_body_bytes = reader.bytes(&table::MAX_BODY_BYTES);
    let request_buffer_bytes = reader.bytes(&table::REQUEST_BUFFER);
    let response_buffer_bytes = reader.bytes(&table::RESPONSE_BUFFER);
    let token_validity = reader.duration(&table::TOKEN_VALIDITY);
    let token_memory = reader.bytes(&table::TOKEN_MEMORY);
    Some(Limits {
        max_header_bytes: max_header_bytes?,
        max_body_bytes: max_body_bytes?,
        request_buffer_bytes: request_buffer_bytes?,
        response_buffer_bytes: response_buffer_bytes?,
        token_validity: token_validity?,
        token_memory: token_memory?,
    })
}
