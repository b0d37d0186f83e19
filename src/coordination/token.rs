//! Idempotency tokens: minting, spending and replay of kept answers.
