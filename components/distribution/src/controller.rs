//! The controller that writes the configuration section of a board.

use std::sync::Arc;

use board::{ConfigSnapshot, Section};
use membership::revisions::Revisions;
use tokio::sync::{mpsc, oneshot};
use wire::Sections;

use crate::apply::{Applied, apply};
use crate::followers::Followers;

/// Capacity of the queue of updates.
const UPDATE_QUEUE_CAPACITY: usize = 64;

/// Sends updates to the controller.
#[derive(Debug, Clone)]
pub struct UpdateSender(mpsc::Sender<Update>);

/// An update for the controller.
#[derive(Debug)]
pub struct Update {
    sections: Sections,
    done_tx: oneshot::Sender<()>,
}

impl UpdateSender {
    /// Sends sections to the controller and waits until it has applied those that are newer.
    pub async fn deliver(&self, sections: Sections) {
        let (done_tx, done_rx) = oneshot::channel();
        let _ = self.0.send(Update { sections, done_tx }).await;
        let _ = done_rx.await;
    }

    /// Returns whether the controller has stopped.
    pub(crate) fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}

/// Creates the update queue of a controller.
pub fn update_channel() -> (UpdateSender, mpsc::Receiver<Update>) {
    let (tx, rx) = mpsc::channel(UPDATE_QUEUE_CAPACITY);
    (UpdateSender(tx), rx)
}

/// Applies updates until all senders are dropped.
pub async fn run_controller<C>(
    mut rx: mpsc::Receiver<Update>,
    cx: Arc<C>,
    active: fn(&C) -> &Section<ConfigSnapshot>,
) {
    while let Some(update) = rx.recv().await {
        let active = active(&cx);
        let applied = apply(&active.load(), &update.sections);
        log_errors(&applied);
        publish(active, applied.next);
        let _ = update.done_tx.send(());
    }
}

/// The parts of a process that forwards sections to its followers before it applies them.
#[derive(Debug)]
pub struct StagingParts<C> {
    /// The received configuration, which is sent to the followers; written by this controller.
    pub received: fn(&C) -> &Section<ConfigSnapshot>,
    /// The active configuration; written by this controller.
    pub active: fn(&C) -> &Section<ConfigSnapshot>,
    /// The followers that poll this process.
    pub followers: fn(&C) -> &Followers,
}

/// Publishes updates to the followers, applies them after the followers have received them, and returns when all
/// senders are dropped.
pub async fn run_staged_controller<C>(
    mut rx: mpsc::Receiver<Update>,
    cx: Arc<C>,
    parts: StagingParts<C>,
) {
    let mut revisions = Revisions::default();
    while let Some(update) = rx.recv().await {
        let received = (parts.received)(&cx);
        let applied = apply(&received.load(), &update.sections);
        log_errors(&applied);
        if let Some(next) = applied.next {
            let revision = next.revision;
            received.publish(next.clone());
            (parts.followers)(&cx)
                .stage(&applied.updated, revision, &mut revisions)
                .await;
            publish((parts.active)(&cx), Some(next));
        }
        let _ = update.done_tx.send(());
    }
}

fn publish(active: &Section<ConfigSnapshot>, next: Option<ConfigSnapshot>) {
    let Some(next) = next else { return };
    log::info!(target: "limpethook", revision = next.revision; "config_applied");
    active.publish(next);
}

fn log_errors(applied: &Applied) {
    for error in &applied.errors {
        log::error!(target: "limpethook", fault:% = error; "config_section_refused");
    }
}
