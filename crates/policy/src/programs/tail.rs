//! Turns that the platform does not hold yet, sealed and carried by the caller.
//!
//! While the platform is away, model turns go on and their answers carry a *tail*: the
//! calls that are not stored. The caller hands it back with its next call, so that the
//! home's memory is not the only copy. A tail is bound to its program, tenant, the number
//! after which it begins and the hash of the history up to there; a home adopts it only
//! where exactly that history stands.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use camphorwalk_core::hash::Digest;
use camphorwalk_core::ids::ProgramId;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use serde_with::hex::Hex;
use serde_with::serde_as;
use sha2::Sha256;

use super::entries::{CallText, Recorded};
use super::state::{Program, chain};

/// The bytes of the seal before the content.
const SEAL_BYTES: usize = 32;

/// What keeps this seal apart from other uses of the same secret.
const PURPOSE: &[u8] = b"camphorwalk tail 1";

/// The calls of a program that the platform does not hold yet.
#[serde_as]
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Tail {
    /// The program.
    program: ProgramId,
    /// The tenant's id.
    tenant: u64,
    /// The number of the call before the first of `turns`.
    base: u32,
    /// The hash of the history up to there.
    #[serde_as(as = "Hex")]
    base_hash: Digest,
    /// The calls, in order.
    turns: Vec<TailTurn>,
}

/// A call in a tail.
#[derive(Debug, Serialize, Deserialize)]
struct TailTurn {
    /// What was asked.
    call: CallText,
    /// What came of it.
    outcome: Recorded,
}

/// Why a tail was not adopted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TailError {
    /// The seal is not right, or it is another program's.
    Forged,
    /// The history went on differently.
    Diverged,
}

/// What adopting a tail changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Adopted {
    /// Whether the last call, an intent without an outcome, got its outcome.
    pub settled: bool,
    /// The numbers of the calls that were appended.
    pub appended: Vec<u32>,
}

/// Seals the calls of a program that are not stored, if there are any.
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
    let content = serde_json::to_vec(&tail).expect("tails are plain data");
    let mut bytes = mac(secret, &content).finalize().into_bytes().to_vec();
    bytes.extend_from_slice(&content);

    Some(STANDARD_NO_PAD.encode(bytes).into())
}

/// Opens a sealed tail of this program.
pub(super) fn unseal(secret: &[u8; 32], program: &Program, text: &str) -> Result<Tail, TailError> {
    let bytes = STANDARD_NO_PAD.decode(text).map_err(|_| TailError::Forged)?;

    if bytes.len() < SEAL_BYTES {
        return Err(TailError::Forged);
    }

    // A caller could otherwise write a history that no engine ever gave.
    let (seal, content) = bytes.split_at(SEAL_BYTES);
    mac(secret, content).verify_slice(seal).map_err(|_| TailError::Forged)?;
    let tail: Tail = serde_json::from_slice(content).map_err(|_| TailError::Forged)?;

    if tail.program != program.id || tail.tenant != program.tenant.0 {
        return Err(TailError::Forged);
    }

    Ok(tail)
}

/// Appends to a program what a tail holds beyond its head.
pub(super) fn adopt(program: &mut Program, tail: Tail) -> Result<Adopted, TailError> {
    let plan = plan(program, &tail)?;
    let mut adopted = Adopted::default();

    for (offset, turn) in tail.turns.into_iter().enumerate() {
        let number = tail.base + offset as u32 + 1;

        if plan.settles == Some(number) {
            program.pop_unknown();
            program.append(turn.call, turn.outcome);
            adopted.settled = true;
        } else if number > program.head() {
            adopted.appended.push(program.append(turn.call, turn.outcome));
        }
    }

    Ok(adopted)
}

/// How a tail fits a program.
struct Plan {
    /// The call whose lost outcome the tail holds.
    settles: Option<u32>,
}

/// Checks that a tail continues exactly this history.
fn plan(program: &Program, tail: &Tail) -> Result<Plan, TailError> {
    if program.hash_at(tail.base) != Some(tail.base_hash) {
        return Err(TailError::Diverged);
    }

    let mut hash = tail.base_hash;
    let mut settles = None;

    for (offset, turn) in tail.turns.iter().enumerate() {
        let number = tail.base + offset as u32 + 1;
        hash = chain(&hash, &turn.call, &turn.outcome);

        // Past the head nothing stands against it.
        let Some(known) = program.calls.get(number as usize - 1) else { break };

        if known.hash == hash {
            continue;
        }

        // The former home saw the answer of a call whose outcome it could not store. Its
        // seal vouches for that outcome.
        let lost = program.open_intent.is_some() && number == program.head();

        if !(lost && known.call == turn.call && known.outcome == Recorded::Unknown) {
            return Err(TailError::Diverged);
        }

        settles = Some(number);
    }

    Ok(Plan { settles })
}

/// Returns the seal of a content, not finished.
fn mac(secret: &[u8; 32], content: &[u8]) -> Hmac<Sha256> {
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(secret).expect("any key length will do");
    mac.update(PURPOSE);
    mac.update(content);

    mac
}
