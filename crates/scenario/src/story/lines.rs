//! Reads single lines.

use std::time::Duration;

use super::words::{Options, Result, list, number, split, time};
use super::{AnswerSpec, CallSpec, Command, DriveSpec, Expect, Expectation, HostRef, Step, Story};
use crate::declared::TenantSpec;
use crate::world::faults::{Harm, PLATFORM, PlatformMode, Point, TargetMode, Trap};

/// The deadline of a program if the story gives none.
const DEADLINE: Duration = Duration::from_secs(120);

/// Reads a line into a story.
pub(super) fn read(story: &mut Story, line: usize, text: &str) -> Result<()> {
    let (words, mut options) = split(text);

    match words.as_slice() {
        [] => {}
        ["hosts", names @ ..] => {
            let zone = |name: &str| name.trim_end_matches(|c: char| c.is_ascii_digit()).into();
            story.hosts = names.iter().map(|name| ((*name).into(), zone(name))).collect();
        }
        ["tenant", name] => {
            let other = TenantSpec::default();
            story.tenants.push(TenantSpec {
                name: (*name).into(),
                rate: options.number("rate")?.unwrap_or(other.rate),
                burst: options.number("burst")?.unwrap_or(other.burst),
                keys: list(&options.take_or("keys", "k1")),
                serve_when_cut_off: options.take("cut-off") != Some("refused"),
            });
        }
        ["until", end] => story.until = time(end)?,
        ["at", at, rest @ ..] => {
            let at = time(at)?;
            let command = command(story, rest, &mut options)?;
            story.steps.push(Step { at, command });
        }
        ["expect", rest @ ..] => {
            let what = expect(story, rest, &mut options)?;
            story.expectations.push(Expectation { line, what });
        }
        [word, ..] => return Err(format!("`{word}` begins no statement")),
    }

    options.finish()
}

fn command(story: &Story, words: &[&str], options: &mut Options<'_>) -> Result<Command> {
    let host = |name: &str| host(story, name);

    Ok(match words {
        ["open", program, "at", at] => Command::Open {
            program: (*program).into(),
            host: host(at)?,
            tenant: options.take_or("tenant", "t1"),
            with: options.take_or("with", "k1"),
            deadline: options.time("deadline")?.unwrap_or(DEADLINE),
        },
        ["call", program, "at", at] => {
            Command::Call { call: call(program, options)?, host: host(at)? }
        }
        ["drive", program] => {
            let via = options.list("via");
            via.iter().try_for_each(|name| host(name).map(drop))?;
            Command::Drive(DriveSpec {
                count: options.number("count")?.ok_or("`count=` is missing")?,
                via: if via.is_empty() { names(story) } else { via },
                every: options.time("every")?.unwrap_or_default(),
                drop: options.take("refused") == Some("dropped"),
                call: call(program, options)?,
            })
        }
        ["callers", "of", key, "leave"] => Command::Leave { key: (*key).into() },
        ["kill", name] => Command::Kill(host(name)?),
        ["restart", name] => Command::Restart(host(name)?),
        ["pause", name] => Command::Pause(host(name)?, None),
        ["pause", name, "for", wait] => Command::Pause(host(name)?, Some(time(wait)?)),
        ["resume", name] => Command::Resume(host(name)?),
        ["drain", name] => Command::Drain(host(name)?),
        ["cut", "zone", a, "from", "zone", b] => Command::Cut(zone(story, a)?, zone(story, b)?),
        ["cut", "zone", a, "from", "platform"] => Command::Cut(zone(story, a)?, PLATFORM.into()),
        ["heal"] => Command::Heal,
        ["platform", mode @ .., "for", "zone", name] => {
            Command::Platform(Some(zone(story, name)?), platform_mode(mode)?)
        }
        ["platform", mode @ ..] => Command::Platform(None, platform_mode(mode)?),
        ["target", name, mode @ ..] => Command::Target((*name).into(), target_mode(mode)?),
        ["trap", when @ ("before" | "after"), point, harm @ ..] => Command::Trap(Trap {
            point: match *point {
                "intent" => Point::Intent,
                "send" => Point::Send,
                "outcome" => Point::Outcome,
                other => return Err(format!("`{other}` is no step of a call")),
            },
            after: *when == "after",
            harm: match harm {
                ["kill"] => Harm::Kill,
                ["pause", wait] => Harm::Pause(time(wait)?),
                _ => return Err("a trap ends in `kill` or `pause TIME`".into()),
            },
        }),
        ["publish", name, "at", at] => Command::Publish {
            name: (*name).into(),
            host: host(at)?,
            base: options.number("base")?.ok_or("`base=` is missing")?,
            leave: options.take("leave").map(Into::into),
        },
        ["withdraw", key, "at", at] => Command::Withdraw { key: (*key).into(), host: host(at)? },
        _ => return Err(format!("`{}` is no command", words.join(" "))),
    })
}

