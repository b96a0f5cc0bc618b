//! Parses single statements.

use std::time::Duration;

use super::words::{Options, Result, list, number, split_options, time};
use super::{
    AnswerSpec, CallSpec, Command, Expect, Expectation, HostRef, Scenario, SequenceSpec, Step,
};
use crate::fleet_config::TenantSpec;
use crate::world::faults::{
    FaultInjection, HostFault, InjectionPoint, PLATFORM, PlatformMode, TargetMode,
};

/// The deadline of a program if the scenario gives none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(120);

/// Parses a line and adds its statement to a scenario.
pub(super) fn read(scenario: &mut Scenario, line: usize, text: &str) -> Result<()> {
    let (words, mut options) = split_options(text);

    match words.as_slice() {
        [] => {}
        ["hosts", names @ ..] => {
            let zone = |name: &str| name.trim_end_matches(|c: char| c.is_ascii_digit()).into();
            scenario.hosts = names.iter().map(|name| ((*name).into(), zone(name))).collect();
        }
        ["tenant", name] => {
            let defaults = TenantSpec::default();
            scenario.tenants.push(TenantSpec {
                name: (*name).into(),
                rate: options.number("rate")?.unwrap_or(defaults.rate),
                burst: options.number("burst")?.unwrap_or(defaults.burst),
                keys: list(&options.take_or("keys", "k1")),
                serve_when_cut_off: options.take("cut-off") != Some("refused"),
            });
        }
        ["until", end] => scenario.until = time(end)?,
        ["at", at, rest @ ..] => {
            let at = time(at)?;
            let command = command(scenario, rest, &mut options)?;
            scenario.steps.push(Step { at, command });
        }
        ["expect", rest @ ..] => {
            let expected = expect(scenario, rest, &mut options)?;
            scenario.expectations.push(Expectation { line, expected });
        }
        [word, ..] => return Err(format!("`{word}` begins no statement")),
    }

    options.reject_unread()
}

fn command(scenario: &Scenario, words: &[&str], options: &mut Options<'_>) -> Result<Command> {
    let host = |name: &str| host(scenario, name);

    Ok(match words {
        ["open", program, "at", at] => Command::Open {
            program: (*program).into(),
            host: host(at)?,
            tenant: options.take_or("tenant", "t1"),
            api_key: options.take_or("with", "k1"),
            deadline: options.time("deadline")?.unwrap_or(DEFAULT_DEADLINE),
        },
        ["call", program, "at", at] => {
            Command::Call { call: call(program, options)?, host: host(at)? }
        }
        ["drive", program] => {
            let via = options.list("via");
            via.iter().try_for_each(|name| host(name).map(drop))?;
            Command::CallSequence(SequenceSpec {
                count: options.number("count")?.ok_or("`count=` is missing")?,
                via: if via.is_empty() { names(scenario) } else { via },
                interval: options.time("every")?.unwrap_or_default(),
                skip_refused: options.take("refused") == Some("dropped"),
                call: call(program, options)?,
            })
        }
        ["callers", "of", key, "leave"] => Command::DisconnectCallers { key: (*key).into() },
        ["kill", name] => Command::Kill(host(name)?),
        ["restart", name] => Command::Restart(host(name)?),
        ["pause", name] => Command::Pause(host(name)?, None),
        ["pause", name, "for", wait] => Command::Pause(host(name)?, Some(time(wait)?)),
        ["resume", name] => Command::Resume(host(name)?),
        ["drain", name] => Command::Drain(host(name)?),
        ["cut", "zone", a, "from", "zone", b] => {
            Command::NetworkPartition(zone(scenario, a)?, zone(scenario, b)?)
        }
        ["cut", "zone", a, "from", "platform"] => {
            Command::NetworkPartition(zone(scenario, a)?, PLATFORM.into())
        }
        ["heal"] => Command::Heal,
        ["platform", mode @ .., "for", "zone", name] => {
            Command::Platform(Some(zone(scenario, name)?), platform_mode(mode)?)
        }
        ["platform", mode @ ..] => Command::Platform(None, platform_mode(mode)?),
        ["target", name, mode @ ..] => Command::Target((*name).into(), target_mode(mode)?),
        ["trap", when @ ("before" | "after"), point, fault @ ..] => {
            Command::InjectFault(FaultInjection {
                point: match *point {
                    "intent" => InjectionPoint::Intent,
                    "send" => InjectionPoint::Send,
                    "outcome" => InjectionPoint::Outcome,
                    other => return Err(format!("`{other}` is no step of a call")),
                },
                after: *when == "after",
                fault: match fault {
                    ["kill"] => HostFault::Kill,
                    ["pause", wait] => HostFault::Pause(time(wait)?),
                    _ => return Err("a trap ends in `kill` or `pause TIME`".into()),
                },
            })
        }
        ["publish", name, "at", at] => Command::Publish {
            name: (*name).into(),
            host: host(at)?,
            base: options.number("base")?.ok_or("`base=` is missing")?,
            leaving_target: options.take("leave").map(Into::into),
        },
        ["withdraw", key, "at", at] => Command::Withdraw { key: (*key).into(), host: host(at)? },
        _ => return Err(format!("`{}` is no command", words.join(" "))),
    })
}

