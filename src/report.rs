//! Service-level burn from the metrics of live nodes.
