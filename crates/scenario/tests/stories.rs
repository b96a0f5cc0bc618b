//! Runs every scenario of `scenarios/` twice, and checks that its expectations hold and that both
//! runs have the same trace digest. A difference means that a run depends on something other than
//! virtual time and its input.

use std::path::Path;

use camphorwalk_scenario::language::{Scenario, parse};
use camphorwalk_scenario::runner::run;

/// Reads all scenarios of the folder, in the order of their names.
fn scenarios() -> Vec<(String, Scenario)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let entries = std::fs::read_dir(folder).expect("the folder can be read");
    let mut paths: Vec<_> =
        entries.map(|entry| entry.expect("the folder entry can be read").path()).collect();
    paths.retain(|path| path.extension().is_some_and(|ending| ending == "txt"));
    paths.sort();

    let read = |path: &std::path::PathBuf| {
        let name = path.file_name().expect("the path names a file").to_string_lossy().into_owned();
        let text = std::fs::read_to_string(path).expect("the file can be read as UTF-8");
        let scenario = parse(&name, &text).unwrap_or_else(|error| panic!("{error}"));
        (name, scenario)
    };
    paths.iter().map(read).collect()
}

#[test]
fn every_scenario_meets_its_expectations_in_equal_runs() {
    let scenarios = scenarios();

    let mut failures = Vec::new();
    for (name, scenario) in &scenarios {
        let (first, second) = (run(scenario), run(scenario));
        failures.extend(first.failures.iter().map(|failure| format!("{name}: {failure}")));
        if first.trace_digest != second.trace_digest {
            failures.push(format!("{name}: two runs differ"));
        }
    }

    assert!(!scenarios.is_empty());
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn a_syntax_error_names_its_line() {
    let cases = [
        ("hosts a1\nat soon kill a1\nuntil 5s", "x.txt:2: `soon` is no time like `2.5s` or `40ms`"),
        ("hosts a1\nat 1s kill a1 hard=yes\nuntil 5s", "x.txt:2: `hard=` does not belong here"),
        ("hosts a1\nat 1s sing\nuntil 5s", "x.txt:2: `sing` is no command"),
        ("hosts a1\n\nhope", "x.txt:3: `hope` begins no statement"),
        ("hosts a1\nat 1s call P at a1\nuntil 5s", "x.txt:2: `key=` is missing"),
        ("hosts a1\nat 1s cut zone q from platform", "x.txt:2: there is no zone `q`"),
        ("hosts a1\nexpect luck", "x.txt:2: `luck` is no expectation"),
        ("hosts a1", "x.txt:1: a story needs `hosts` and `until`"),
    ];

    for (text, expected) in cases {
        let error = parse("x.txt", text).unwrap_err();

        assert_eq!(error.to_string(), expected);
    }
}
