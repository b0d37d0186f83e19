//! Demonstration of a surge on loopback.
