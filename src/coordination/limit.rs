//! Concurrency limit learned from latency.
