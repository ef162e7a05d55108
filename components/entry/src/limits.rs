//! The limits controller: brings the admission limits in line with the configuration.

use std::sync::Arc;

use policy::limits::apply_limits;

use crate::context::Context;

/// Applies each new configuration until the process ends.
pub(crate) async fn run(cx: Arc<Context>) {
    let mut changes = cx.board.config.changes();
    loop {
        apply_limits(&cx.board, timer::now());
        if changes.changed().await.is_err() {
            return;
        }
    }
}
