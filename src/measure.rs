//! Side-by-side measurement of overload policies.
