//! The scenario language: one scenario per file, one statement per line, `#` starts a comment.

mod lines;
mod words;

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use crate::fleet_config::TenantSpec;
use crate::world::faults::{FaultInjection, PlatformMode, TargetMode};

/// A parsed scenario.
#[derive(Clone, Debug, Default)]
pub struct Scenario {
    /// The hosts, as name and zone. The zone is the host's name without trailing digits.
    pub hosts: Vec<(Box<str>, Box<str>)>,
    /// The tenants. If none is declared, there is one with a rate that limits nothing.
    pub tenants: Vec<TenantSpec>,
    /// The timed commands, in order of time.
    pub(crate) steps: Vec<Step>,
    /// When the scenario ends, counted from its start.
    pub until: Duration,
    /// What must be true at the end.
    pub(crate) expectations: Vec<Expectation>,
}

impl Scenario {
    /// Returns the zones of all hosts.
    pub fn zones(&self) -> BTreeSet<Box<str>> {
        self.hosts.iter().map(|(_, zone)| zone.clone()).collect()
    }
}

/// A command with its time.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    /// When to execute it, counted from the end of the fleet's start-up.
    pub at: Duration,
    /// The command to execute.
    pub command: Command,
}

/// A host by name, or the current home of a program (the host that holds its state).
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum HostRef {
    /// The host with this name.
    Name(Box<str>),
    /// The home of the program with this name, when the command is executed.
    Home(Box<str>),
}

/// A call of a program.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CallSpec {
    /// The program's name.
    pub program: Box<str>,
    /// The idempotency key.
    pub key: Box<str>,
    /// The number of the last call that the caller has seen; if `None`, the last one answered to
    /// the program's callers.
    pub after: Option<u32>,
    /// The target's name in the template.
    pub target: Box<str>,
    /// The name of the caller's API key.
    pub api_key: Box<str>,
    /// A word that the input contains.
    pub input: Box<str>,
}

/// A caller that makes calls one after the other and retries refused calls at the next host.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SequenceSpec {
    /// The template of all calls; `-1`, `-2` and so on is appended to its key.
    pub call: CallSpec,
    /// How many calls to make.
    pub count: u32,
    /// The hosts, used in rotation.
    pub via: Vec<Box<str>>,
    /// The pause after each answer.
    pub interval: Duration,
    /// Whether to give up a refused call and make the next one, instead of retrying it.
    pub skip_refused: bool,
}

/// An action of a scenario.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// A caller opens a program.
    Open {
        program: Box<str>,
        host: HostRef,
        tenant: Box<str>,
        api_key: Box<str>,
        deadline: Duration,
    },
    /// A caller makes a call.
    Call { call: CallSpec, host: HostRef },
    /// A caller starts a sequence of calls.
    CallSequence(SequenceSpec),
    /// The callers of a call disconnect.
    DisconnectCallers { key: Box<str> },
    /// Kills a host's process.
    Kill(HostRef),
    /// Restarts a killed host.
    Restart(HostRef),
    /// Stops a host's process, for a given time or until it is resumed.
    Pause(HostRef, Option<Duration>),
    /// Resumes a stopped host.
    Resume(HostRef),
    /// Asks a host to shut down gracefully.
    Drain(HostRef),
    /// Starts a network partition between two zones, or between a zone and the platform.
    NetworkPartition(Box<str>, Box<str>),
    /// Ends all network partitions.
    Heal,
    /// Sets the platform's behavior towards a zone, or towards all zones.
    Platform(Option<Box<str>>, PlatformMode),
    /// Sets the behavior of the targets whose names start with a prefix.
    Target(Box<str>, TargetMode),
    /// Injects a fault into the next host that reaches a step of a call.
    InjectFault(FaultInjection),
    /// An operator publishes a configuration.
    Publish { name: Box<str>, host: HostRef, base: u64, leaving_target: Option<Box<str>> },
    /// An operator withdraws an API key.
    Withdraw { key: Box<str>, host: HostRef },
}

