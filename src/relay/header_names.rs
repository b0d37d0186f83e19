//! Names of the headers by which callers, nodes and targets tell each other about a request.

/// Header names, as they are written. They are compared without regard to case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Request id. A caller sends it, a target echoes it.
    pub request_id: &'static str,
    /// Milliseconds for which the sender waits.
    pub deadline_ms: &'static str,
    /// Instance that is meant; any other refuses.
    pub target_instance: &'static str,
    /// Service of the instance where the request began.
    pub caller_service: &'static str,
    /// Proof that an answer is a target's own.
    pub signature: &'static str,
    /// Says that the target did not run the request.
    pub not_run: &'static str,
    /// Instance that answers.
    pub instance: &'static str,
    /// Load of the instance that answers.
    pub load: &'static str,
}

impl HeaderNames {
    /// Returns whether a node sets this header of a request itself, whatever a caller sent.
    pub fn is_set_by_node(&self, name: &str) -> bool {
        let own = [
            self.request_id,
            self.deadline_ms,
            self.target_instance,
            self.caller_service,
        ];
        own.iter().any(|own| own.eq_ignore_ascii_case(name))
    }

    /// Returns whether this header of an answer is meant for the node and not for the caller.
    pub fn is_for_node(&self, name: &str) -> bool {
        let own = [self.not_run, self.instance, self.load];
        own.iter().any(|own| own.eq_ignore_ascii_case(name))
    }

    /// Returns whether this header of an answer is put on it by the node that read the request,
    /// so that its name need not travel between nodes.
    pub fn is_named_by_caller_node(&self, name: &str) -> bool {
        let own = [self.request_id, self.signature];
        own.iter().any(|own| own.eq_ignore_ascii_case(name))
    }
}
