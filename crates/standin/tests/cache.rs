//! The prefix cache against a list that is kept in the order of use.

use camphorwalk_standin::engine::{Cache, CacheChange, Held, tokens_of};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// What the cache may hold.
const CAPACITY: u64 = 12;

/// A use of the cache.
#[derive(Clone, Debug)]
enum Step {
    /// A request begins.
    Begin(u8, Vec<u8>),
    /// The oldest request on the program ends, if there is one.
    End(u8),
    /// The program is freed.
    Free(u8),
}

/// Draws a step.
fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..5u8, prop::collection::vec(1..4u8, 1..4)).prop_map(|(p, parts)| Step::Begin(p, parts)),
        3 => (0..5u8).prop_map(Step::End),
        1 => (0..5u8).prop_map(Step::Free),
    ]
}

/// A program in the oracle.
#[derive(Clone, Debug)]
struct Entry {
    program: Box<str>,
    prompt: Vec<Box<str>>,
    running: u32,
}

/// The oracle: the programs held, least recently used first.
type Oracle = Vec<Entry>;

/// Returns the tokens of a prompt.
fn tokens(prompt: &[Box<str>]) -> u64 {
    prompt.iter().map(|part| tokens_of(part)).sum()
}

/// Drops what has to go.
fn shrink(oracle: &mut Oracle) {
    while oracle.iter().map(|entry| tokens(&entry.prompt)).sum::<u64>() > CAPACITY {
        match oracle.iter().position(|entry| entry.running == 0) {
            Some(oldest) => drop(oracle.remove(oldest)),
            None => return,
        }
    }
}

/// Takes a step in both; returns the tokens that were cached, in each.
fn take(cache: &mut Cache, oracle: &mut Oracle, step: &Step) -> (u64, u64) {
    let name = |program: &u8| -> Box<str> { format!("p{program}").into() };

    match step {
        Step::Begin(program, parts) => {
            let program = name(program);
            let prompt: Vec<Box<str>> =
                parts.iter().map(|part| "x".repeat(usize::from(*part) * 4).into()).collect();
            let at = oracle.iter().position(|entry| entry.program == program);
            let old = at.map(|at| oracle.remove(at));
            let (before, running) = old.map_or((vec![], 0), |old| (old.prompt, old.running));
            let same = before.iter().zip(&prompt).take_while(|(a, b)| a == b).count();
            let expected = tokens(&prompt[..same]);
            oracle.push(Entry {
                program: program.clone(),
                prompt: prompt.clone(),
                running: running + 1,
            });

            (cache.begin(&program, &prompt).0, expected)
        }
        Step::End(program) => {
            let program = name(program);
            let entry = oracle.iter_mut().find(|e| e.program == program && e.running > 0);

            if let Some(entry) = entry {
                entry.running -= 1;
                cache.end(&program);
            }

            (0, 0)
        }
        Step::Free(program) => {
            let program = name(program);
            oracle.retain(|entry| entry.program != program || entry.running > 0);
            cache.free(&program);

            (0, 0)
        }
    }
}

/// Returns what the oracle holds, by program.
fn held(oracle: &Oracle) -> Vec<Held> {
    let entry =
        |entry: &Entry| Held { program: entry.program.clone(), tokens: tokens(&entry.prompt) };
    let mut held: Vec<_> = oracle.iter().map(entry).collect();
    held.sort_by(|a, b| a.program.cmp(&b.program));

    held
}

#[test]
fn the_cache_does_as_the_list() {
    let config = Config { cases: 256, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);

    let outcome = runner.run(&prop::collection::vec(step(), 1..40), |steps| {
        let mut cache = Cache::new(CAPACITY);
        let mut oracle = Oracle::new();

        for step in &steps {
            let (cached, expected) = take(&mut cache, &mut oracle, step);
            shrink(&mut oracle);

            prop_assert_eq!(cached, expected);
            prop_assert_eq!(cache.held(), held(&oracle));
            prop_assert_eq!(cache.tokens(), held(&oracle).iter().map(|h| h.tokens).sum::<u64>());
        }

        Ok(())
    });

    outcome.unwrap();
}

#[test]
fn an_eviction_is_told() {
    let mut cache = Cache::new(2);
    cache.begin("p1", &["12345678".into()]);
    cache.end("p1");

    let (_, changes) = cache.begin("p2", &["1234".into()]);

    let held = |program: &str, tokens| Held { program: program.into(), tokens };
    let expected = [CacheChange::Held(held("p2", 1)), CacheChange::Evicted(held("p1", 2))];
    assert_eq!(changes, expected);
}
