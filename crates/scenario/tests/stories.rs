//! Runs every story of `scenarios/`, twice: the verdict and the trace are the same.

use std::path::Path;

use camphorwalk_scenario::runner::run;
use camphorwalk_scenario::story::{Story, parse};

/// Reads all stories of the folder, in the order of their names.
fn stories() -> Vec<(String, Story)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let entries = std::fs::read_dir(folder).expect("the folder is there");
    let mut paths: Vec<_> = entries.map(|entry| entry.expect("it can be listed").path()).collect();
    paths.retain(|path| path.extension().is_some_and(|ending| ending == "txt"));
    paths.sort();

    let read = |path: &std::path::PathBuf| {
        let name = path.file_name().expect("it is a file").to_string_lossy().into_owned();
        let text = std::fs::read_to_string(path).expect("it can be read");
        let story = parse(&name, &text).unwrap_or_else(|error| panic!("{error}"));
        (name, story)
    };
    paths.iter().map(read).collect()
}

#[test]
fn every_story_ends_as_told() {
    let stories = stories();

    let mut faults = Vec::new();
    for (name, story) in &stories {
        let (first, second) = (run(story), run(story));
        faults.extend(first.faults.iter().map(|fault| format!("{name}: {fault}")));
        if first.trace != second.trace {
            faults.push(format!("{name}: two runs differ"));
        }
    }

    assert!(!stories.is_empty());
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

#[test]
fn a_line_that_cannot_be_read_is_named() {
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
