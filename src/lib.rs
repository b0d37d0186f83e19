//! Overload control for service call graphs.
//!
//! A node process runs beside each target instance. It admits, routes, retries and sheds calls
//! according to a plain text policy. The decision logic in [`coordination`] does no I/O;
//! [`transport`] connects it to callers, targets, the platform and other nodes.

pub mod call;
pub mod caller;
pub mod cli;
pub mod clock;
pub mod coordination;
pub mod demo;
pub mod error;
pub mod fingerprint;
pub mod http1;
pub mod instance;
pub mod lifecycle;
pub mod load_generator;
pub mod logs;
pub mod measure;
pub mod memory;
pub mod metrics;
pub mod node;
pub mod operator_commands;
pub mod policy;
pub mod preview_command;
pub mod protocol;
pub mod relay;
pub mod report;
pub mod settings;
pub mod standin;
pub mod state;
pub mod status;
pub mod status_client;
pub mod story;
pub mod telemetry;
pub mod text_table;
pub mod timer;
pub mod transport;
pub mod version_spread;
pub mod waiters;

pub use call::CallContext;
pub use call::Priority;
pub use call::RequestId;
pub use clock::Clock;
pub use clock::Time;
pub use error::ErrorKind;
pub use error::NotRunKind;
pub use error::Outcome;
pub use error::UnknownKind;
pub use fingerprint::Fingerprint;
pub use policy::Policy;
