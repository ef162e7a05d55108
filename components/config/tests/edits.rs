//! Tests of edits relative to the base of a document file.

use config::{Base, Seen, edited_text, edits, parse_edited, section_digest, split_sections};
use model::{Account, Document, Service};

fn document() -> Document {
    let mut document = Document::default();
    document.accounts.insert("faro".into(), Account::default());
    document
        .services
        .insert("workshop".into(), Service::default());
    document
}

fn base_of(document: &Document) -> Base {
    let sections = split_sections(document).into_iter().zip(1..);
    let seen = |((name, text), revision): ((Box<str>, Box<str>), u64)| {
        let digest = Some(section_digest(&text));
        (name, Seen { revision, digest })
    };
    sections.map(seen).collect()
}

/// Guards against writing an unchanged section, which would revert a change of another operator.
#[test]
fn edits_skips_unchanged_sections() {
    let mut document = document();
    let base = base_of(&document);
    assert!(edits(&document, &base).is_empty());
    document.services.clear();
    document.accounts["faro"].limits.requests = 3;
    document.accounts.insert("new".into(), Account::default());
    let edits = edits(&document, &base);
    let found: Vec<_> = edits
        .iter()
        .map(|edit| (&*edit.section, edit.base, edit.text.is_some()))
        .collect();
    let expected = [
        ("accounts/faro", Some(1), true),
        ("accounts/new", None, true),
        ("services/workshop", Some(2), false),
    ];
    assert_eq!(found, expected);
}

/// Guards against the removal of an invalid section, which `config show` leaves out of the document.
#[test]
fn edits_keeps_invalid_sections() {
    let document = document();
    let mut base = base_of(&document);
    let invalid = Seen {
        revision: 9,
        digest: None,
    };
    base.insert("accounts/broken".into(), invalid);
    assert!(edits(&document, &base).is_empty());
}

/// Guards against output of `config show` that `config apply` cannot parse.
#[test]
fn parse_edited_reads_formatted_document() {
    let document = document();
    let base = base_of(&document);
    let text = edited_text(&document, &base);
    let (read, found) = parse_edited("f.json", &text).expect("the text is valid");
    assert_eq!((read, found), (document, Some(base)));
    let report = parse_edited("f.json", "{\"base\": 3}").expect_err("the base is not an object");
    assert!(report.current_context().message.contains("base"));
}
