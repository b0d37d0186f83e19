//! Poison requests: suspicion, isolation and quarantine.
