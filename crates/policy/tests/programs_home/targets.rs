//! What targets of the fuzz answer: outputs and inputs name their program and key.

use camphorwalk_core::calls::Usage;
use camphorwalk_core::ids::ProgramId;
use camphorwalk_core::units::Tokens;
use camphorwalk_policy::shared_types::{AttemptOutcome, AttemptPayload, Dispatch};

/// What becomes of an attempt.
#[derive(Clone, Copy, Debug)]
pub enum Fate {
    Done,
    Failed,
    Lost,
    Crashed,
    NotSent,
    Refused,
}

/// Returns the input of a call, which names its program and key.
pub fn tag(program: ProgramId, key: &str) -> Box<str> {
    format!("\"{program} {key}\"").into()
}

/// Returns the key in a tag.
pub fn key_of(tag: &str) -> Box<str> {
    tag.trim_matches('"').split(' ').nth(1).unwrap_or_default().into()
}

/// Returns the tokens of a dispatch's prompt.
pub fn prompt_tokens(dispatch: &Dispatch) -> u64 {
    match &dispatch.payload {
        AttemptPayload::Generate { prompt, .. } => {
            prompt.iter().map(|part| (part.len() as u64).div_ceil(4)).sum()
        }
        AttemptPayload::Operation { .. } => 0,
    }
}

/// Returns the full answer to a dispatch.
pub fn done(dispatch: &Dispatch, prompt: u64) -> AttemptOutcome {
    let (key, output) = match &dispatch.payload {
        AttemptPayload::Generate { prompt, max_tokens } => {
            (key_of(prompt.last().expect("a prompt has an input")), u64::from(*max_tokens))
        }
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
