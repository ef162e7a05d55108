//! Faults of an endpoint.

use serde::{Deserialize, Serialize};

use crate::faults::{Selection, Selector};

/// What is wrong with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerFault {
    /// The connection closes after half of the body.
    Truncate,
    /// `Content-Length` exceeds the body and the connection stays open.
    WrongLength,
    /// The answer names another request.
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
    /// Whether requests wait, before they run, until this is false again.
    pub freeze: bool,
    /// The fault of the answers, if any.
    pub answer: Option<AnswerFault>,
    /// Which requests get the faulty answer.
    pub selection: Selection,
}

/// The faults in the form that requests read.
pub(crate) struct ActiveFaults {
    pub(crate) freeze: bool,
    answer: Option<AnswerFault>,
    selector: Selector,
}

impl ActiveFaults {
    /// Returns the fault of this request, if any.
    pub(crate) fn next(&self) -> Option<AnswerFault> {
        self.answer.filter(|_| self.selector.hit())
    }
}

impl From<&EndpointFaults> for ActiveFaults {
    fn from(faults: &EndpointFaults) -> Self {
        Self {
            freeze: faults.freeze,
            answer: faults.answer,
            selector: Selector::new(&faults.selection),
        }
    }
}
