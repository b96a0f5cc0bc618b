//! Compares the prefix cache with a simple model: a list of programs in the order of use.

use camphorwalk_standin::engine::{Cache, CacheChange, Held, count_tokens};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// The capacity of the cache in tokens.
const CAPACITY: u64 = 12;

/// An operation on the cache.
#[derive(Clone, Debug)]
enum Operation {
    /// A request of a program begins, with a prompt whose parts have these lengths in tokens.
    Begin(u8, Vec<u8>),
    /// A request of the program ends, if one runs.
    End(u8),
    /// The program is freed, unless a request of it runs.
    Free(u8),
}

/// Generates an operation.
fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        3 => (0..5u8, prop::collection::vec(1..4u8, 1..4))
            .prop_map(|(p, parts)| Operation::Begin(p, parts)),
        3 => (0..5u8).prop_map(Operation::End),
        1 => (0..5u8).prop_map(Operation::Free),
    ]
}

/// A program in the model.
#[derive(Clone, Debug)]
struct Entry {
    program: Box<str>,
    prompt: Vec<Box<str>>,
    running: u32,
}

/// The model: the programs held, least recently used first.
type Model = Vec<Entry>;

/// Returns the number of tokens of a prompt.
fn tokens(prompt: &[Box<str>]) -> u64 {
    prompt.iter().map(|part| count_tokens(part)).sum()
}

/// Evicts idle programs from the model, least recently used first, until the model fits the
/// capacity or all its programs have running requests.
fn evict_to_capacity(model: &mut Model) {
    while model.iter().map(|entry| tokens(&entry.prompt)).sum::<u64>() > CAPACITY {
        match model.iter().position(|entry| entry.running == 0) {
            Some(oldest) => drop(model.remove(oldest)),
            None => return,
        }
    }
}

/// Applies an operation to the cache and to the model. Returns the number of cached prompt tokens
/// according to each.
fn apply(cache: &mut Cache, model: &mut Model, operation: &Operation) -> (u64, u64) {
    let name = |program: &u8| -> Box<str> { format!("p{program}").into() };

    match operation {
        Operation::Begin(program, parts) => {
            let program = name(program);
            let prompt: Vec<Box<str>> =
                parts.iter().map(|part| "x".repeat(usize::from(*part) * 4).into()).collect();
            let at = model.iter().position(|entry| entry.program == program);
            let old = at.map(|at| model.remove(at));
            let (before, running) = old.map_or((vec![], 0), |old| (old.prompt, old.running));
            let same = before.iter().zip(&prompt).take_while(|(a, b)| a == b).count();
            let expected = tokens(&prompt[..same]);
            model.push(Entry {
                program: program.clone(),
                prompt: prompt.clone(),
                running: running + 1,
            });

            (cache.begin(&program, &prompt).0, expected)
        }
        Operation::End(program) => {
            let program = name(program);
            let entry = model.iter_mut().find(|e| e.program == program && e.running > 0);

            if let Some(entry) = entry {
                entry.running -= 1;
                cache.end(&program);
            }

            (0, 0)
        }
        Operation::Free(program) => {
            let program = name(program);
            model.retain(|entry| entry.program != program || entry.running > 0);
            cache.free(&program);

            (0, 0)
        }
    }
}

/// Returns the prefixes that the model holds, sorted by program.
fn held(model: &Model) -> Vec<Held> {
    let entry =
        |entry: &Entry| Held { program: entry.program.clone(), tokens: tokens(&entry.prompt) };
    let mut held: Vec<_> = model.iter().map(entry).collect();
    held.sort_by(|a, b| a.program.cmp(&b.program));

    held
}

#[test]
fn the_cache_matches_the_model() {
    let config = Config { cases: 256, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);

    let outcome = runner.run(&prop::collection::vec(operation(), 1..40), |operations| {
        let mut cache = Cache::new(CAPACITY);
        let mut model = Model::new();

        for operation in &operations {
            let (cached, expected) = apply(&mut cache, &mut model, operation);
            evict_to_capacity(&mut model);

            prop_assert_eq!(cached, expected);
            prop_assert_eq!(cache.held(), held(&model));
            prop_assert_eq!(cache.tokens(), held(&model).iter().map(|h| h.tokens).sum::<u64>());
        }

        Ok(())
    });

    outcome.unwrap();
}

#[test]
fn an_eviction_is_reported() {
    let mut cache = Cache::new(2);
    cache.begin("p1", &["12345678".into()]);
    cache.end("p1");

    let (_, changes) = cache.begin("p2", &["1234".into()]);

    let held = |program: &str, tokens| Held { program: program.into(), tokens };
    let expected = [CacheChange::Held(held("p2", 1)), CacheChange::Evicted(held("p1", 2))];
    assert_eq!(changes, expected);
}
