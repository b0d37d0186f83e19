//! Choice of the nodes that read the platform.
