//! Node-to-node messages by JSON-RPC.
