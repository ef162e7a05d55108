//! Closes connections that take too long, and logs that limits were met.

use std::sync::Arc;
use std::time::{Duration, Instant};

use timer::Timer;

use crate::decide::{self, Reason, RequestLimits};
use crate::ledger::ClientBoard;

/// Interval between two looks at all connections.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// A look that is late by more than this is left out, because the process has not read what arrived meanwhile.
const MAX_LATENESS: Duration = Duration::from_secs(1);
/// Minimum time between two log events.
const LOG_WINDOW: Duration = Duration::from_secs(10);

/// Starts the controller, which takes the limits of requests from `limits`.
pub fn spawn(
    clients: &Arc<ClientBoard>,
    timer: &Timer,
    limits: impl Fn() -> RequestLimits + Send + 'static,
) {
    let mut ticks = timer.subscribe_every(LOOK_INTERVAL);
    let clients = Arc::clone(clients);
    tokio::spawn(async move {
        let mut last_look = Instant::now();
        let mut was_late = false;
        let mut reporter = Reporter::new();
        while ticks.recv().await.is_some() {
            let limits = limits();
            if limits != **clients.limits.load() {
                clients.limits.publish(limits);
            }
            let is_late = last_look.elapsed() > LOOK_INTERVAL + MAX_LATENESS;
            last_look = Instant::now();
            // A process that is always late must still close connections.
            if !is_late || was_late {
                close_overdue(&clients, &limits);
            }
            was_late = is_late && !was_late;
            reporter.report(&clients);
        }
    });
}

fn close_overdue(clients: &ClientBoard, limits: &RequestLimits) {
    for view in clients.views() {
        if let Some(reason) = decide::overdue(&view, limits) {
            clients.close(view.key, reason);
        }
    }
}

/// Logs the limits that were met in a window.
struct Reporter {
    last: [(Reason, u64); Reason::ALL.len()],
    logged_at: Option<Instant>,
}

impl Reporter {
    fn new() -> Self {
        Self {
            last: Reason::ALL.map(|reason| (reason, 0)),
            logged_at: None,
        }
    }

    fn report(&mut self, clients: &ClientBoard) {
        let is_early = |at: Instant| at.elapsed() < LOG_WINDOW;
        let counts = clients.event_counts();
        if self.logged_at.is_some_and(is_early) {
            return;
        }
        let met = counts.iter().zip(&self.last).filter(|(now, before)| {
            // Idle connections are closed all the time.
            now.0 != Reason::Idle && now.1 > before.1
        });
        let met: Vec<String> = met
            .map(|(now, before)| format!("{}:{}", now.0.as_str(), now.1 - before.1))
            .collect();
        if met.is_empty() {
            return;
        }
        self.last = counts;
        self.logged_at = Some(Instant::now());
        log::warn!(
            target: "limpethook",
            met:% = met.join(","), connections = clients.connection_count(),
            max_connections = clients.capacity.connections, held_bytes = clients.held_bytes(),
            max_bytes = clients.capacity.bytes;
            "clients_limited"
        );
    }
}
