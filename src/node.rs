//! A node: its tables, ports and tasks.
