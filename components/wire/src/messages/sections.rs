//! Messages of the configuration.

use model::{Revision, SectionName};
use serde::{Deserialize, Serialize};

/// Configuration sections with the store's revisions.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Sections {
    /// The highest revision that the sender has applied.
    pub revision: Revision,
    /// The sections.
    pub sections: Vec<Section>,
    /// The names of all sections at that revision, if the sender may not know every deletion that the receiver missed.
    pub present: Option<Vec<SectionName>>,
}

/// One configuration section.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Section {
    /// The name.
    pub name: SectionName,
    /// The revision that last changed it.
    pub revision: Revision,
    /// The JSON text; none if the section was deleted.
    pub text: Option<Box<str>>,
}
