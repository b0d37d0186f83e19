//! Ingress decisions: what happens to a call that arrives at an instance.
