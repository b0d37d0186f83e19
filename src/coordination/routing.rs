//! Routing: the choice of an instance for an attempt.
