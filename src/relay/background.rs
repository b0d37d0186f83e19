//! Tasks that run as long as the node does.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::task::JoinHandle;

use crate::relay::Relay;

/// Pause before a task that ended is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Runs a task that should never end. If it panics or returns, this is logged and counted, and the
/// task is started again.
pub fn spawn<F, Fut>(relay: &Arc<Relay>, name: &'static str, task: F) -> JoinHandle<()>
where
    F: Fn(Arc<Relay>) -> Fut + Send + 'static,
    Fut: Future<Output = ()> + Send + 'static,
{
    let relay = relay.clone();
    tokio::spawn(async move {
        loop {
            let ended = AssertUnwindSafe(task(relay.clone())).catch_unwind().await;
            log::error!(task = name, panicked = ended.is_err(); "task ended and is started again");
            relay.metrics().record_task_restart(name);
            tokio::time::sleep(RESTART_PAUSE).await;
        }
    })
}
