//! Duplicate lookups that share one run.
