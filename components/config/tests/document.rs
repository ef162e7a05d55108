//! Tests of the configuration document, its sections, and token hashes.

use config::{ChangeKind, assemble_sections, check_document, diff_documents, new_token_hash};
use config::{parse_document, split_sections, verify_token};
use model::{Account, Document};

const TEXT: &str = r#"{
    "accounts": {
        "faro": {"guarantees": [{"tasks": 2, "accelerators": 8, "adjacency": "rack"}], "limits": {"requests": 4}},
        "prisma": {}},
    "services": {"curvature": {"timeout_ms": 60000}},
    "policy": {"fragmentation_weight": 0.8}}"#;

fn document() -> Document {
    parse_document("config.json", TEXT).unwrap()
}

fn message(text: &str) -> String {
    let report = parse_document("config.json", text).unwrap_err();
    report.current_context().message.to_string()
}

/// Guards against `check_document` and `parse_document` applying different rules.
#[test]
fn check_document_agrees_with_parse() {
    let mut document = document();
    assert!(check_document(&document).is_ok());
    document.accounts["faro"].guarantees[0].tasks = 200;
    let report = check_document(&document).unwrap_err();
    let expected = "document: accounts.faro.guarantees.0.tasks: must be an integer from 1 to 128";
    assert_eq!(&*report.current_context().message, expected);
}

/// Guards against errors in one section that hide errors in another.
#[test]
fn parse_document_reports_all_errors() {
    let text = TEXT
        .replace("\"limits\"", "\"limit\"")
        .replace("\"rack\"", "\"rak\"")
        .replace("0.8", "1.5");
    let expected = [
        "config.json: accounts.faro.limit: is unknown; did you mean `limits`?",
        "config.json: accounts.faro.guarantees.0.adjacency: must be one of worker, rack, data_centre, region, any; \
         did you mean `rack`?",
        "config.json: policy.fragmentation_weight: must be a number from 0 to 1",
    ];
    assert_eq!(message(&text), expected.join("\n"));
}

/// Guards against a valid document with a section that is too large for the store.
#[test]
fn check_document_rejects_large_section() {
    let mut document = document();
    let token = new_token_hash("token");
    document.accounts["faro"].tokens = vec![token; 11_000];
    let report = check_document(&document).unwrap_err();
    let expected = "document: accounts.faro: must have at most 1000000 bytes as JSON";
    assert_eq!(&*report.current_context().message, expected);
}

/// Guards against the silent loss of one of two accounts with the same name.
#[test]
fn parse_document_rejects_duplicate_key() {
    let message = message(&TEXT.replace("prisma", "faro"));
    assert!(message.contains("key `faro` appears twice"), "{message}");
}

/// Guards against documents that change when they are split into sections and assembled again.
#[test]
fn assemble_sections_restores_document() {
    let document = document();
    let sections = split_sections(&document);
    let names: Vec<_> = sections.iter().map(|(name, _)| &**name).collect();
    assert_eq!(
        names,
        [
            "accounts/faro",
            "accounts/prisma",
            "services/curvature",
            "policy"
        ]
    );
    let pairs = sections.iter().map(|(name, text)| (&**name, &**text));
    assert_eq!(assemble_sections(pairs).unwrap(), document);
}

/// Guards against an error in one section that hides an error in another.
#[test]
fn assemble_sections_reports_all_errors() {
    let sections = [
        ("accounts/faro", "{"),
        ("policy", r#"{"queue_limit": 0}"#),
        ("polcy", "{}"),
    ];
    let report = assemble_sections(sections).unwrap_err();
    let message = &report.current_context().message;
    for expected in [
        "section accounts/faro: is not valid JSON",
        "policy.queue_limit: must be",
        "section polcy: ",
    ] {
        assert!(message.contains(expected), "{expected} is not in {message}");
    }
}

/// Guards against changes that `config diff` does not show.
#[test]
fn diff_documents_names_changed_keys() {
    let old = document();
    let mut new = document();
    new.accounts["faro"].limits.requests = 8;
    new.accounts.shift_remove("prisma");
    new.accounts.insert("nuevo".into(), Account::default());
    let changes = diff_documents(&old, &new);
    let found: Vec<_> = changes.iter().map(|c| (&*c.section, &c.kind)).collect();
    let edited = ChangeKind::Changed(vec!["limits.requests".into()]);
    let expected = [
        ("accounts/faro", &edited),
        ("accounts/nuevo", &ChangeKind::Added),
        ("accounts/prisma", &ChangeKind::Removed),
    ];
    assert_eq!(found, expected);
}

/// Guards against tokens that are accepted for another account, or although they are incomplete.
#[test]
fn verify_token_accepts_only_own_tokens() {
    let (first, second) = (new_token_hash("token-one"), new_token_hash("token-two"));
    assert_ne!(first, new_token_hash("token-one"), "the salt must differ");
    let account = Account {
        tokens: vec![first, second],
        ..Account::default()
    };
    assert!(verify_token(&account, "token-one") && verify_token(&account, "token-two"));
    for wrong in ["token-on", "token-three", ""] {
        assert!(!verify_token(&account, wrong), "{wrong}");
    }
    assert!(!verify_token(&Account::default(), ""));
    let document = Document {
        accounts: [("faro".into(), account)].into_iter().collect(),
        ..Document::default()
    };
    assert!(check_document(&document).is_ok());
}
