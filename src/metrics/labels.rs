//! Bounded label values.

use std::borrow::Cow;
use std::collections::BTreeSet;
use std::sync::Mutex;

use crate::instance::ServiceName;

/// Services that have a label value of their own.
pub const MAX_SERVICE_LABELS: usize = 64;

/// Label value of all further services.
pub const OTHER: &str = "other";

/// Services that have a label value, the first that were seen.
#[derive(Debug, Default)]
pub(super) struct ServiceLabels {
    seen: Mutex<BTreeSet<ServiceName>>,
}

impl ServiceLabels {
    /// Returns the label value of a service.
    pub(super) fn label<'a>(&self, service: &'a ServiceName) -> Cow<'a, str> {
        let mut seen = self.seen.lock().unwrap_or_else(|e| e.into_inner());
        if !seen.contains(service) {
            if seen.len() >= MAX_SERVICE_LABELS {
                return Cow::Borrowed(OTHER);
            }
            seen.insert(service.clone());
        }
        Cow::Borrowed(service.as_str())
    }
}
