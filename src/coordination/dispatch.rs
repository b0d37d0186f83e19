//! Egress decisions: attempts, retries and rerouting of a call.
