//! Membership: the published list and what peers observe.
