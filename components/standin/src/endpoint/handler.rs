//! Serving an endpoint: slots, faults and the record of runs.

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

use crate::endpoint::answer::{Ask, Echo};
use crate::endpoint::faults::{ActiveFaults, AnswerFault, EndpointFaults};
use crate::faults::Faults;
use crate::reply::{body, close, json, parse, pause, raw, refuse};
use crate::server::{Server, serve};
use crate::settings::EndpointSettings;

const REQUEST_ID: &str = "limpethook-request-id";

/// Bounds the memory of the record during long load tests.
const MAX_RECORDED: usize = 1_000_000;

/// The time in which the first half of a truncated answer leaves before the connection closes.
const TRUNCATE_DELAY: Duration = Duration::from_millis(20);

/// How often a connection that is kept open on purpose is checked for its end.
const OPEN_CHECK: Duration = Duration::from_millis(100);

/// Connections beyond the limit for control calls, which otherwise could not lift a freeze that fills all connections.
const CONTROL_CONNECTIONS: usize = 4;

/// The bytes that a wrong length promises beyond the body.
const WRONG_LENGTH_EXCESS: u64 = 16;

/// Answer of `GET /control/runs`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCounts {
    /// How often each request id started to run.
    pub runs: IndexMap<Box<str>, u64>,
    /// The runs of further ids after the record was full.
    pub unrecorded: u64,
}

impl RunCounts {
    fn add(&mut self, request: &str) {
        if let Some(count) = self.runs.get_mut(request) {
            *count += 1;
        } else if self.runs.len() < MAX_RECORDED {
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
    faults: Faults<ActiveFaults>,
    timer: Timer,
}

/// Starts an endpoint.
pub async fn start_endpoint(
    id: EndpointId,
    settings: &EndpointSettings,
    timer: &Timer,
) -> Result<Server> {
    let endpoint = Endpoint {
        id,
        slots: Semaphore::new(settings.slots),
        runs: Mutex::default(),
        faults: Faults::new(ActiveFaults::from(&EndpointFaults::default())),
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
            (&Method::POST, "/") => self.0.answer(req, res).await,
            (&Method::GET, "/control/runs") => {
                let runs = self.0.runs.lock().unwrap_or_else(PoisonError::into_inner);
                json(res, StatusCode::OK, &*runs);
            }
            (&Method::POST, "/control/faults") => self.0.set_faults(req, res).await,
            _ => refuse(res, StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl Endpoint {
    async fn set_faults(&self, req: &mut Request, res: &mut Response) {
        match parse::<EndpointFaults>(req).await {
            Ok(faults) => {
                self.faults.set(ActiveFaults::from(&faults));
                json(res, StatusCode::OK, &faults);
            }
            Err(fault) => refuse(res, StatusCode::BAD_REQUEST, &fault),
        }
    }

    async fn answer(&self, req: &mut Request, res: &mut Response) {
        let Some(body) = body(req).await else {
            return refuse(res, StatusCode::BAD_REQUEST, "the body could not be read");
        };
        let faults = self.faults.wait_until(|faults| !faults.freeze).await;
        let fault = faults.next();
        if fault == Some(AnswerFault::CloseBefore) {
            return close(res);
        }
        // The semaphore is never closed.
        let _slot = self.slots.acquire().await;
        let request = id_of(req);
        self.record(request);
        let ask = Ask::of(req, &body);
        pause(&self.timer, ask.run_time()).await;
        if ask.fail {
            return refuse(res, StatusCode::INTERNAL_SERVER_ERROR, "failed as asked");
        }
        let echo = match fault {
            Some(AnswerFault::Foreign) => Echo::foreign(&self.id),
            _ => Echo::new(&self.id, request, &body, ask.answer_bytes),
        };
        self.send(&echo, fault, res);
    }

    fn record(&self, request: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.add(request);
    }

    fn send(&self, echo: &Echo, fault: Option<AnswerFault>, res: &mut Response) {
        // An echo holds only text, so it always encodes.
        let text: Bytes = serde_json::to_vec(echo).unwrap_or_default().into();
        match fault {
            Some(AnswerFault::CloseAfter) => return close(res),
            Some(AnswerFault::Truncate) => self.send_half(&text, res),
            Some(AnswerFault::WrongLength) => self.send_short(text, res),
            _ => raw(res, StatusCode::OK, "application/json", text),
        }
        if let Ok(id) = HeaderValue::from_str(&echo.request) {
            res.headers_mut().insert(REQUEST_ID, id);
        }
    }

    /// Promises more than the text and keeps the connection open until the caller closes it.
    fn send_short(&self, text: Bytes, res: &mut Response) {
        let (mut tx, body) = ResBody::channel();
        promise(res, text.len() as u64 + WRONG_LENGTH_EXCESS, body);
        let timer = self.timer.clone();
        tokio::spawn(async move {
            // A failed send means that the connection is closed already.
            let _ = tx.send_data(text).await;
            while !tx.is_closed() {
                pause(&timer, OPEN_CHECK).await;
            }
        });
    }

    /// Promises the whole text, sends half of it and closes the connection.
    fn send_half(&self, text: &Bytes, res: &mut Response) {
        let (mut tx, body) = ResBody::channel();
        promise(res, text.len() as u64, body);
        let half = text.slice(..text.len() / 2);
        let timer = self.timer.clone();
        tokio::spawn(async move {
            // A failed send means that the connection is closed already.
            let _ = tx.send_data(half).await;
            pause(&timer, TRUNCATE_DELAY).await;
            tx.send_error(std::io::Error::other("the answer is to end here"));
        });
    }
}

fn promise(res: &mut Response, length: u64, body: ResBody) {
    res.status_code(StatusCode::OK);
    res.headers_mut()
        .insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    res.body(body);
}

fn id_of(req: &Request) -> &str {
    req.headers()
        .get(REQUEST_ID)
        .and_then(|id| id.to_str().ok())
        .unwrap_or_default()
}