/// An answer that an expectation allows.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum AnswerSpec {
    /// The call ran and its output was returned.
    Called,
    /// There was no answer.
    Missing,
    /// A refusal with this value of `ran`.
    Ran(Box<str>),
    /// A refusal with this code.
    Refused(Box<str>),
}

/// An expectation with its position in the file.
#[derive(Clone, Debug)]
pub(crate) struct Expectation {
    /// The line number in the file.
    pub line: usize,
    /// The expectation itself.
    pub expected: Expect,
}

/// What must be true at the end of a scenario.
#[derive(Clone, Debug)]
pub(crate) enum Expect {
    /// A plain service ran a call at least `min` and at most `max` times.
    Runs { key: Box<str>, min: u32, max: u32 },
    /// A request for a call got one of these answers. `position` selects the request, counted from
    /// 1; the last one if `None`.
    Answer { key: Box<str>, position: Option<usize>, allowed: Vec<AnswerSpec> },
    /// A program's history is in order, and has this many calls if a number is given.
    Order { program: Box<str>, length: Option<usize> },
    /// All call sequences of a program are completed.
    SequenceCompleted { program: Box<str> },
    /// A version, or a later one, is in force at all running hosts but the excepted ones, within
    /// this time after the first host adopted it, or after its own last start if that was later.
    Config { version: u64, within: Duration, except: Vec<Box<str>> },
    /// A version, or a later one, is in force at a host by this time.
    ConfigAt { version: u64, host: Box<str>, by: Duration },
    /// A publication got this answer.
    Published { name: Box<str>, answer: Box<str> },
    /// No call is sent with a key once this time has passed since its withdrawal, except by these
    /// hosts.
    Withdrawn { key: Box<str>, within: Duration, except: Vec<Box<str>> },
    /// No call is sent to a target after this time.
    Idle { target: Box<str>, after: Duration },
    /// Some call was sent to a target before this time.
    Busy { target: Box<str>, before: Duration },
    /// A tenant stays within its rate and burst, and at least this many of its calls are admitted.
    Rate { tenant: Box<str>, min: usize },
    /// The process of a host has ended.
    ProcessEnded { host: Box<str> },
}

/// A syntax error in a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The file's name.
    pub file: Box<str>,
    /// The line number, from 1.
    pub line: usize,
    /// Why the line is invalid.
    pub reason: Box<str>,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.reason)
    }
}

impl std::error::Error for Error {}

/// The result of parsing a scenario.
pub type Result<T> = std::result::Result<T, Error>;

/// Parses a scenario. `file` is its name in error messages.
///
/// ```
/// use camphorwalk_scenario::language::parse;
/// let scenario = parse("x.txt", "hosts a1 b1\nat 1s kill a1\nuntil 5s\n").unwrap();
/// assert_eq!(scenario.hosts.len(), 2);
///
/// let error = parse("x.txt", "hosts a1\nat 1s kill b1\nuntil 5s\n").unwrap_err();
/// assert_eq!(error.to_string(), "x.txt:2: there is no host `b1`");
/// ```
pub fn parse(file: &str, text: &str) -> Result<Scenario> {
    let mut scenario = Scenario::default();

    for (index, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("");
        let error =
            |reason: String| Error { file: file.into(), line: index + 1, reason: reason.into() };
        lines::read(&mut scenario, index + 1, line).map_err(error)?;
    }
    if scenario.hosts.is_empty() || scenario.until.is_zero() {
        let reason = "a story needs `hosts` and `until`".into();
        return Err(Error { file: file.into(), line: text.lines().count(), reason });
    }
    if scenario.tenants.is_empty() {
        scenario.tenants.push(TenantSpec::default());
    }
    scenario.steps.sort_by_key(|step| step.at);

    Ok(scenario)
}
