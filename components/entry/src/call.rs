//! The life cycle of a request at the entry as typestates: received, admitted, dispatched, answered.

use std::time::{Duration, Instant};

use board::ConfigSnapshot;
use bytes::Bytes;
use config::verify_token;
use errors::{Error, ErrorKind, Result};
use ingress::{Exchange, Serving};
use model::{Account, AccountId, Attempt, Request, RequestId, Service, ServiceId};
use policy::limits::Admission;
use wire::Answer;

use crate::headers::{invalid_header, parse_flag, parse_millis, parse_shape, parse_timeout};
use crate::sent::SentFlag;

/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 255;

/// A request in one state of its life cycle.
#[derive(Debug)]
pub(crate) struct Call<S> {
    /// When the entry received the request.
    pub(crate) received: Instant,
    pub(crate) state: S,
}

/// Service and headers as sent by the caller, not yet validated.
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

/// The client account is authenticated, and the request is valid and within the limits of the account.
#[derive(Debug)]
pub(crate) struct Admitted {
    pub(crate) request: Request,
    pub(crate) body: Bytes,
    pub(crate) admission: Admission,
    /// Account of the memory that the request holds; `None` if its connection is being closed.
    #[expect(dead_code, reason = "the memory is held until the call is dropped")]
    pub(crate) exchange: Option<Exchange<Serving>>,
    /// Digest of the content that must be equal under one idempotency key, if the request has a key.
    pub(crate) content_digest: Option<u128>,
    /// Whether an agent may have received the request.
    pub(crate) sent: SentFlag,
}

/// The request was sent to an agent.
#[derive(Debug)]
pub(crate) struct Dispatched {
    pub(crate) request: RequestId,
    /// `None` with an idempotency key, because the answer may come from an attempt of another submission.
    pub(crate) attempt: Option<Attempt>,
}

/// The complete answer was received and verified.
#[derive(Debug)]
pub(crate) struct Answered {
    pub(crate) answer: Answer,
}

impl Call<Received> {
    /// Creates a call in its first state.
    pub(crate) fn receive(received: Received, now: Instant) -> Self {
        Self {
            received: now,
            state: received,
        }
    }

    /// Authenticates the caller and returns its client account.
    pub(crate) fn authenticate(&self, config: &ConfigSnapshot) -> Result<AccountId> {
        authenticate(self.state.credentials.as_deref(), config)
    }

    /// Returns the requested service.
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

    /// Validates the headers of an authenticated request and attaches its body and admission.
    pub(crate) fn admit(
        self,
        account: AccountId,
        service: &Service,
        body: Bytes,
        admission: Admission,
        exchange: Option<Exchange<Serving>>,
    ) -> Result<Call<Admitted>> {
        let received = &self.state;
        let id = match &received.idempotency_key {
            Some(key) if key.len() > MAX_KEY_BYTES => {
                return Err(invalid_header("Idempotency-Key", key, "at most 255 bytes"));
            }
            Some(key) => id_for_key(&account, key),
            None => fastrand::u128(..),
        };
        let request = Request {
            id,
            service: received.service.clone(),
            shape: received.shape.as_deref().map(parse_shape).transpose()?,
            idempotent: parse_flag("Limpethook-Idempotent", received.idempotent.as_deref())?
                .unwrap_or(service.idempotent),
            stoppable: parse_flag("Limpethook-Stoppable", received.stoppable.as_deref())?
                .unwrap_or(false),
            timeout: parse_timeout(received.timeout_ms.as_deref())?.unwrap_or(service.timeout()),
            declared_run_time: parse_millis(
                "Limpethook-Run-Time-Ms",
                received.run_time_ms.as_deref(),
            )?,
            account,
        };
        let has_key = received.idempotency_key.is_some();
        let content_digest = has_key.then(|| digest_content(&request, &body));
        Ok(Call {
            received: self.received,
            state: Admitted {
                request,
                body,
                admission,
                exchange,
                content_digest,
                sent: SentFlag::default(),
            },
        })
    }
}

impl Call<Admitted> {
    /// Returns the time left until the deadline, or an error if the deadline has passed.
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

    /// Returns the request with its timeout reduced to the remaining time.
    pub(crate) fn request(&self, now: Instant) -> Result<Request> {
        Ok(Request {
            timeout: self.remaining(now)?,
            ..self.state.request.clone()
        })
    }

    /// Returns the dispatched state for an attempt.
    pub(crate) fn dispatch(&self, attempt: Attempt) -> Call<Dispatched> {
        let state = Dispatched {
            request: self.state.request.id,
            attempt: self.state.content_digest.is_none().then_some(attempt),
        };
        Call {
            received: self.received,
            state,
        }
    }
}

impl Call<Dispatched> {
    /// Verifies that the answer is complete, unmodified and belongs to this request and attempt.
    pub(crate) fn answer(self, answer: Answer) -> Result<Call<Answered>> {
        let attempt = self.state.attempt.unwrap_or(answer.attempt);
        if (answer.request, answer.attempt) != (self.state.request, attempt) {
            return Err(corrupt("the answer belongs to another request"));
        }
        if answer.length != answer.body.len() as u64 {
            return Err(corrupt("the answer is truncated"));
        }
        if blake3::hash(&answer.body) != answer.digest {
            return Err(corrupt("the answer does not match its digest"));
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

/// Authenticates credentials of the form `Bearer <account>:<token>` and returns the client account.
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
    // The token is verified for unknown accounts as well, so that the response does not reveal which accounts exist.
    if !verify_token(account.unwrap_or(&unknown), token) {
        return Err(refused());
    }
    Ok(id.into())
}

/// Derives the request id from the account and the idempotency key, so that every entry computes the same id.
fn id_for_key(account: &str, key: &str) -> RequestId {
    let mut hasher = blake3::Hasher::new();
    hasher
        .update(&(account.len() as u64).to_le_bytes())
        .update(account.as_bytes())
        .update(key.as_bytes());
    let mut id = [0; 16];
    id.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    RequestId::from_le_bytes(id)
}

/// Returns the digest of the service, shape and body, which must be equal when a key is reused.
fn digest_content(request: &Request, body: &[u8]) -> u128 {
    let mut hasher = blake3::Hasher::new();
    // A shape contains only numbers and names, so its serialization cannot fail.
    let shape = serde_json::to_vec(&request.shape).unwrap_or_default();
    for part in [request.service.as_bytes(), &shape, body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut digest = [0; 16];
    digest.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
    u128::from_le_bytes(digest)
}
