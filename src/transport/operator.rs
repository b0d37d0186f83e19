//! Operator port: metrics and status.
