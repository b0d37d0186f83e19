//! Metrics of a node.
