//! View of the fleet: configuration and instances that this node needs.
