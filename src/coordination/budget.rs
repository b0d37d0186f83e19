//! Retry budget: leases of spare attempts and the allowance of each service.
