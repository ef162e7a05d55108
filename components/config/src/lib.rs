//! Settings files and the configuration document.
//!
//! Validation reports all errors at once. Each error names the file, the key as a dotted path, and the allowed values.

mod document;
mod edits;
mod parse;
mod sections;
mod settings;
mod tokens;
mod unique_keys;
mod validator;

pub use document::{check_document, parse_document};
pub use edits::{
    BaseSection, BaseSections, SectionEdit, format_with_base, parse_with_base, section_digest,
    section_edits,
};
pub use sections::{ChangeKind, SectionChange, assemble_sections, diff_documents, split_sections};
pub use settings::{
    AgentSettings, Duty, EndpointSettings, EntrySettings, MachineLimits, PeerKey, Settings,
    WorkerSettings, load_settings, parse_settings,
};
pub use tokens::{hash_token, new_token_hash, verify_token};
