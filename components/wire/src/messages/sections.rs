//! Messages with configuration sections.

use model::{Revision, SectionName};
use serde::{Deserialize, Serialize};

/// Configuration sections with their store revisions.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Sections {
    /// Highest revision that the sender has applied.
    pub revision: Revision,
    /// Sections that changed.
    pub sections: Vec<Section>,
    /// Names of all existing sections, if the sender may not know every deletion that the receiver missed.
    pub present: Option<Vec<SectionName>>,
}

/// One configuration section.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Section {
    /// Name of the section.
    pub name: SectionName,
    /// Revision that last changed the section.
    pub revision: Revision,
    /// JSON text; `None` if the section was deleted.
    pub text: Option<Box<str>>,
}
