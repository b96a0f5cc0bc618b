//! The committed OpenAPI documents match the ones generated from the code. Otherwise clients would
//! be built against an API that the host no longer has.
//!
//! To update the documents after a change of an API:
//!
//! ```text
//! CAMPHORWALK_WRITE_OPENAPI=1 cargo test -p camphorwalk-node --test openapi
//! ```

use std::fs;
use std::path::{Path, PathBuf};

use camphorwalk_node::{callers, operators};
use serde_json::Value;

/// The environment variable that makes the tests rewrite the documents. CI never sets it.
const WRITE: &str = "CAMPHORWALK_WRITE_OPENAPI";

#[test]
fn the_callers_document_is_current() {
    let generated = text(&callers::openapi());

    let committed = committed("callers.json", &generated);

    assert_eq!(
        committed, generated,
        "docs/openapi/callers.json is out of date; set {WRITE}=1 to rewrite it"
    );
}

#[test]
fn the_operators_document_is_current() {
    let generated = text(&operators::openapi());

    let committed = committed("operators.json", &generated);

    assert_eq!(
        committed, generated,
        "docs/openapi/operators.json is out of date; set {WRITE}=1 to rewrite it"
    );
}

/// Returns a committed document, after rewriting it if the environment variable is set.
fn committed(name: &str, generated: &str) -> String {
    let path = folder().join(name);
    if std::env::var_os(WRITE).is_some_and(|value| value == "1") {
        fs::write(&path, generated).expect("cannot write the document");
    }

    fs::read_to_string(&path).expect("cannot read the committed document")
}

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/openapi")
}

/// Formats a document as it is committed: indented, with a final newline.
fn text(document: &Value) -> String {
    serde_json::to_string_pretty(document).expect("a document serializes to JSON") + "\n"
}
