//! The life cycle of a request at its entry: received, admitted, dispatched, answered.

use std::time::{Duration, Instant};

use board::ConfigSnapshot;
use bytes::Bytes;
use config::verify_token;
use errors::{Error, ErrorKind, Result};
use model::{Account, AccountId, Attempt, Request, RequestId, Service, ServiceId};
use policy::limits::Admission;
use wire::Answer;

use crate::headers::{invalid_header, parse_flag, parse_millis, parse_shape, parse_timeout};
use crate::sent::Sent;

/// The longest idempotency key.
const MAX_KEY_BYTES: usize = 255;

/// A request in one state of its life cycle.
#[derive(Debug)]
pub(crate) struct Call<S> {
    /// When the entry received it.
    pub(crate) received: Instant,
    /// What is known in this state.
    pub(crate) state: S,
}

/// What the caller sent.
#[derive(Debug, Default)]
pub(crate) struct Received {
    pub(crate) service: ServiceId,
    pub(crate) credentials: Option<Box<str>>,
    pub(crate) shape: Option<Box<str>>,
    pub(crate) idempotent: Option<Box<str>>,
    pub(crate) stoppable: Option<Box<str>>,
    pub(crate) timeout_ms: Option<Box<str>>,
    pub(crate) run_time_ms: Option<Box<str>>,
    pub(crate) idempotency_key: Option<Box<str>>,
}

/// The client account is known, the request is well formed and within the limits of the account.
#[derive(Debug)]
pub(crate) struct Admitted {
    pub(crate) request: Request,
    pub(crate) body: Bytes,
    pub(crate) admission: Admission,
    /// Digest of what must be equal under one idempotency key, if the request has a key.
    pub(crate) content: Option<u128>,
    /// Whether an agent may have the request.
    pub(crate) sent: Sent,
}

/// An agent has the request.
#[derive(Debug)]
pub(crate) struct Dispatched {
    pub(crate) request: RequestId,
    /// None with an idempotency key, whose answer may come from the attempt of another submission.
    pub(crate) attempt: Option<Attempt>,
}

/// The whole answer is here.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) answer: Answer,
}

impl Call<Received> {
    /// Starts the life cycle.
    pub(crate) fn receive(received: Received, now: Instant) -> Self {
        Self {
            received: now,
            state: received,
        }
    }

    /// Returns the client account that the credentials prove.
    pub(crate) fn authenticate(&self, config: &ConfigSnapshot) -> Result<AccountId> {
        authenticate(self.state.credentials.as_deref(), config)
    }

    /// Returns the service that the caller names.
    pub(crate) fn service<'a>(&self, config: &'a ConfigSnapshot) -> Result<&'a Service> {
        config
            .document
            .services
            .get(&self.state.service)
            .ok_or_else(|| {
                let message = format!("there is no service {:?}", self.state.service);
                Error::not_run(ErrorKind::NotFound, message).report()
            })
    }

    /// Admits the request of an authenticated client account.
    pub(crate) fn admit(
        self,
        account: AccountId,
        service: &Service,
        body: Bytes,
        admission: Admission,
    ) -> Result<Call<Admitted>> {
        let sent = &self.state;
        let id = match &sent.idempotency_key {
            Some(key) if key.len() > MAX_KEY_BYTES => {
                return Err(invalid_header("Idempotency-Key", key, "at most 255 bytes"));
            }
            Some(key) => keyed_id(&account, key),
            None => fastrand::u128(..),
        };
        let request = Request {
            id,
            service: sent.service.clone(),
            shape: sent.shape.as_deref().map(parse_shape).transpose()?,
            idempotent: parse_flag("Limpethook-Idempotent", sent.idempotent.as_deref())?
                .unwrap_or(service.idempotent),
            stoppable: parse_flag("Limpethook-Stoppable", sent.stoppable.as_deref())?
                .unwrap_or(false),
            timeout: parse_timeout(sent.timeout_ms.as_deref())?.unwrap_or(service.timeout()),
            declared_run_time: parse_millis("Limpethook-Run-Time-Ms", sent.run_time_ms.as_deref())?,
            account,
        };
        let content = sent.idempotency_key.is_some();
        let content = content.then(|| content_digest(&request, &body));
        Ok(Call {
            received: self.received,
            state: Admitted {
                request,
                body,
                admission,
                content,
                sent: Sent::default(),
            },
        })
    }
}

