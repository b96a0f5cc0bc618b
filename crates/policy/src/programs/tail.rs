//! Sealed tails: calls that are not durable yet, carried by the caller.
//!
//! While the platform is unavailable, model turns continue and their answers carry a *tail*:
//! all calls of the program that are not durable. The caller sends it back with its next call,
//! so that the home host's memory is not the only copy. A tail is bound to its program, its
//! tenant, the number of the call before its first one and the hash of the history up to that call.
//! A home host adopts a tail only if the host's own history matches.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use camphorwalk_core::hash::Digest;
use camphorwalk_core::ids::ProgramId;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use serde_with::hex::Hex;
use serde_with::serde_as;
use sha2::Sha256;

use super::entries::{CallText, RecordedOutcome};
use super::state::{Program, chain_hash};

/// The length of the message authentication code before the content.
const MAC_BYTES: usize = 32;

/// Separates these authentication codes from other uses of the same secret.
const MAC_DOMAIN: &[u8] = b"camphorwalk tail 1";

/// The calls of a program that are not durable yet.
#[serde_as]
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Tail {
    /// The program that the calls belong to.
    program: ProgramId,
    /// The id of the program's tenant.
    tenant: u64,
    /// The number of the call before the first of `turns`.
    base: u32,
    /// The hash of the history up to call `base`.
    #[serde_as(as = "Hex")]
    base_hash: Digest,
    /// The calls in order.
    turns: Vec<TailTurn>,
}

/// A call in a tail.
#[derive(Debug, Serialize, Deserialize)]
struct TailTurn {
    /// The request of the call.
    call: CallText,
    /// The outcome of the call.
    outcome: RecordedOutcome,
}

/// The reason why a tail was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TailError {
    /// The tail cannot be decoded, its authentication code is wrong, or it belongs to another
    /// program or tenant.
    Forged,
    /// The program's history differs from the one the tail continues.
    Diverged,
}

/// The result of adopting a tail.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Adopted {
    /// Whether the tail supplied the outcome of the last call, which this host had recorded as
    /// unknown.
    pub outcome_found: bool,
    /// The numbers of the calls that were appended.
    pub appended: Vec<u32>,
}

/// Seals the calls of a program that are not durable, if there are any.
pub(super) fn seal(secret: &[u8; 32], program: &Program) -> Option<Box<str>> {
    let turns: Vec<_> = program
        .calls
        .iter()
        .skip(program.stored as usize)
        .map(|r| TailTurn { call: r.call.clone(), outcome: r.outcome.clone() })
        .collect();

    if turns.is_empty() {
        return None;
    }

    let tail = Tail {
        program: program.id,
        tenant: program.tenant.0,
        base: program.stored,
        base_hash: program.hash_at(program.stored)?,
        turns,
    };
    let content = serde_json::to_vec(&tail).expect("a tail serializes to JSON");
    let mut bytes = mac(secret, &content).finalize().into_bytes().to_vec();
    bytes.extend_from_slice(&content);

    Some(STANDARD_NO_PAD.encode(bytes).into())
}

/// Verifies and decodes a sealed tail of this program.
pub(super) fn unseal(secret: &[u8; 32], program: &Program, text: &str) -> Result<Tail, TailError> {
    let bytes = STANDARD_NO_PAD.decode(text).map_err(|_| TailError::Forged)?;

    if bytes.len() < MAC_BYTES {
        return Err(TailError::Forged);
    }

    // Without this check a caller could forge a history that no engine produced.
    let (seal, content) = bytes.split_at(MAC_BYTES);
    mac(secret, content).verify_slice(seal).map_err(|_| TailError::Forged)?;
    let tail: Tail = serde_json::from_slice(content).map_err(|_| TailError::Forged)?;

    if tail.program != program.id || tail.tenant != program.tenant.0 {
        return Err(TailError::Forged);
    }

    Ok(tail)
}

/// Appends the calls of a tail that follow the program's last finished call.
pub(super) fn adopt(program: &mut Program, tail: Tail) -> Result<Adopted, TailError> {
    let plan = plan(program, &tail)?;
    let mut adopted = Adopted::default();

    for (offset, turn) in tail.turns.into_iter().enumerate() {
        let number = tail.base + offset as u32 + 1;

        if plan.resolves == Some(number) {
            program.pop_unknown();
            program.append(turn.call, turn.outcome);
            adopted.outcome_found = true;
        } else if number > program.head() {
            adopted.appended.push(program.append(turn.call, turn.outcome));
        }
    }

    Ok(adopted)
}

/// How a tail is applied to a program.
struct AdoptionPlan {
    /// The call with an unknown outcome that the tail resolves.
    resolves: Option<u32>,
}

/// Checks that a tail matches the program's history, and returns how to apply it.
fn plan(program: &Program, tail: &Tail) -> Result<AdoptionPlan, TailError> {
    if program.hash_at(tail.base) != Some(tail.base_hash) {
        return Err(TailError::Diverged);
    }

    let mut hash = tail.base_hash;
    let mut resolves = None;

    for (offset, turn) in tail.turns.iter().enumerate() {
        let number = tail.base + offset as u32 + 1;
        hash = chain_hash(&hash, &turn.call, &turn.outcome);

        // The rest of the tail is new to this host.
        let Some(known) = program.calls.get(number as usize - 1) else { break };

        if known.hash == hash {
            continue;
        }

        // The previous home host received the answer of this call but could not store its
        // outcome. The authentication code proves that the outcome is genuine.
        let lost = program.open_intent.is_some() && number == program.head();

        if !(lost && known.call == turn.call && known.outcome == RecordedOutcome::Unknown) {
            return Err(TailError::Diverged);
        }

        resolves = Some(number);
    }

    Ok(AdoptionPlan { resolves })
}

/// Returns a message authentication code that has processed the content.
fn mac(secret: &[u8; 32], content: &[u8]) -> Hmac<Sha256> {
    let mut mac =
        <Hmac<Sha256> as Mac>::new_from_slice(secret).expect("HMAC accepts keys of any length");
    mac.update(MAC_DOMAIN);
    mac.update(content);

    mac
}
