//! Faults of an endpoint.

use serde::{Deserialize, Serialize};

use crate::faults::{Selection, Selector};

/// How a response is faulty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseFault {
    /// The connection closes after half of the body.
    Truncate,
    /// `Content-Length` exceeds the body and the connection stays open.
    WrongLength,
    /// The response names another request.
    Foreign,
    /// The connection closes before the request runs.
    CloseBefore,
    /// The connection closes after the request ran.
    CloseAfter,
}

/// Body of `POST /control/faults`; it replaces all faults.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointFaults {
    /// Whether requests wait before they run until this is set back to false.
    pub freeze: bool,
    /// The fault of the responses, if any.
    pub answer: Option<ResponseFault>,
    /// The requests that get the faulty response.
    pub selection: Selection,
}

/// The faults in the form used by request handlers.
pub(crate) struct ActiveFaults {
    pub(crate) freeze: bool,
    response: Option<ResponseFault>,
    selector: Selector,
}

impl ActiveFaults {
    /// Returns the fault of the next request, if any, and counts it in the selection.
    pub(crate) fn next_fault(&self) -> Option<ResponseFault> {
        self.response.filter(|_| self.selector.applies_to_next())
    }
}

impl From<&EndpointFaults> for ActiveFaults {
    fn from(faults: &EndpointFaults) -> Self {
        Self {
            freeze: faults.freeze,
            response: faults.answer,
            selector: Selector::new(&faults.selection),
        }
    }
}
