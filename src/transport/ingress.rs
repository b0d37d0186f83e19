//! HTTP ingress of a node: calls from callers and from other nodes.
