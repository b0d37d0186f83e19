//! Admission levels: which calls a service lets in, learned from its answers.
