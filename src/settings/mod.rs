//! Settings of a node, read from an INI file and checked at start.

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

/// Who an instance is and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name, unique in the fleet.
    pub name: InstanceName,
    /// Service that the instance belongs to.
    pub service: ServiceName,
    /// Failure domain that the instance stands in.
    pub domain: DomainName,
    /// Region of the failure domain.
    pub region: RegionName,
}

/// Addresses that a node listens on. Port 0 takes any free port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ports {
    /// Calls for the target.
    pub ingress: SocketAddr,
    /// Sub-calls of the target.
    pub egress: SocketAddr,
    /// Control messages of other nodes.
    pub peer: SocketAddr,
    /// Metrics and status.
    pub operator: SocketAddr,
}

/// Secrets that the nodes of a fleet share.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetKeys {
    /// The key that signs.
    pub current: String,
    /// A key that is accepted besides, while keys are rotated.
    pub previous: Option<String>,
}

impl fmt::Debug for FleetKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FleetKeys")
            .field("rotating", &self.previous.is_some())
            .finish_non_exhaustive()
    }
}

/// Bounds on calls and on memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub max_header_bytes: u64,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Largest request body that is held to be sent again, in bytes.
    pub request_buffer_bytes: u64,
    /// Largest answer that is held whole before it goes on, in bytes.
    pub response_buffer_bytes: u64,
    /// Time within which an idempotency token may be spent.
    pub token_validity: Duration,
    /// Memory for answers that are kept for replay, in bytes.
    pub token_memory: u64,
}

/// Settings of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Who the instance is.
    pub instance: Identity,
    /// Where the node listens.
    pub ports: Ports,
    /// Address of the target.
    pub target: SocketAddr,
    /// Base URL of the platform.
    pub platform: String,
    /// Secrets of the fleet.
    pub keys: FleetKeys,
    /// Peer ports that are asked before the instance list is known.
    pub peers: Vec<SocketAddr>,
    /// Number of instances in the fleet.
    pub fleet_size: usize,
    /// Bounds on calls and on memory.
    pub limits: Limits,
    /// Threads that serve calls.
    pub workers: usize,
    /// Least severe level that is logged.
    pub log_level: LevelFilter,
    /// Time that a shutdown waits for requests in progress.
    pub drain_grace: Duration,
}

impl Settings {
    /// Reads a settings file.
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

    /// Reads the text of a settings file. Key files are looked for beside `file_name`.
    pub fn parse(text: &str, file_name: &str) -> Result<Settings, SettingsErrors> {
        let directory = Path::new(file_name).parent().unwrap_or(Path::new(""));
        let mut reader = SettingsReader::new(text, directory);
        let settings = reader.is_readable().then(|| read(&mut reader)).flatten();
        match settings {
            Some(settings) if reader.errors.is_empty() => Ok(settings),
            _ => Err(SettingsErrors {
                file: file_name.to_owned(),
                errors: reader.errors,
            }),
        }
    }

    /// Builds settings in which all but the required ones have their defaults.
    pub fn with_defaults(instance: Identity, platform: &str, keys: FleetKeys) -> Settings {
        let mut reader = SettingsReader::new("", Path::new(""));
        Settings {
            instance,
            ports: ports(&mut reader).expect(DEFAULTS),
            target: reader.address(&table::TARGET).expect(DEFAULTS),
            platform: platform.to_owned(),
            keys,
            peers: reader.addresses(&table::PEERS).expect(DEFAULTS),
            fleet_size: reader.count(&table::FLEET_SIZE).expect(DEFAULTS),
            limits: limits(&mut reader).expect(DEFAULTS),
            workers: reader.count(&table::WORKERS).expect(DEFAULTS),
            log_level: reader.level(&table::LOG_LEVEL).expect(DEFAULTS),
            drain_grace: reader.duration(&table::DRAIN_GRACE).expect(DEFAULTS),
        }
    }
}

const DEFAULTS: &str = "the defaults in the table are allowed values";

/// Reads every setting before it gives up, so that all errors are found.
fn read(reader: &mut SettingsReader<'_>) -> Option<Settings> {
    let instance = identity(reader);
    let ports = ports(reader);
    let target = reader.address(&table::TARGET);
    let platform = reader.url(&table::PLATFORM);
    let keys = keys(reader);
    let peers = reader.addresses(&table::PEERS);
    let fleet_size = reader.count(&table::FLEET_SIZE);
    let limits = limits(reader);
    let workers = reader.count(&table::WORKERS);
    let log_level = reader.level(&table::LOG_LEVEL);
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

fn identity(reader: &mut SettingsReader<'_>) -> Option<Identity> {
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

fn ports(reader: &mut SettingsReader<'_>) -> Option<Ports> {
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

fn keys(reader: &mut SettingsReader<'_>) -> Option<FleetKeys> {
    let before = reader.errors.len();
    let current = reader.secret(&table::FLEET_KEY, &table::FLEET_KEY_FILE);
    if current.is_none() && reader.errors.len() == before {
        reader.missing(&table::FLEET_KEY);
    }
    let previous = reader.secret(&table::PREVIOUS_KEY, &table::PREVIOUS_KEY_FILE);
    Some(FleetKeys {
        current: current?,
        previous,
    })
}

fn limits(reader: &mut SettingsReader<'_>) -> Option<Limits> {
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
