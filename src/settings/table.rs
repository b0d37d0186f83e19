//! The table of all settings: sections, keys, defaults and allowed values.

use std::time::Duration;

use crate::policy::value::format_duration;
use crate::policy::value::name_syntax;

/// Fewest characters of a fleet key.
pub const MIN_SECRET_CHARS: usize = 16;

/// Type of a value and its bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueType {
    /// A name of an instance, service, failure domain or region.
    Name,
    /// An IP address and port.
    Address,
    /// IP addresses and ports, separated by commas.
    Addresses,
    /// An `http://` URL.
    Url,
    /// A secret, never repeated in an error.
    Secret,
    /// A file name.
    File,
    /// A size in bytes, from the first to the second bound.
    Bytes(u64, u64),
    /// A duration in milliseconds, from the first to the second bound.
    Millis(u64, u64),
    /// A whole number, from the first to the second bound.
    Count(u64, u64),
    /// A log level.
    Level,
}

/// What holds if a key is not set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fallback {
    /// This value.
    Value(&'static str),
    /// Nothing: the key has to be set.
    Required,
    /// Nothing: the key is not needed.
    Optional,
}

/// One setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    /// Section that the key belongs to.
    pub section: &'static str,
    /// Name of the key.
    pub name: &'static str,
    /// What holds if the key is not set.
    pub fallback: Fallback,
    /// Type of the value.
    pub value_type: ValueType,
    /// What the setting does.
    pub description: &'static str,
}

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;
const GIB: u64 = 1 << 30;
const SECOND: u64 = 1000;
const HOUR: u64 = 3600 * SECOND;

const fn key(
    section: &'static str,
    name: &'static str,
    fallback: Fallback,
    value_type: ValueType,
    description: &'static str,
) -> Key {
    Key {
        section,
        name,
        fallback,
        value_type,
        description,
    }
}

macro_rules! table {
    ($($id:ident: [$section:literal] $name:literal, $fallback:expr, $value_type:expr, $description:literal;)*) => {
        $(
            #[doc = $description]
            pub const $id: Key = key($section, $name, $fallback, $value_type, $description);
        )*

        /// All settings in the order in which they are documented.
        pub const KEYS: &[Key] = &[$($id),*];
    };
}

use Fallback::Optional;
use Fallback::Required;
use Fallback::Value;
use ValueType::*;

table! {
    INSTANCE_NAME: ["instance"] "name", Required, Name,
        "Name of the instance, unique in the fleet.";
    INSTANCE_SERVICE: ["instance"] "service", Required, Name,
        "Service that the instance belongs to.";
    INSTANCE_DOMAIN: ["instance"] "domain", Required, Name,
        "Failure domain that the instance stands in.";
    INSTANCE_REGION: ["instance"] "region", Required, Name,
        "Region of the failure domain.";
    INGRESS: ["ports"] "ingress", Value("0.0.0.0:7100"), Address,
        "Where callers and other nodes send calls for the target.";
    EGRESS: ["ports"] "egress", Value("127.0.0.1:7101"), Address,
        "Where the target sends its own sub-calls.";
    PEER: ["ports"] "peer", Value("0.0.0.0:7102"), Address,
        "Where other nodes send control messages.";
    OPERATOR: ["ports"] "operator", Value("127.0.0.1:7103"), Address,
        "Where operators read /metrics and /status.";
    TARGET: ["target"] "address", Value("127.0.0.1:8080"), Address,
        "Address of the target.";
    PLATFORM: ["platform"] "url", Required, Url,
        "Base URL of the platform's configuration service and instance list.";
    FLEET_KEY: ["fleet"] "key", Optional, Secret,
        "Secret that all nodes share and sign with. Either this or key-file is required.";
    FLEET_KEY_FILE: ["fleet"] "key-file", Optional, File,
        "File that holds the key, relative to the settings file.";
    PREVIOUS_KEY: ["fleet"] "previous-key", Optional, Secret,
        "Secret that is accepted besides the key while keys are rotated.";
    PREVIOUS_KEY_FILE: ["fleet"] "previous-key-file", Optional, File,
        "File that holds the previous key, relative to the settings file.";
    PEERS: ["fleet"] "peers", Value(""), Addresses,
        "Peer ports that are asked at start, before the instance list is known.";
    FLEET_SIZE: ["fleet"] "size", Value("100"), Count(1, 100_000),
        "Number of instances in the fleet, over which first calls to the platform are spread.";
    MAX_HEADER_BYTES: ["limits"] "max-header-bytes", Value("16KiB"), Bytes(KIB, MIB),
        "Largest request head; a call with a larger one is not run.";
    MAX_BODY_BYTES: ["limits"] "max-body-bytes", Value("64MiB"), Bytes(KIB, 64 * GIB),
        "Largest request body; a call with a larger one is not run.";
    REQUEST_BUFFER: ["limits"] "request-buffer-bytes", Value("64KiB"), Bytes(0, 16 * MIB),
        "Largest request body that is held to be sent again; a call with a larger one is not retried.";
    RESPONSE_BUFFER: ["limits"] "answer-buffer-bytes", Value("256KiB"), Bytes(0, 16 * MIB),
        "Largest answer that is held whole before its first byte goes on; a larger one is streamed.";
    TOKEN_VALIDITY: ["limits"] "token-validity", Value("1m"), Millis(SECOND, HOUR),
        "Time within which an idempotency token may be spent; its answer is kept twice as long.";
    TOKEN_MEMORY: ["limits"] "token-memory", Value("8MiB"), Bytes(64 * KIB, GIB),
        "Memory for answers that are kept for replay; when it is full, an answer is not kept.";
    WORKERS: ["runtime"] "workers", Value("2"), Count(1, 64),
        "Threads that serve calls.";
    LOG_LEVEL: ["log"] "level", Value("info"), Level,
        "Least severe level that is logged.";
    DRAIN_GRACE: ["drain"] "grace", Value("30s"), Millis(0, HOUR),
        "Time that a shutdown waits for requests in progress.";
}

impl ValueType {
    /// Describes the allowed values.
    pub fn allowed(self) -> String {
        match self {
            Name => name_syntax(),
            Address => "an IP address and port such as 127.0.0.1:7100 or [::1]:7100".to_owned(),
            Addresses => "addresses such as 10.0.0.1:7102, separated by commas".to_owned(),
            Url => "a URL such as http://10.0.0.1:8500".to_owned(),
            Secret => format!("at least {MIN_SECRET_CHARS} characters"),
            File => "the name of a readable file".to_owned(),
            Bytes(min, max) => format!(
                "a whole number of B, KiB, MiB or GiB from {} to {}",
                format_bytes(min),
                format_bytes(max)
            ),
            Millis(min, max) => format!(
                "a whole number of ms, s or m from {} to {}",
                format_duration(Duration::from_millis(min)),
                format_duration(Duration::from_millis(max))
            ),
            Count(min, max) => format!("a whole number from {min} to {max}"),
            Level => "off, error, warn, info, debug, trace".to_owned(),
        }
    }
}

/// Units of a size, the largest first.
pub(super) const BYTE_UNITS: [(&str, u64); 4] =
    [("GiB", GIB), ("MiB", MIB), ("KiB", KIB), ("B", 1)];

/// Writes a size with the largest unit that divides it.
pub fn format_bytes(bytes: u64) -> String {
    let unit = BYTE_UNITS
        .iter()
        .find(|(_, size)| bytes > 0 && bytes.is_multiple_of(*size));
    let (name, size) = unit.unwrap_or(&("B", 1));
    format!("{}{name}", bytes / size)
}
