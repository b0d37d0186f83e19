//! Writes a request to the local target.

use std::io;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::tcp::WriteHalf;

use crate::memory::Body;
use crate::relay::incoming_body::BrokenBody;
use crate::relay::incoming_body::IncomingBody;

/// Length up to which a body is copied behind its head, so that both are written at once.
const MAX_COPIED_BYTES: usize = 64 * 1024;

/// Longest wait for the memory of the next parts of a streamed body.
const MAX_PART_WAIT: Duration = Duration::from_millis(2_000);

/// Reason why a request was not written to its end.
#[derive(Debug, thiserror::Error)]
pub(super) enum WriteError {
    /// The connection to the target failed, or the target does not read on.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The rest of the body does not arrive.
    #[error(transparent)]
    Broken(#[from] BrokenBody),
}

/// Writes a request with `streamed` as its body, or else `body`. A short body is written together
/// with its head.
///
/// # Errors
///
/// If the connection fails, or the rest of a streamed body does not arrive.
pub(super) async fn write(
    wr: &mut WriteHalf<'_>,
    mut head: Vec<u8>,
    body: &Body,
    streamed: Option<IncomingBody>,
) -> Result<(), WriteError> {
    if let Some(mut streamed) = streamed {
        wr.write_all(&head).await?;
        while let Some(part) = streamed.next(MAX_PART_WAIT).await? {
            wr.write_all(&part).await?;
        }
        return Ok(());
    }
    if body.len() <= MAX_COPIED_BYTES {
        body.append_to(&mut head);
        return Ok(wr.write_all(&head).await?);
    }
    wr.write_all(&head).await?;
    for piece in body.pieces() {
        wr.write_all(piece).await?;
    }
    Ok(())
}
