//! Names of the headers that callers, nodes and targets exchange with a request.

/// Header names as they are written. Comparison ignores case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Request id, sent by the caller and echoed by the target.
    pub request_id: &'static str,
    /// Time in milliseconds that the sender still waits for the response.
    pub deadline_ms: &'static str,
    /// Name of the addressed instance; any other instance refuses the request.
    pub target_instance: &'static str,
    /// Service of the instance at which the request began.
    pub caller_service: &'static str,
    /// Name of the organisation that sent the request.
    pub organisation: &'static str,
    /// Signature that proves that a response was made by a target.
    pub signature: &'static str,
    /// Present in a response if the target did not run the request.
    pub not_run: &'static str,
    /// Name of the answering instance.
    pub instance: &'static str,
    /// Load of the answering instance.
    pub load: &'static str,
}

impl HeaderNames {
    /// Returns whether nodes set this request header themselves and discard what a caller sent.
    pub fn is_set_by_node(&self, name: &str) -> bool {
        let names = [
            self.request_id,
            self.deadline_ms,
            self.target_instance,
            self.caller_service,
            self.organisation,
        ];
        names.iter().any(|known| known.eq_ignore_ascii_case(name))
    }

    /// Returns whether this response header is for the node only and is not passed to the caller.
    pub fn is_for_node(&self, name: &str) -> bool {
        let names = [self.not_run, self.instance, self.load];
        names.iter().any(|known| known.eq_ignore_ascii_case(name))
    }

    /// Returns whether the node that received the request from the caller adds this response header
    /// itself, so that its name is not sent between nodes.
    pub fn is_added_by_caller_node(&self, name: &str) -> bool {
        let names = [self.request_id, self.signature];
        names.iter().any(|known| known.eq_ignore_ascii_case(name))
    }
}
