//! Forwarding of requests and answers, streamed or held.
