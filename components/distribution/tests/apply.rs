//! Tests of applying updates to a configuration snapshot.

use board::ConfigSnapshot;
use distribution::{agent_sections_after, apply, sections_after};
use wire::{Section, Sections};

fn section(name: &str, revision: u64, text: &str) -> Section {
    Section {
        name: name.into(),
        revision,
        text: Some(text.into()),
    }
}

fn update(revision: u64, sections: Vec<Section>) -> Sections {
    Sections {
        revision,
        sections,
        present: None,
    }
}

fn listing(revision: u64, sections: Vec<Section>) -> Sections {
    Sections {
        present: Some(
            sections
                .iter()
                .map(|section| section.name.clone())
                .collect(),
        ),
        ..update(revision, sections)
    }
}

fn apply_update(current: &ConfigSnapshot, update: &Sections) -> ConfigSnapshot {
    apply(current, update)
        .next
        .expect("the update changes the configuration")
}

/// Guards against delayed updates that revert a section to an older revision.
#[test]
fn apply_ignores_older_revisions() {
    let new = update(
        7,
        vec![section("accounts/a", 7, "{\"limits\":{\"requests\":2}}")],
    );
    let old = update(
        5,
        vec![section("accounts/a", 5, "{\"limits\":{\"requests\":1}}")],
    );
    let current = apply_update(&ConfigSnapshot::default(), &new);
    assert!(apply(&current, &old).next.is_none());
    assert_eq!(current.document.accounts["a"].limits.requests, 2);
}

/// Guards against an invalid section that holds back other sections or replaces its previous version.
#[test]
fn apply_rejects_only_invalid_sections() {
    let first = update(
        2,
        vec![section("accounts/a", 1, "{}"), section("policy", 2, "{}")],
    );
    let current = apply_update(&ConfigSnapshot::default(), &first);
    let second = vec![
        section("accounts/a", 3, "{\"tokens\":5}"),
        section("accounts/b", 4, "{}"),
    ];
    let applied = apply(&current, &listing(4, second));
    assert_eq!(applied.errors.len(), 1);
    let next = applied.next.expect("one section is valid and newer");
    assert_eq!(next.sections["accounts/a"].revision, 1);
    assert!(next.document.accounts.contains_key("b"));
}

/// Guards against an account that stays active although it was deleted while the process or its relay was not watching.
#[test]
fn apply_removes_deleted_sections() {
    let all = listing(
        2,
        vec![
            section("accounts/a", 1, "{}"),
            section("accounts/b", 2, "{}"),
        ],
    );
    let stale = apply_update(&ConfigSnapshot::default(), &all);
    let restarted = apply_update(
        &ConfigSnapshot::default(),
        &listing(9, vec![section("accounts/b", 2, "{}")]),
    );
    let caught_up = apply_update(&stale, &sections_after(&restarted, stale.revision));
    assert!(!caught_up.document.accounts.contains_key("a"));
    assert!(caught_up.document.accounts.contains_key("b"));
}

/// Guards against fetches by all processes whenever a watch of the store times out without a change.
#[test]
fn apply_ignores_idle_watches() {
    let current = apply_update(
        &ConfigSnapshot::default(),
        &listing(2, vec![section("policy", 2, "{}")]),
    );
    assert!(apply(&current, &update(50, Vec::new())).next.is_none());
}

/// Guards against sending the text of client accounts to agents, and against agents whose revision does not advance
/// with a change to an account.
#[test]
fn agent_sections_after_omits_accounts() {
    let update = update(
        9,
        vec![
            section("accounts/a", 9, "{\"limits\":{\"requests\":2}}"),
            section("services/s", 8, "{\"timeout_ms\":5}"),
        ],
    );
    let owner = apply_update(&ConfigSnapshot::default(), &update);
    let agent = apply_update(&ConfigSnapshot::default(), &agent_sections_after(&owner, 0));
    assert_eq!(agent.revision, 9);
    assert!(agent.document.accounts.is_empty());
    assert!(agent.document.services.contains_key("s"));
}
