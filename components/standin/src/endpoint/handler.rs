//! Request handling of an endpoint: slots, faults and run counts.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use errors::Result;
use indexmap::IndexMap;
use model::EndpointId;
use salvo::http::{HeaderValue, Method, ResBody, StatusCode, header};
use salvo::{Request, Response, handler};
use serde::{Deserialize, Serialize};
use timer::Timer;
use tokio::sync::Semaphore;

use crate::endpoint::exchange::{Echo, RunOptions};
use crate::endpoint::faults::{ActiveFaults, EndpointFaults, ResponseFault};
use crate::faults::FaultState;
use crate::http::{
    abort_connection, delay, read_body, read_json, send_bytes, send_error, send_json,
};
use crate::server::{Server, serve};
use crate::settings::EndpointSettings;

const REQUEST_ID_HEADER: &str = "limpethook-request-id";

/// Limits the memory used by the run counts during long load tests.
const MAX_RECORDED_REQUESTS: usize = 1_000_000;

/// The time given to send the first half of a truncated response before the connection closes.
const TRUNCATE_DELAY: Duration = Duration::from_millis(20);

/// Interval at which a connection that is kept open for a fault is checked for closure by the client.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Connections reserved for control requests, beyond the configured limit. Without them, a freeze whose requests occupy
/// all connections could not be ended.
const CONTROL_CONNECTIONS: usize = 4;

/// The number of bytes by which a wrong `Content-Length` exceeds the body.
const WRONG_LENGTH_EXCESS: u64 = 16;

/// Response body of `GET /control/runs`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCounts {
    /// The number of runs started for each request id.
    pub runs: IndexMap<Box<str>, u64>,
    /// The number of runs of ids that were not recorded because the limit was reached.
    pub unrecorded: u64,
}

impl RunCounts {
    fn add(&mut self, request: &str) {
        if let Some(count) = self.runs.get_mut(request) {
            *count += 1;
        } else if self.runs.len() < MAX_RECORDED_REQUESTS {
            self.runs.insert(request.into(), 1);
        } else {
            self.unrecorded += 1;
        }
    }
}

struct Endpoint {
    id: EndpointId,
    slots: Semaphore,
    runs: Mutex<RunCounts>,
    faults: FaultState<ActiveFaults>,
    timer: Timer,
}

/// Starts an endpoint on the configured address.
pub async fn start_endpoint(
    id: EndpointId,
    settings: &EndpointSettings,
    timer: &Timer,
) -> Result<Server> {
    let endpoint = Endpoint {
        id,
        slots: Semaphore::new(settings.slots),
        runs: Mutex::default(),
        faults: FaultState::new(ActiveFaults::from(&EndpointFaults::default())),
        timer: timer.clone(),
    };
    let handler = EndpointHandler(Arc::new(endpoint));
    let connections = settings.connections + CONTROL_CONNECTIONS;
    serve(settings.listen, Some(connections), handler).await
}

struct EndpointHandler(Arc<Endpoint>);

#[handler]
impl EndpointHandler {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match (req.method(), req.uri().path()) {
            (&Method::POST, "/") => self.0.handle_request(req, res).await,
            (&Method::GET, "/control/runs") => {
                let runs = self.0.runs.lock().unwrap_or_else(PoisonError::into_inner);
                send_json(res, StatusCode::OK, &*runs);
            }
            (&Method::POST, "/control/faults") => self.0.set_faults(req, res).await,
            _ => send_error(res, StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl Endpoint {
    async fn set_faults(&self, req: &mut Request, res: &mut Response) {
        match read_json::<EndpointFaults>(req).await {
            Ok(faults) => {
                self.faults.set(ActiveFaults::from(&faults));
                send_json(res, StatusCode::OK, &faults);
            }
            Err(error) => send_error(res, StatusCode::BAD_REQUEST, &error),
        }
    }

    async fn handle_request(&self, req: &mut Request, res: &mut Response) {
        let Some(body) = read_body(req).await else {
            return send_error(res, StatusCode::BAD_REQUEST, "the body could not be read");
        };
        let faults = self.faults.wait_until(|faults| !faults.freeze).await;
        let fault = faults.next_fault();
        if fault == Some(ResponseFault::CloseBefore) {
            return abort_connection(res);
        }
        // The semaphore is never closed, so this cannot fail.
        let _slot = self.slots.acquire().await;
        let request = request_id(req);
        self.record_run(request);
        let options = RunOptions::from_request(req, &body);
        delay(&self.timer, options.run_time()).await;
        if options.fail {
            return send_error(res, StatusCode::INTERNAL_SERVER_ERROR, "failed as asked");
        }
        let echo = match fault {
            Some(ResponseFault::Foreign) => Echo::for_unknown_request(&self.id),
            _ => Echo::new(&self.id, request, &body, options.answer_bytes),
        };
        self.send_echo(&echo, fault, res);
    }

    fn record_run(&self, request: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.add(request);
    }

    fn send_echo(&self, echo: &Echo, fault: Option<ResponseFault>, res: &mut Response) {
        // An echo contains only strings, so serialization cannot fail.
        let text: Bytes = serde_json::to_vec(echo).unwrap_or_default().into();
        match fault {
            Some(ResponseFault::CloseAfter) => return abort_connection(res),
            Some(ResponseFault::Truncate) => self.send_truncated(&text, res),
            Some(ResponseFault::WrongLength) => self.send_with_excess_length(text, res),
            _ => send_bytes(res, StatusCode::OK, "application/json", text),
        }
        if let Ok(id) = HeaderValue::from_str(&echo.request) {
            res.headers_mut().insert(REQUEST_ID_HEADER, id);
        }
    }

    /// Sends a `Content-Length` larger than the body and keeps the connection open until the client closes it.
    fn send_with_excess_length(&self, text: Bytes, res: &mut Response) {
        let (mut tx, body) = ResBody::channel();
        set_streamed_body(res, text.len() as u64 + WRONG_LENGTH_EXCESS, body);
        let timer = self.timer.clone();
        tokio::spawn(async move {
            // Sending fails only if the connection is already closed.
            let _ = tx.send_data(text).await;
            while !tx.is_closed() {
                delay(&timer, DISCONNECT_POLL_INTERVAL).await;
            }
        });
    }

    /// Sends the `Content-Length` of the whole body, half of the body, and closes the connection.
    fn send_truncated(&self, text: &Bytes, res: &mut Response) {
        let (mut tx, body) = ResBody::channel();
        set_streamed_body(res, text.len() as u64, body);
        let half = text.slice(..text.len() / 2);
        let timer = self.timer.clone();
        tokio::spawn(async move {
            // Sending fails only if the connection is already closed.
            let _ = tx.send_data(half).await;
            delay(&timer, TRUNCATE_DELAY).await;
            tx.send_error(std::io::Error::other(
                "response truncated on request of the test",
            ));
        });
    }
}

fn set_streamed_body(res: &mut Response, length: u64, body: ResBody) {
    res.status_code(StatusCode::OK);
    res.headers_mut()
        .insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    res.body(body);
}

fn request_id(req: &Request) -> &str {
    req.headers()
        .get(REQUEST_ID_HEADER)
        .and_then(|id| id.to_str().ok())
        .unwrap_or_default()
}
