//! Settings of a node.
