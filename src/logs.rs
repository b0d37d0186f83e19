//! Logs as JSON lines.
