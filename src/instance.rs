//! Instances, their services, failure domains and regions.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

/// Defines an immutable string type for one kind of name.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Builds the name from text.
            pub fn new(text: &str) -> $name {
                $name(Arc::from(text))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> $name {
                $name::new(text)
            }
        }
    };
}

name_type! {
    /// Name of a service, such as `payments`.
    ServiceName
}
name_type! {
    /// Name of an organisation, whose callers share keys, a priority and a quota.
    OrganisationName
}
name_type! {
    /// Name of an instance, unique in the fleet, such as `payments-3`.
    InstanceName
}
name_type! {
    /// Name of a failure domain.
    DomainName
}
name_type! {
    /// Name of a region.
    RegionName
}

/// Distinguishes the successive processes of an instance that keeps its name or address across
/// restarts. A later process has a higher incarnation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// State of an instance as published by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum InstanceState {
    /// Accepts new calls.
    Live,
    /// Accepts no new calls and finishes those that are running.
    #[serde(rename = "leaving")] // serialized name
    #[strum(serialize = "leaving")] // printed name
    Draining,
}

/// An instance, as published by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name, unique in the fleet.
    pub name: InstanceName,
    /// Service that the instance belongs to.
    pub service: ServiceName,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// Region of that failure domain.
    pub region: RegionName,
    /// Address of its node's ingress port.
    pub ingress: SocketAddr,
    /// Address of its node's peer port.
    pub peer: SocketAddr,
    /// State published by the platform.
    pub state: InstanceState,
}
