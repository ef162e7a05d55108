//! The limits controller: updates the admission limits when the configuration changes.

use std::sync::Arc;

use policy::limits::apply_limits;

use crate::context::Context;

/// Applies the limits of each new configuration until the process exits.
pub(crate) async fn run(cx: Arc<Context>) {
    let mut changes = cx.board.config.changes();
    loop {
        apply_limits(&cx.board, timer::now());
        if changes.changed().await.is_err() {
            return;
        }
    }
}
