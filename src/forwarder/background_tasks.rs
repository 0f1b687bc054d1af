//! The tasks that run beside the runtime.

use tokio::task::{AbortHandle, JoinSet};

/// Owns tasks and aborts them when it is dropped, at the end of the process.
#[derive(Default)]
pub(crate) struct BackgroundTasks(JoinSet<()>);

impl BackgroundTasks {
    /// Starts a task and returns a handle that can abort it earlier.
    pub(crate) fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) -> AbortHandle {
        self.0.spawn(task)
    }
}