fn call(program: &str, options: &mut Options<'_>) -> Result<CallSpec> {
    Ok(CallSpec {
        program: program.into(),
        key: options.need("key")?,
        after: options.number("after")?,
        target: options.take_or("target", "model"),
        with: options.take_or("with", "k1"),
        input: options.take_or("input", "words"),
    })
}

fn expect(story: &Story, words: &[&str], options: &mut Options<'_>) -> Result<Expect> {
    let known = |name: &str| host(story, name).map(drop);
    let except = |options: &mut Options<'_>| {
        let names = options.list("except");
        names.iter().try_for_each(|name| known(name)).map(|()| names)
    };

    Ok(match words {
        ["ledger", key, "runs", "<=", most] => {
            Expect::Runs { key: (*key).into(), least: 0, most: number(most)? }
        }
        ["ledger", key, "runs", "=", count] => {
            let count = number(count)?;
            Expect::Runs { key: (*key).into(), least: count, most: count }
        }
        ["answer", key, allowed @ ..] => {
            let (key, place) = match key.split_once('/') {
                Some((key, place)) => (key, Some(number(place)?)),
                None => (*key, None),
            };
            let allowed = allowed.split(|word| *word == "or").map(answer).collect::<Result<_>>()?;
            Expect::Answer { key: key.into(), place, allowed }
        }
        ["order", program] => {
            Expect::Order { program: (*program).into(), length: options.number("length")? }
        }
        ["driven", program] => Expect::Driven { program: (*program).into() },
        ["config", version, "everywhere", "within", within] => Expect::Config {
            version: number(version)?,
            within: time(within)?,
            except: except(options)?,
        },
        ["config", version, "at", name, "by", by] => {
            known(name)?;
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
            Expect::Rate { tenant: (*tenant).into(), least: options.number("least")?.unwrap_or(1) }
        }
        ["left", name] => {
            known(name)?;
            Expect::Left { host: (*name).into() }
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
        ["ok"] => PlatformMode::Ok,
        ["refuses"] => PlatformMode::Refuse,
        ["slow", wait] => PlatformMode::Slow(time(wait)?),
        ["loses", "answers"] => PlatformMode::Lost(Duration::ZERO),
        ["loses", "answers", "late", wait] => PlatformMode::Lost(time(wait)?),
        _ => return Err(format!("`{}` is no mode of the platform", words.join(" "))),
    })
}

fn target_mode(words: &[&str]) -> Result<TargetMode> {
    Ok(match words {
        ["ok"] => TargetMode::Ok,
        ["slow", wait] => TargetMode::Slow(time(wait)?),
        ["closes", "before"] => TargetMode::CloseBefore,
        ["closes", "after"] => TargetMode::CloseAfter,
        ["refuses"] => TargetMode::Refuse,
        _ => return Err(format!("`{}` is no mode of a target", words.join(" "))),
    })
}

fn names(story: &Story) -> Vec<Box<str>> {
    story.hosts.iter().map(|(name, _)| name.clone()).collect()
}

fn host(story: &Story, name: &str) -> Result<HostRef> {
    if let Some(program) = name.strip_prefix("home:") {
        return Ok(HostRef::Home(program.into()));
    }

    match story.hosts.iter().any(|(known, _)| &**known == name) {
        true => Ok(HostRef::Name(name.into())),
        false => Err(format!("there is no host `{name}`")),
    }
}

fn zone(story: &Story, name: &str) -> Result<Box<str>> {
    match story.hosts.iter().any(|(_, zone)| &**zone == name) {
        true => Ok(name.into()),
        false => Err(format!("there is no zone `{name}`")),
    }
}
