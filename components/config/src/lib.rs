//! Settings files and the configuration document.
//!
//! A check reports every fault at once. Each fault names the file, the key as a dotted path, and what is allowed.

mod base;
mod checker;
mod document;
mod read;
mod sections;
mod settings;
mod tokens;
mod unique;

pub use base::{Base, Edit, Seen, edited_text, edits, parse_edited, section_digest};
pub use document::{check_document, parse_document};
pub use sections::{Change, ChangeKind, assemble_sections, diff_documents, split_sections};
pub use settings::{
    AgentSettings, Duty, EndpointSettings, EntrySettings, PeerKey, Settings, WorkerSettings,
    load_settings, parse_settings,
};
pub use tokens::{hash_token, new_token_hash, verify_token};