impl Call<Admitted> {
    /// Returns the time left until the deadline, or the error of a request that missed it before it ran.
    pub(crate) fn remaining(&self, now: Instant) -> Result<Duration> {
        let deadline = self.received + self.state.request.timeout;
        match deadline.checked_duration_since(now) {
            Some(left) if !left.is_zero() => Ok(left),
            _ => Err(Error::not_run(
                ErrorKind::Timeout,
                "the deadline passed before the request ran",
            )
            .report()),
        }
    }

    /// Returns the request with the remaining time as its timeout.
    pub(crate) fn request(&self, now: Instant) -> Result<Request> {
        Ok(Request {
            timeout: self.remaining(now)?,
            ..self.state.request.clone()
        })
    }

    /// Records that an agent has the request.
    pub(crate) fn dispatch(&self, attempt: Attempt) -> Call<Dispatched> {
        let state = Dispatched {
            request: self.state.request.id,
            attempt: self.state.content.is_none().then_some(attempt),
        };
        Call {
            received: self.received,
            state,
        }
    }
}

impl Call<Dispatched> {
    /// Checks that the answer is whole and belongs to this attempt of this request.
    pub(crate) fn answer(self, answer: Answer) -> Result<Call<Answered>> {
        let attempt = self.state.attempt.unwrap_or(answer.attempt);
        if (answer.request, answer.attempt) != (self.state.request, attempt) {
            return Err(corrupt("the answer belongs to another request"));
        }
        if answer.length != answer.body.len() as u64 {
            return Err(corrupt("the answer was cut off"));
        }
        if blake3::hash(&answer.body) != answer.digest {
            return Err(corrupt("the answer was changed on its way"));
        }
        Ok(Call {
            received: self.received,
            state: Answered { answer },
        })
    }
}

fn corrupt(message: &str) -> error_stack::Report<Error> {
    Error::ran(ErrorKind::Corrupt, message).report()
}

/// Returns the client account that credentials of the form `<account>:<token>` prove.
pub(crate) fn authenticate(
    credentials: Option<&str>,
    config: &ConfigSnapshot,
) -> Result<AccountId> {
    let refused = || {
        let message =
            "the Authorization header must be Bearer <account>:<token> of a client account";
        Error::not_run(ErrorKind::Unauthenticated, message).report()
    };
    let credentials = credentials
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(refused)?;
    let (id, token) = credentials.split_once(':').ok_or_else(refused)?;
    let unknown = Account::default();
    let account = config.document.accounts.get(id);
    // An unknown account takes the same path, so that the response does not tell which accounts exist.
    if !verify_token(account.unwrap_or(&unknown), token) {
        return Err(refused());
    }
    Ok(id.into())
}

/// Derives the id of a request, so that every entry derives the same id from the same key.
fn keyed_id(account: &str, key: &str) -> RequestId {
    let mut hasher = blake3::Hasher::new();
    hasher
        .update(&(account.len() as u64).to_le_bytes())
        .update(account.as_bytes())
        .update(key.as_bytes());
    let mut id = [0; 16];
    id.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    RequestId::from_le_bytes(id)
}

/// Returns the digest of what must be equal when a key is used again.
fn content_digest(request: &Request, body: &[u8]) -> u128 {
    let mut hasher = blake3::Hasher::new();
    // A shape holds only numbers and names, so it always encodes.
    let shape = serde_json::to_vec(&request.shape).unwrap_or_default();
    for part in [request.service.as_bytes(), &shape, body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut digest = [0; 16];
    digest.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    u128::from_le_bytes(digest)
}
