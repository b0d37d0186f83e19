//! The fleet at a glance.
