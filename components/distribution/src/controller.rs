//! The controller that writes the configuration sections of a board.

use std::sync::Arc;

use board::{ConfigSnapshot, Section};
use membership::revisions::Revisions;
use tokio::sync::{mpsc, oneshot};
use wire::Sections;

use crate::apply::{Applied, apply};
use crate::followers::Followers;

/// Updates that wait for the controller.
const UPDATE_QUEUE: usize = 64;

/// Where updates go to.
#[derive(Debug, Clone)]
pub struct Updates(mpsc::Sender<Update>);

/// An update for the controller.
#[derive(Debug)]
pub struct Update {
    sections: Sections,
    done: oneshot::Sender<()>,
}

impl Updates {
    /// Hands sections to the controller and waits until the newer ones are in force.
    pub async fn deliver(&self, sections: Sections) {
        let (done, rx) = oneshot::channel();
        let _ = self.0.send(Update { sections, done }).await;
        let _ = rx.await;
    }

    /// Returns whether the controller ended.
    pub(crate) fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}

/// Creates the queue of a controller.
pub fn updates() -> (Updates, mpsc::Receiver<Update>) {
    let (tx, rx) = mpsc::channel(UPDATE_QUEUE);
    (Updates(tx), rx)
}

/// Applies updates until the last sender is gone.
pub async fn run_controller<C>(
    mut rx: mpsc::Receiver<Update>,
    cx: Arc<C>,
    in_force: fn(&C) -> &Section<ConfigSnapshot>,
) {
    while let Some(update) = rx.recv().await {
        let in_force = in_force(&cx);
        let applied = apply(&in_force.load(), &update.sections);
        log_faults(&applied);
        publish(in_force, applied.next);
        let _ = update.done.send(());
    }
}

/// The parts of a process that passes sections on before it applies them.
#[derive(Debug)]
pub struct Stages<C> {
    /// The configuration received, which is passed on; written by this controller.
    pub held: fn(&C) -> &Section<ConfigSnapshot>,
    /// The configuration in force; written by this controller.
    pub in_force: fn(&C) -> &Section<ConfigSnapshot>,
    /// The processes that ask this one for sections.
    pub followers: fn(&C) -> &Followers,
}

/// Holds updates until the followers hold them too, and then applies them, until the last sender is gone.
pub async fn run_staged<C>(mut rx: mpsc::Receiver<Update>, cx: Arc<C>, stages: Stages<C>) {
    let mut revisions = Revisions::default();
    while let Some(update) = rx.recv().await {
        let held = (stages.held)(&cx);
        let applied = apply(&held.load(), &update.sections);
        log_faults(&applied);
        if let Some(next) = applied.next {
            let revision = next.revision;
            held.publish(next.clone());
            (stages.followers)(&cx)
                .stage(&applied.risen, revision, &mut revisions)
                .await;
            publish((stages.in_force)(&cx), Some(next));
        }
        let _ = update.done.send(());
    }
}

fn publish(in_force: &Section<ConfigSnapshot>, next: Option<ConfigSnapshot>) {
    let Some(next) = next else { return };
    log::info!(target: "limpethook", revision = next.revision; "config_applied");
    in_force.publish(next);
}

fn log_faults(applied: &Applied) {
    for fault in &applied.faults {
        log::error!(target: "limpethook", fault:% = fault; "config_section_refused");
    }
}
