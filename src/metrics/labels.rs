//! Label values with bounded cardinality.

use std::borrow::Cow;
use std::collections::BTreeSet;
use std::sync::Mutex;

use crate::instance::ServiceName;

/// Maximum number of services with a label value of their own; bounds the number of time series.
pub const MAX_SERVICE_LABELS: usize = 64;

/// Label value shared by all further services.
pub const OTHER_SERVICES: &str = "other";

/// Assigns label values to services, first come, first served.
#[derive(Debug, Default)]
pub(super) struct ServiceLabels {
    seen: Mutex<BTreeSet<ServiceName>>,
}

impl ServiceLabels {
    /// Returns the label value of a service: its name, or [`OTHER_SERVICES`] once
    /// [`MAX_SERVICE_LABELS`] other services have been seen.
    pub(super) fn label<'a>(&self, service: &'a ServiceName) -> Cow<'a, str> {
        let mut seen = self.seen.lock().unwrap_or_else(|e| e.into_inner());
        if !seen.contains(service) {
            if seen.len() >= MAX_SERVICE_LABELS {
                return Cow::Borrowed(OTHER_SERVICES);
            }
            seen.insert(service.clone());
        }
        Cow::Borrowed(service.as_str())
    }
}
