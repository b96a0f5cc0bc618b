//! The committed OpenAPI documents are what the code gives.
//!
//! To update them after a change of an API:
//!
//! ```text
//! CAMPHORWALK_WRITE_OPENAPI=1 cargo test -p camphorwalk-node --test openapi
//! ```

use std::fs;
use std::path::{Path, PathBuf};

use camphorwalk_node::{callers, operators};
use serde_json::Value;

/// The variable that has the tests rewrite the documents. CI never sets it.
const WRITE: &str = "CAMPHORWALK_WRITE_OPENAPI";

#[test]
fn the_callers_document_is_current() {
    let given = text(&callers::openapi());

    let committed = committed("callers.json", &given);

    assert_eq!(committed, given, "docs/openapi/callers.json is old; set {WRITE}=1 to rewrite it");
}

#[test]
fn the_operators_document_is_current() {
    let given = text(&operators::openapi());

    let committed = committed("operators.json", &given);

    assert_eq!(committed, given, "docs/openapi/operators.json is old; set {WRITE}=1 to rewrite it");
}

/// Returns a committed document, rewritten first if that is asked for.
fn committed(name: &str, given: &str) -> String {
    let path = folder().join(name);
    if std::env::var_os(WRITE).is_some_and(|value| value == "1") {
        fs::write(&path, given).expect("the document is written");
    }

    fs::read_to_string(&path).expect("the document is committed")
}

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/openapi")
}

/// Returns a document as it is committed: indented, with a final newline.
fn text(document: &Value) -> String {
    serde_json::to_string_pretty(document).expect("a document is plain data") + "\n"
}
