//! Simulated targets of the randomized test. Inputs and outputs contain their program and key.

use camphorwalk_core::calls::Usage;
use camphorwalk_core::ids::ProgramId;
use camphorwalk_core::units::Tokens;
use camphorwalk_policy::shared_types::{AttemptOutcome, AttemptPayload, Dispatch};

/// How an attempt ends.
#[derive(Clone, Copy, Debug)]
pub enum SimulatedOutcome {
    Done,
    Failed,
    Lost,
    Crashed,
    NotSent,
    Refused,
}

/// Returns the input of a call, which contains its program and key.
pub fn tag(program: ProgramId, key: &str) -> Box<str> {
    format!("\"{program} {key}\"").into()
}

/// Returns the key contained in a tag.
pub fn key_of(tag: &str) -> Box<str> {
    tag.trim_matches('"').split(' ').nth(1).unwrap_or_default().into()
}

/// Returns the number of tokens in a dispatch's prompt.
pub fn prompt_tokens(dispatch: &Dispatch) -> u64 {
    match &dispatch.payload {
        AttemptPayload::Generate { prompt, .. } => {
            prompt.iter().map(|part| (part.len() as u64).div_ceil(4)).sum()
        }
        AttemptPayload::Operation { .. } => 0,
    }
}

/// Returns a complete answer to a dispatch.
pub fn done(dispatch: &Dispatch, prompt: u64) -> AttemptOutcome {
    let (key, output) = match &dispatch.payload {
        AttemptPayload::Generate { prompt, max_tokens } => (
            key_of(prompt.last().expect("every prompt ends with an input")),
            u64::from(*max_tokens),
        ),
        AttemptPayload::Operation { key, .. } => (key.clone(), 0),
    };

    AttemptOutcome::Done {
        output: tag(dispatch.program, &format!("{key} {}", dispatch.attempt)),
        usage: Usage {
            prompt_tokens: Tokens(prompt),
            cached_tokens: Tokens(0),
            output_tokens: Tokens(output),
        },
    }
}
