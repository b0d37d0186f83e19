//! Who sends a request: the organisation that holds its key.

use std::sync::Arc;
use std::time::Duration;

use crate::coordination::organisations::ApiKeyHash;
use crate::coordination::organisations::Organisation;
use crate::coordination::route::Route;
use crate::coordination::route::RouteTable;
use crate::http1::RequestHead;
use crate::relay::Relay;

/// Name of the header that carries the key.
const AUTHORIZATION: &str = "authorization";

/// Age of the configuration up to which an unknown key is rejected for good. Later, it may have been
/// added in the meantime.
const MAX_REJECTING_AGE: Duration = Duration::from_millis(3_000);

/// Reason why a request is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum IdentityError {
    /// The key is missing or no organisation holds it.
    #[error("key is missing or unknown")]
    Unauthorized,
    /// The configuration may be too old to tell.
    #[error("configuration is not known to be recent")]
    Stale,
}

/// Who sent a request, according to one configuration.
pub(super) struct Sender {
    /// Organisation that holds the key, if the request has one.
    pub(super) organisation: Option<Arc<Organisation>>,
    /// Whether the configuration has organisations, so that keys are not passed on.
    pub(super) has_keys: bool,
}

/// Returns who sent a request. Without organisations, or on a route that needs no key, that may be
/// nobody.
///
/// # Errors
///
/// If the key is missing or unknown, or keys cannot be checked now.
pub(super) fn identify(
    relay: &Relay,
    table: &RouteTable,
    route: &Route,
    head: &RequestHead,
) -> Result<Sender, IdentityError> {
    let Some(directory) = &table.directory else {
        return Ok(Sender {
            organisation: None,
            has_keys: false,
        });
    };
    let sent_by = |organisation: Option<&Arc<Organisation>>| Sender {
        organisation: organisation.cloned(),
        has_keys: true,
    };
    let keys = head.headers.iter().filter(|(name, _)| is_key(name));
    let key = ApiKeyHash::of_headers(keys.map(|(_, value)| value.as_slice()));
    let holder = key.and_then(|key| directory.find(&key));
    if route.public {
        return Ok(sent_by(holder));
    }
    if !relay.may_accept_keys() {
        return Err(IdentityError::Stale);
    }
    match holder {
        Some(holder) => Ok(sent_by(Some(holder))),
        None if relay
            .config_age()
            .is_some_and(|age| age < MAX_REJECTING_AGE) =>
        {
            Err(IdentityError::Unauthorized)
        }
        None => Err(IdentityError::Stale),
    }
}

/// Returns whether a header carries a key, which is not passed on.
pub(super) fn is_key(name: &str) -> bool {
    name.eq_ignore_ascii_case(AUTHORIZATION)
}
