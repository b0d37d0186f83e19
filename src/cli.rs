//! Command line of the operator's tool.
