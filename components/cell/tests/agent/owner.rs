//! An owner that the tests control.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use cell::agent::EntryDirectory;
use errors::Result;
use model::{Incarnation, Instructions, StartOrder, TaskRun, WorkerReport};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use wire::{Call, CellView, Key, Leader, Reply, Server};

use crate::{EPOCH, POLL_INTERVAL, REPORT_TIMEOUT, SECRET};

pub(crate) struct NoDirectory;

#[async_trait]
impl EntryDirectory for NoDirectory {
    async fn entries(&self) -> Result<Vec<SocketAddr>> {
        Ok(Vec::new())
    }
}

#[derive(Default)]
pub(crate) struct OwnerState {
    /// The owner that calls for the state of the cell return; this one if not set.
    pub(crate) leader: Option<Leader>,
    /// Whether reports get no reply.
    pub(crate) silent: bool,
    /// Delay of each reply after the orders were taken.
    pub(crate) reply_delay: std::time::Duration,
    pub(crate) starts: VecDeque<StartOrder>,
    pub(crate) stops: VecDeque<TaskRun>,
    /// End up to which the ends of the worker are acknowledged.
    pub(crate) acknowledged: u64,
    /// Crashes that are confirmed with each reply.
    pub(crate) stored_crashes: Vec<Incarnation>,
    pub(crate) reports: Vec<WorkerReport>,
}

/// An owner that records reports and sends the orders of the test.
pub(crate) struct Owner {
    pub(crate) addr: SocketAddr,
    pub(crate) state: Arc<Mutex<OwnerState>>,
}

impl Owner {
    pub(crate) async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let state: Arc<Mutex<OwnerState>> = Arc::default();
        let shared = Arc::clone(&state);
        let handler = move |_, call| answer(addr, Arc::clone(&shared), call);
        let server = Server::new(listener, Key::from_secret(SECRET));
        tokio::spawn(server.serve(handler, CancellationToken::new()));
        Ok(Self { addr, state })
    }

    pub(crate) fn update(&self, update: impl FnOnce(&mut OwnerState)) {
        update(&mut self.state.lock().expect("lock is not poisoned"));
    }

    /// Waits for a report that satisfies `matches`.
    pub(crate) async fn reported(&self, matches: impl Fn(&WorkerReport) -> bool) -> WorkerReport {
        let found = async {
            loop {
                let state = Arc::clone(&self.state);
                let last = state
                    .lock()
                    .expect("lock is not poisoned")
                    .reports
                    .last()
                    .cloned();
                if let Some(report) = last.filter(&matches) {
                    return report;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(REPORT_TIMEOUT, found)
            .await
            .expect("matching report in time")
    }
}

async fn answer(addr: SocketAddr, state: Arc<Mutex<OwnerState>>, call: Call) -> Result<Reply> {
    let own = Leader {
        entry: "entry".into(),
        addr,
        epoch: EPOCH,
    };
    let view = |leader| {
        Ok(Reply::CellView(CellView {
            leader: Some(leader),
            entries: vec![addr],
        }))
    };
    let leader = || {
        let state = state.lock().expect("lock is not poisoned");
        state.leader.clone().unwrap_or_else(|| own.clone())
    };
    let report = match call {
        Call::Report(report) => report,
        Call::CellViewAfter(epoch) => {
            while leader().epoch <= epoch {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            return view(leader());
        }
        _ => return view(leader()),
    };
    let silent = state.lock().expect("lock is not poisoned").silent;
    if silent {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(POLL_INTERVAL).await;
    let epoch = leader().epoch;
    let (instructions, delay) = {
        let mut state = state.lock().expect("lock is not poisoned");
        let instructions = Instructions {
            epoch,
            report_sent_at: report.sent_at,
            incarnation: report.incarnation,
            acknowledged: state.acknowledged,
            bodies: Vec::new(),
            starts: state.starts.drain(..).collect(),
            stops: state.stops.drain(..).collect(),
            stored_crashes: state.stored_crashes.clone(),
        };
        state.reports.push(*report);
        (instructions, state.reply_delay)
    };
    tokio::time::sleep(delay).await;
    Ok(Reply::Instructions(Box::new(instructions)))
}
