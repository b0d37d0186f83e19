//! Table of running calls and their leases.
