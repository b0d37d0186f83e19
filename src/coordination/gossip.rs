//! Dissemination of configuration changes between nodes.
