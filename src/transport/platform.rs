//! Adapter to the platform's configuration service and instance list.
