//! Table of all settings: sections, keys, defaults and allowed values.

use std::time::Duration;

use crate::policy::value::format_duration;
use crate::policy::value::name_syntax;

/// Minimum length of a fleet key, in characters.
pub const MIN_SECRET_CHARS: usize = 16;

/// Type and bounds of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueType {
    /// Name of an instance, service, failure domain or region.
    Name,
    /// IP address and port.
    Address,
    /// IP addresses and ports, separated by commas.
    Addresses,
    /// `http://` URL.
    Url,
    /// Secret; never quoted in an error.
    Secret,
    /// File name.
    File,
    /// Size in bytes, with inclusive lower and upper bounds.
    Bytes(u64, u64),
    /// Duration with inclusive lower and upper bounds, in milliseconds.
    Millis(u64, u64),
    /// Whole number with inclusive lower and upper bounds.
    Count(u64, u64),
    /// Log level.
    LogLevel,
}

/// What applies if a key is not set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fallback {
    /// This default value, in the syntax of the file.
    Value(&'static str),
    /// No default; the key must be set.
    Required,
    /// No default; the key may be omitted.
    Optional,
}

/// Definition of one setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    /// Section that the key belongs to.
    pub section: &'static str,
    /// Name of the key.
    pub name: &'static str,
    /// What applies if the key is not set.
    pub fallback: Fallback,
    /// Type and bounds of the value.
    pub value_type: ValueType,
    /// Description of the setting, for the documentation.
    pub description: &'static str,
}

// Units of the bounds below: bytes and milliseconds.
const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;
const GIB: u64 = 1 << 30;
const SECOND_MS: u64 = 1000;
const HOUR_MS: u64 = 3600 * SECOND_MS;

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

        /// All settings, in the order of the documentation page.
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
        "Failure domain that the instance runs in.";
    INSTANCE_REGION: ["instance"] "region", Required, Name,
        "Region that contains the failure domain.";
    INGRESS: ["ports"] "ingress", Value("0.0.0.0:7100"), Address,
        "Address on which callers and other nodes send calls for the target.";
    EGRESS: ["ports"] "egress", Value("127.0.0.1:7101"), Address,
        "Address to which the target sends its sub-calls.";
    PEER: ["ports"] "peer", Value("0.0.0.0:7102"), Address,
        "Address on which other nodes send control messages.";
    OPERATOR: ["ports"] "operator", Value("127.0.0.1:7103"), Address,
        "Address that serves /metrics and /status to operators.";
    TARGET: ["target"] "address", Value("127.0.0.1:8080"), Address,
        "Address of the target.";
    PLATFORM: ["platform"] "url", Required, Url,
        "Base URL of the platform's configuration service and instance list.";
    FLEET_KEY: ["fleet"] "key", Optional, Secret,
        "Secret shared by all nodes for signing. Either this or key-file is required.";
    FLEET_KEY_FILE: ["fleet"] "key-file", Optional, File,
        "File that contains the key, relative to the settings file.";
    PREVIOUS_KEY: ["fleet"] "previous-key", Optional, Secret,
        "Secret that is also accepted, during key rotation.";
    PREVIOUS_KEY_FILE: ["fleet"] "previous-key-file", Optional, File,
        "File that contains the previous key, relative to the settings file.";
    PEERS: ["fleet"] "peers", Value(""), Addresses,
        "Peer addresses that are contacted at startup, before the instance list is known.";
    FLEET_SIZE: ["fleet"] "size", Value("100"), Count(1, 100_000),
        "Expected number of instances in the fleet; determines over which time first calls to the platform are spread, and the node's share of link budgets.";
    MAX_HEADER_BYTES: ["limits"] "max-header-bytes", Value("16KiB"), Bytes(KIB, MIB),
        "Maximum size of a request head; a call with a larger one is not run.";
    MAX_BODY_BYTES: ["limits"] "max-body-bytes", Value("64MiB"), Bytes(KIB, 64 * GIB),
        "Maximum size of a request body; a call with a larger one is not run.";
    REQUEST_BUFFER: ["limits"] "request-buffer-bytes", Value("64KiB"), Bytes(0, 16 * MIB),
        "Maximum size of a request body that is buffered for retries; a call with a larger one is not retried.";
    RESPONSE_BUFFER: ["limits"] "answer-buffer-bytes", Value("256KiB"), Bytes(0, 16 * MIB),
        "Maximum size of a response that is buffered completely before its first byte is forwarded; a larger one is streamed.";
    TOKEN_VALIDITY: ["limits"] "token-validity", Value("1m"), Millis(SECOND_MS, HOUR_MS),
        "Time within which an idempotency token may be used; its response is stored for twice as long.";
    TOKEN_MEMORY: ["limits"] "token-memory", Value("8MiB"), Bytes(64 * KIB, GIB),
        "Memory limit for responses that are stored for replay; when it is reached, further responses are not stored.";
    WORKERS: ["runtime"] "workers", Value("2"), Count(1, 64),
        "Number of worker threads that serve calls.";
    LOG_LEVEL: ["log"] "level", Value("info"), LogLevel,
        "Least severe level that is logged.";
    DRAIN_GRACE: ["drain"] "grace", Value("30s"), Millis(0, HOUR_MS),
        "Maximum time that a graceful shutdown waits for requests in progress.";
}

impl ValueType {
    /// Describes the allowed values, for error messages and the documentation.
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
            LogLevel => "off, error, warn, info, debug, trace".to_owned(),
        }
    }
}

/// Size units and their bytes, largest first, as [`format_bytes`] tries them in order.
pub(super) const BYTE_UNITS: [(&str, u64); 4] =
    [("GiB", GIB), ("MiB", MIB), ("KiB", KIB), ("B", 1)];

/// Formats a size with the largest unit that divides it evenly.
pub fn format_bytes(bytes: u64) -> String {
    let unit = BYTE_UNITS
        .iter()
        .find(|(_, size)| bytes > 0 && bytes.is_multiple_of(*size));
    let (name, size) = unit.unwrap_or(&("B", 1));
    format!("{}{name}", bytes / size)
}
