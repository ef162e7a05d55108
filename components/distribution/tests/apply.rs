//! Applying updates to the configuration in force.

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

fn after(current: &ConfigSnapshot, update: &Sections) -> ConfigSnapshot {
    apply(current, update).next.expect("the update is newer")
}

/// Guards against a late update that takes a section back to an older revision.
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
    let current = after(&ConfigSnapshot::default(), &new);
    assert!(apply(&current, &old).next.is_none());
    assert_eq!(current.document.accounts["a"].limits.requests, 2);
}

/// Guards against one faulty section that holds back the others or replaces what is in force.
#[test]
fn apply_refuses_faulty_sections_alone() {
    let first = update(
        2,
        vec![section("accounts/a", 1, "{}"), section("policy", 2, "{}")],
    );
    let current = after(&ConfigSnapshot::default(), &first);
    let second = vec![
        section("accounts/a", 3, "{\"tokens\":5}"),
        section("accounts/b", 4, "{}"),
    ];
    let applied = apply(&current, &listing(4, second));
    assert_eq!(applied.faults.len(), 1);
    let next = applied.next.expect("one section is valid");
    assert_eq!(next.sections["accounts/a"].revision, 1);
    assert!(next.document.accounts.contains_key("b"));
}

/// Guards against an account that stays in force although it was deleted while the process, or its relay, did not watch.
#[test]
fn apply_removes_absent_sections() {
    let all = listing(
        2,
        vec![
            section("accounts/a", 1, "{}"),
            section("accounts/b", 2, "{}"),
        ],
    );
    let stale = after(&ConfigSnapshot::default(), &all);
    let restarted = after(
        &ConfigSnapshot::default(),
        &listing(9, vec![section("accounts/b", 2, "{}")]),
    );
    let caught_up = after(&stale, &sections_after(&restarted, stale.revision));
    assert!(!caught_up.document.accounts.contains_key("a"));
    assert!(caught_up.document.accounts.contains_key("b"));
}

/// Guards against fetches by every process each time a watch of the store ends without a change.
#[test]
fn apply_ignores_idle_watches() {
    let current = after(
        &ConfigSnapshot::default(),
        &listing(2, vec![section("policy", 2, "{}")]),
    );
    assert!(apply(&current, &update(50, Vec::new())).next.is_none());
}

/// Guards against agents that get the text of client accounts, and against agents whose revision does not rise with it.
#[test]
fn agent_sections_after_leaves_out_accounts() {
    let update = update(
        9,
        vec![
            section("accounts/a", 9, "{\"limits\":{\"requests\":2}}"),
            section("services/s", 8, "{\"timeout_ms\":5}"),
        ],
    );
    let owner = after(&ConfigSnapshot::default(), &update);
    let agent = after(&ConfigSnapshot::default(), &agent_sections_after(&owner, 0));
    assert_eq!(agent.revision, 9);
    assert!(agent.document.accounts.is_empty());
    assert!(agent.document.services.contains_key("s"));
}
