//! Tests of edits relative to the base of a document file.

use config::{
    BaseSection, BaseSections, format_with_base, parse_with_base, section_digest, section_edits,
    split_sections,
};
use model::{Account, Document, Service};

fn document() -> Document {
    let mut document = Document::default();
    document.accounts.insert("faro".into(), Account::default());
    document
        .services
        .insert("workshop".into(), Service::default());
    document
}

fn base_of(document: &Document) -> BaseSections {
    let sections = split_sections(document).into_iter().zip(1..);
    let seen = |((name, text), revision): ((Box<str>, Box<str>), u64)| {
        let digest = Some(section_digest(&text));
        (name, BaseSection { revision, digest })
    };
    sections.map(seen).collect()
}

/// Guards against writing an unchanged section, which would revert a change of another operator.
#[test]
fn section_edits_skips_unchanged_sections() {
    let mut document = document();
    let base = base_of(&document);
    assert!(section_edits(&document, &base).is_empty());
    document.services.clear();
    document.accounts["faro"].limits.requests = 3;
    document.accounts.insert("new".into(), Account::default());
    let edits = section_edits(&document, &base);
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
fn section_edits_keeps_invalid_sections() {
    let document = document();
    let mut base = base_of(&document);
    let invalid = BaseSection {
        revision: 9,
        digest: None,
    };
    base.insert("accounts/broken".into(), invalid);
    assert!(section_edits(&document, &base).is_empty());
}

/// Guards against output of `config show` that `config apply` cannot parse.
#[test]
fn parse_with_base_reads_formatted_document() {
    let document = document();
    let base = base_of(&document);
    let text = format_with_base(&document, &base);
    let (read, found) = parse_with_base("f.json", &text).expect("the text is valid");
    assert_eq!((read, found), (document, Some(base)));
    let report = parse_with_base("f.json", "{\"base\": 3}").expect_err("the base is not an object");
    assert!(report.current_context().message.contains("base"));
}
