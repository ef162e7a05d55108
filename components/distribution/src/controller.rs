//! The controller that writes the configuration section of a board.

use std::sync::Arc;

use board::{ConfigSnapshot, Section};
use tokio::sync::mpsc;
use wire::Sections;

use crate::apply::apply;

/// Updates that wait for the controller.
const UPDATE_QUEUE: usize = 64;

/// Where updates go to.
pub type Updates = mpsc::Sender<Sections>;

/// Creates the queue of a controller.
pub fn updates() -> (Updates, mpsc::Receiver<Sections>) {
    mpsc::channel(UPDATE_QUEUE)
}

/// Applies updates until the last sender is gone.
pub async fn run_controller<C>(
    mut rx: mpsc::Receiver<Sections>,
    cx: Arc<C>,
    section: fn(&C) -> &Section<ConfigSnapshot>,
) {
    while let Some(update) = rx.recv().await {
        let section = section(&cx);
        match apply(&section.load(), &update) {
            Ok(Some(next)) => {
                log::info!(target: "limpethook", revision = next.revision; "config_applied");
                section.publish(next);
            }
            Ok(None) => {}
            Err(report) => {
                log::error!(target: "limpethook", error:% = report.current_context(); "config_refused");
            }
        }
    }
}
