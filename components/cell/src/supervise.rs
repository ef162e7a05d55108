//! Supervision of controllers: a panic ends neither the process nor the controller.

use std::panic::AssertUnwindSafe;
use std::time::Duration;

use errors::{Error, ErrorKind, Result};
use futures::FutureExt;

/// Delay before a controller is started again after a panic, which limits the load that a persistent cause puts on the
/// processor.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Runs a controller in a background task, and starts it again if it panics.
pub(crate) fn spawn<F, Fut>(name: &'static str, mut start: F)
where
    F: FnMut() -> Fut + Send + 'static,
    Fut: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        while catch_panic(name, start()).await.is_err() {
            tokio::time::sleep(RESTART_DELAY).await;
        }
    });
}

/// Runs a future and returns an error if it panics.
pub(crate) async fn catch_panic<T>(name: &str, future: impl Future<Output = T>) -> Result<T> {
    // The state that the future owns is dropped with it, and the sections of the board are replaced as a whole.
    AssertUnwindSafe(future)
        .catch_unwind()
        .await
        .map_err(|payload| {
            let text = payload
                .downcast_ref::<&str>()
                .map(|text| (*text).to_owned())
                .or_else(|| payload.downcast_ref::<String>().cloned())
                .unwrap_or_default();
            log::error!(target: "limpethook", controller = name, error = text; "controller_failed");
            Error::may_have_run(ErrorKind::Internal, format!("{name} failed: {text}")).report()
        })
}
