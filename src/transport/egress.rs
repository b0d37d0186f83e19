//! HTTP egress of a node: sub-calls of its own target.
