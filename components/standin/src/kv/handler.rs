//! Request handling of the key-value service: faults, control paths and lease expiry.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use errors::Result;
use model::Revision;
use salvo::http::{Method, StatusCode};
use salvo::{Request, Response, handler};
use store::{CallKind, Calls};
use timer::Timer;
use tokio::sync::{mpsc, watch};

use crate::faults::{FaultState, Selector};
use crate::http::{abort_connection, delay, read_json, send_error, send_json};
use crate::kv::faults::{ActiveFaults, Outage, StoreFaults};
use crate::kv::state::KvState;
use crate::server::{Server, serve};
use crate::settings::StoreSettings;

/// Interval between sweeps for expired leases; bounds how late an expiry takes effect.
const LEASE_SWEEP_INTERVAL: Duration = Duration::from_millis(10);

/// The service shared by its request handlers.
pub(crate) struct KvService {
    state: Mutex<KvState>,
    pub(crate) revision: watch::Sender<Revision>,
    pub(crate) faults: FaultState<ActiveFaults>,
    pub(crate) timer: Timer,
    calls: Calls,
}

impl KvService {
    /// Locks the state.
    pub(crate) fn state(&self) -> MutexGuard<'_, KvState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until no hanging outage is active and returns the current faults.
    pub(crate) async fn wait_while_hanging(&self) -> Arc<ActiveFaults> {
        self.faults
            .wait_until(|faults| faults.outage != Some(Outage::Hang))
            .await
    }

    /// Changes the state and wakes watches if the revision changed.
    pub(crate) fn change<T>(&self, apply: impl FnOnce(&mut KvState) -> T) -> T {
        let mut state = self.state();
        let result = apply(&mut state);
        let revision = state.revision();
        // Published while the lock is held, so that watches never see the revision decrease.
        self.revision
            .send_if_modified(|published| std::mem::replace(published, revision) != revision);
        result
    }
}

/// Starts a key-value service without keys.
pub async fn start_store(settings: &StoreSettings, timer: &Timer) -> Result<Server> {
    let kv = Arc::new(KvService {
        state: Mutex::new(KvState::new(settings.history)),
        revision: watch::Sender::new(0),
        faults: FaultState::new(ActiveFaults::from(&StoreFaults::default())),
        timer: timer.clone(),
        calls: Calls::default(),
    });
    tokio::spawn(sweep_expired_leases(
        Arc::downgrade(&kv),
        timer.subscribe_every(LEASE_SWEEP_INTERVAL),
    ));
    serve(settings.listen, None, KvHandler(kv)).await
}

async fn sweep_expired_leases(kv: Weak<KvService>, mut ticks: mpsc::Receiver<Instant>) {
    while let Some(now) = ticks.recv().await {
        let Some(kv) = kv.upgrade() else {
            return;
        };
        kv.change(|state| state.expire_leases(now));
    }
}

struct KvHandler(Arc<KvService>);

#[handler]
impl KvHandler {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        if req.uri().path().starts_with("/control/") {
            return control(&self.0, req, res).await;
        }
        let Some(kind) = call_kind(req) else {
            return send_error(res, StatusCode::NOT_FOUND, "no such path");
        };
        self.0.calls.add(kind);
        let faults = self.0.wait_while_hanging().await;
        if faults.outage.is_some() {
            return send_error(res, StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        self.0.handle_call(kind, req, res).await;
        delay(&self.0.timer, faults.delay).await;
        let is_write = matches!(kind, CallKind::Put | CallKind::Delete);
        if is_write
            && faults
                .lost_responses
                .as_ref()
                .is_some_and(Selector::applies_to_next)
        {
            abort_connection(res);
        }
    }
}

async fn control(kv: &KvService, req: &mut Request, res: &mut Response) {
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/control/counts") => send_json(res, StatusCode::OK, &kv.calls.counts()),
        (&Method::POST, "/control/faults") => match read_json::<StoreFaults>(req).await {
            Ok(faults) => {
                kv.faults.set(ActiveFaults::from(&faults));
                send_json(res, StatusCode::OK, &faults);
            }
            Err(error) => send_error(res, StatusCode::BAD_REQUEST, &error),
        },
        _ => send_error(res, StatusCode::NOT_FOUND, "no such control path"),
    }
}

fn call_kind(req: &Request) -> Option<CallKind> {
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
