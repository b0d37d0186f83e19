//! Configuration revisions: acceptance, deltas and repair.
