//! Serving the key-value service: faults, control paths and the end of leases.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use errors::Result;
use model::Revision;
use salvo::http::{Method, StatusCode};
use salvo::{Request, Response, handler};
use store::{CallKind, Calls};
use timer::Timer;
use tokio::sync::{mpsc, watch};

use crate::faults::{Faults, Selector};
use crate::kv::data::Data;
use crate::kv::faults::{ActiveFaults, Outage, StoreFaults};
use crate::reply::{close, json, parse, pause, refuse};
use crate::server::{Server, serve};
use crate::settings::StoreSettings;

/// Bounds how late the end of a lease is noticed.
const LEASE_SWEEP: Duration = Duration::from_millis(10);

/// The state of the service.
pub(crate) struct Kv {
    data: Mutex<Data>,
    pub(crate) revision: watch::Sender<Revision>,
    pub(crate) faults: Faults<ActiveFaults>,
    pub(crate) timer: Timer,
    calls: Calls,
}

impl Kv {
    /// Reads the data.
    pub(crate) fn data(&self) -> MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits while calls get no answer.
    pub(crate) async fn answered(&self) -> Arc<ActiveFaults> {
        self.faults
            .wait_until(|faults| faults.outage != Some(Outage::Hang))
            .await
    }

    /// Changes the data and wakes the watches if the revision rose.
    pub(crate) fn change<T>(&self, f: impl FnOnce(&mut Data) -> T) -> T {
        let mut data = self.data();
        let result = f(&mut data);
        let revision = data.revision();
        // Sent under the lock, so that watches never see the revision fall.
        self.revision
            .send_if_modified(|seen| std::mem::replace(seen, revision) != revision);
        result
    }
}

/// Starts a key-value service with empty data.
pub async fn start_store(settings: &StoreSettings, timer: &Timer) -> Result<Server> {
    let kv = Arc::new(Kv {
        data: Mutex::new(Data::new(settings.history)),
        revision: watch::Sender::new(0),
        faults: Faults::new(ActiveFaults::from(&StoreFaults::default())),
        timer: timer.clone(),
        calls: Calls::default(),
    });
    tokio::spawn(end_leases(
        Arc::downgrade(&kv),
        timer.subscribe_every(LEASE_SWEEP),
    ));
    serve(settings.listen, None, KvHandler(kv)).await
}

async fn end_leases(kv: Weak<Kv>, mut ticks: mpsc::Receiver<Instant>) {
    while let Some(now) = ticks.recv().await {
        let Some(kv) = kv.upgrade() else {
            return;
        };
        kv.change(|data| data.lapse(now));
    }
}

struct KvHandler(Arc<Kv>);

#[handler]
impl KvHandler {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        if req.uri().path().starts_with("/control/") {
            return control(&self.0, req, res).await;
        }
        let Some(kind) = kind_of(req) else {
            return refuse(res, StatusCode::NOT_FOUND, "no such path");
        };
        self.0.calls.add(kind);
        let faults = self.0.answered().await;
        if faults.outage.is_some() {
            return refuse(res, StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        self.0.run(kind, req, res).await;
        pause(&self.0.timer, faults.slow).await;
        let write = matches!(kind, CallKind::Put | CallKind::Delete);
        if write && faults.lost.as_ref().is_some_and(Selector::hit) {
            close(res);
        }
    }
}

async fn control(kv: &Kv, req: &mut Request, res: &mut Response) {
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/control/counts") => json(res, StatusCode::OK, &kv.calls.counts()),
        (&Method::POST, "/control/faults") => match parse::<StoreFaults>(req).await {
            Ok(faults) => {
                kv.faults.set(ActiveFaults::from(&faults));
                json(res, StatusCode::OK, &faults);
            }
            Err(fault) => refuse(res, StatusCode::BAD_REQUEST, &fault),
        },
        _ => refuse(res, StatusCode::NOT_FOUND, "no such control path"),
    }
}

fn kind_of(req: &Request) -> Option<CallKind> {
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/v1/kv") => Some(CallKind::Get),
        (&Method::PUT, "/v1/kv") => Some(CallKind::Put),
        (&Method::DELETE, "/v1/kv") => Some(CallKind::Delete),
        (&Method::GET, "/v1/list") => Some(CallKind::List),
        (&Method::GET, "/v1/watch") => Some(CallKind::Watch),
        (_, path) if path.starts_with("/v1/leases") => Some(CallKind::Lease),
        _ => None,
    }
}
