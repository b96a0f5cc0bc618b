//! A simulated model engine with continuous batching, a bounded prefix cache and no priorities.

use std::collections::{BTreeMap, VecDeque};

use camphorwalk_core::units::Tokens;
use camphorwalk_policy::queue::LoadReport;
use serde::Serialize;

/// The properties of an engine. Times are in microseconds unless the name says otherwise.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct EngineShape {
    /// The maximum number of sequences in a batch. Others wait at the engine, first in, first out.
    pub batch: usize,
    /// The capacity of the cache in tokens, including those of running sequences.
    pub cache_tokens: u64,
    /// The fixed time of one iteration.
    pub iteration: u64,
    /// The time to compute one prompt token.
    pub prompt_token_nanos: u64,
    /// The time that each decoding sequence adds to an iteration.
    pub decode_sequence: u64,
    /// The maximum number of prompt tokens computed in one iteration.
    pub prompt_chunk: u64,
}

impl Default for EngineShape {
    fn default() -> Self {
        Self {
            batch: 8,
            cache_tokens: 64_000,
            iteration: 20_000,
            prompt_token_nanos: 100_000,
            decode_sequence: 500,
            prompt_chunk: 1_024,
        }
    }
}

/// A request at an engine.
#[derive(Clone, Copy, Debug)]
pub struct Sequence {
    /// The number of the place request that was granted for it.
    pub number: u64,
    /// The program that the request belongs to.
    pub program: usize,
    /// The length of the prompt in tokens.
    pub prompt: u64,
    /// The number of tokens to generate.
    pub output: u64,
    /// Prompt tokens that were not in the cache.
    pub computed: u64,
    prefill_left: u64,
    output_left: u64,
}

impl Sequence {
    /// Creates a request of which nothing is computed yet.
    pub fn new(number: u64, program: usize, prompt: u64, output: u64) -> Self {
        let (prefill_left, output_left) = (prompt, output);

        Self { number, program, prompt, output, computed: prompt, prefill_left, output_left }
    }

    fn size(&self) -> u64 {
        self.prompt + self.output
    }
}

/// A simulated engine.
#[derive(Debug)]
pub struct Engine {
    shape: EngineShape,
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
    /// Cached prefixes of programs without a running sequence: program to tokens and last use.
    prefixes: BTreeMap<usize, (u64, u64)>,
    by_last_use: BTreeMap<u64, usize>,
    use_count: u64,
    used_tokens: u64,
    busy: bool,
}

impl Engine {
    /// Creates an idle engine with an empty cache.
    pub fn new(shape: EngineShape) -> Self {
        Self {
            shape,
            waiting: VecDeque::new(),
            running: Vec::new(),
            prefixes: BTreeMap::new(),
            by_last_use: BTreeMap::new(),
            use_count: 0,
            used_tokens: 0,
            busy: false,
        }
    }

    /// Adds a request to the engine's queue.
    pub fn send(&mut self, sequence: Sequence) {
        self.waiting.push_back(sequence);
    }

    /// Cancels a waiting or running request.
    pub fn cancel(&mut self, number: u64) {
        self.waiting.retain(|sequence| sequence.number != number);

        if let Some(at) = self.running.iter().position(|sequence| sequence.number == number) {
            let sequence = self.running.remove(at);
            self.used_tokens -= sequence.size();
        }
    }

    /// Evicts a program's prefix.
    ///
    /// Returns whether there was one.
    pub fn free(&mut self, program: usize) -> bool {
        let Some((tokens, at)) = self.prefixes.remove(&program) else { return false };

        self.by_last_use.remove(&at);
        self.used_tokens -= tokens;

        true
    }

    /// Returns the engine's current load.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            held: Tokens(self.used_tokens),
        }
    }

    /// Starts an iteration, unless one is running or there is nothing to do.
    ///
    /// Returns its duration, and the programs whose prefixes were evicted for it.
    pub fn start_iteration(&mut self) -> Option<(u64, Vec<usize>)> {
        if self.busy {
            return None;
        }

        let evicted = self.admit();

        if self.running.is_empty() {
            return None;
        }

        self.busy = true;

        Some((self.iteration_time(), evicted))
    }

    /// Ends the iteration and returns the requests that are finished.
    pub fn finish_iteration(&mut self) -> Vec<Sequence> {
        self.busy = false;
        self.advance();

        let (done, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|sequence| sequence.prefill_left == 0 && sequence.output_left == 0);
        self.running = running;

        for sequence in &done {
            self.cache_prefix(sequence);
        }

        done
    }

    fn admit(&mut self) -> Vec<usize> {
        let mut evicted = Vec::new();

        while self.running.len() < self.shape.batch {
            let Some(mut sequence) = self.waiting.front().copied() else { break };
            let in_use: u64 = self.running.iter().map(Sequence::size).sum();

            if in_use + sequence.size() > self.shape.cache_tokens && !self.running.is_empty() {
                break;
            }

            let cached = self.prefixes.get(&sequence.program).map_or(0, |(tokens, _)| *tokens);
            self.free(sequence.program);
            self.make_room(sequence.size(), &mut evicted);

            // The last token of a prompt is always computed, even if the whole prompt is cached.
            sequence.computed = sequence.prompt - cached.min(sequence.prompt - 1);
            sequence.prefill_left = sequence.computed;
            self.used_tokens += sequence.size();
            self.running.push(sequence);
            self.waiting.pop_front();
        }

        evicted
    }

    fn make_room(&mut self, size: u64, evicted: &mut Vec<usize>) {
        while self.used_tokens + size > self.shape.cache_tokens {
            let Some(program) = self.by_last_use.first_key_value().map(|(_, program)| *program)
            else {
                return;
            };

            self.free(program);
            evicted.push(program);
        }
    }

    fn cache_prefix(&mut self, sequence: &Sequence) {
        self.free(sequence.program);
        self.use_count += 1;
        self.prefixes.insert(sequence.program, (sequence.size(), self.use_count));
        self.by_last_use.insert(self.use_count, sequence.program);
    }

    fn next_prefill(&self) -> u64 {
        let left: u64 = self.running.iter().map(|sequence| sequence.prefill_left).sum();

        left.min(self.shape.prompt_chunk)
    }

    fn iteration_time(&self) -> u64 {
        let decoding = self.running.iter().filter(|sequence| sequence.prefill_left == 0).count();
        let prefill = self.next_prefill() * self.shape.prompt_token_nanos / 1_000;

        self.shape.iteration + prefill + decoding as u64 * self.shape.decode_sequence
    }

    fn advance(&mut self) {
        let mut budget = self.shape.prompt_chunk;

        for sequence in &mut self.running {
            if sequence.prefill_left == 0 {
                sequence.output_left = sequence.output_left.saturating_sub(1);
                continue;
            }

            let computed = sequence.prefill_left.min(budget);
            sequence.prefill_left -= computed;
            budget -= computed;
        }
    }
}