fn call(program: &str, options: &mut Options<'_>) -> Result<CallSpec> {
    Ok(CallSpec {
        program: program.into(),
        key: options.require("key")?,
        after: options.number("after")?,
        target: options.take_or("target", "model"),
        api_key: options.take_or("with", "k1"),
        input: options.take_or("input", "words"),
    })
}

fn expect(scenario: &Scenario, words: &[&str], options: &mut Options<'_>) -> Result<Expect> {
    let check_host = |name: &str| host(scenario, name).map(drop);
    let except = |options: &mut Options<'_>| {
        let names = options.list("except");
        names.iter().try_for_each(|name| check_host(name)).map(|()| names)
    };

    Ok(match words {
        ["ledger", key, "runs", "<=", max] => {
            Expect::Runs { key: (*key).into(), min: 0, max: number(max)? }
        }
        ["ledger", key, "runs", "=", count] => {
            let count = number(count)?;
            Expect::Runs { key: (*key).into(), min: count, max: count }
        }
        ["answer", key, allowed @ ..] => {
            let (key, position) = match key.split_once('/') {
                Some((key, position)) => (key, Some(number(position)?)),
                None => (*key, None),
            };
            let allowed = allowed.split(|word| *word == "or").map(answer).collect::<Result<_>>()?;
            Expect::Answer { key: key.into(), position, allowed }
        }
        ["order", program] => {
            Expect::Order { program: (*program).into(), length: options.number("length")? }
        }
        ["driven", program] => Expect::SequenceCompleted { program: (*program).into() },
        ["config", version, "everywhere", "within", within] => Expect::Config {
            version: number(version)?,
            within: time(within)?,
            except: except(options)?,
        },
        ["config", version, "at", name, "by", by] => {
            check_host(name)?;
            Expect::ConfigAt { version: number(version)?, host: (*name).into(), by: time(by)? }
        }
        ["publish", name, answer @ ("done" | "conflict" | "unavailable" | "unknown")] => {
            Expect::Published { name: (*name).into(), answer: (*answer).into() }
        }
        ["key", key, "stops", "within", within] => Expect::Withdrawn {
            key: (*key).into(),
            within: time(within)?,
            except: except(options)?,
        },
        ["target", name, "idle", "after", after] => {
            Expect::Idle { target: (*name).into(), after: time(after)? }
        }
        ["target", name, "busy", "before", before] => {
            Expect::Busy { target: (*name).into(), before: time(before)? }
        }
        ["rate", tenant] => {
            Expect::Rate { tenant: (*tenant).into(), min: options.number("least")?.unwrap_or(1) }
        }
        ["left", name] => {
            check_host(name)?;
            Expect::ProcessEnded { host: (*name).into() }
        }
        _ => return Err(format!("`{}` is no expectation", words.join(" "))),
    })
}

fn answer(words: &[&str]) -> Result<AnswerSpec> {
    match words {
        ["called"] => Ok(AnswerSpec::Called),
        ["missing"] => Ok(AnswerSpec::Missing),
        ["ran", what @ ("no" | "maybe" | "yes")] => Ok(AnswerSpec::Ran((*what).into())),
        ["refused", code] => Ok(AnswerSpec::Refused((*code).into())),
        _ => Err(format!("`{}` is no answer", words.join(" "))),
    }
}

fn platform_mode(words: &[&str]) -> Result<PlatformMode> {
    Ok(match words {
        ["ok"] => PlatformMode::Normal,
        ["refuses"] => PlatformMode::Refuse,
        ["slow", wait] => PlatformMode::Slow(time(wait)?),
        ["loses", "answers"] => PlatformMode::LoseAnswers(Duration::ZERO),
        ["loses", "answers", "late", wait] => PlatformMode::LoseAnswers(time(wait)?),
        _ => return Err(format!("`{}` is no mode of the platform", words.join(" "))),
    })
}

fn target_mode(words: &[&str]) -> Result<TargetMode> {
    Ok(match words {
        ["ok"] => TargetMode::Normal,
        ["slow", wait] => TargetMode::Slow(time(wait)?),
        ["closes", "before"] => TargetMode::CloseBefore,
        ["closes", "after"] => TargetMode::CloseAfter,
        ["refuses"] => TargetMode::Refuse,
        _ => return Err(format!("`{}` is no mode of a target", words.join(" "))),
    })
}

fn names(scenario: &Scenario) -> Vec<Box<str>> {
    scenario.hosts.iter().map(|(name, _)| name.clone()).collect()
}

fn host(scenario: &Scenario, name: &str) -> Result<HostRef> {
    if let Some(program) = name.strip_prefix("home:") {
        return Ok(HostRef::Home(program.into()));
    }

    match scenario.hosts.iter().any(|(known, _)| &**known == name) {
        true => Ok(HostRef::Name(name.into())),
        false => Err(format!("there is no host `{name}`")),
    }
}

fn zone(scenario: &Scenario, name: &str) -> Result<Box<str>> {
    match scenario.hosts.iter().any(|(_, zone)| &**zone == name) {
        true => Ok(name.into()),
        false => Err(format!("there is no zone `{name}`")),
    }
}
