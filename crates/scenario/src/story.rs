//! The scenario language: one story a file, one statement a line, `#` begins a comment.

mod lines;
mod words;

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use crate::declared::TenantSpec;
use crate::world::faults::{PlatformMode, TargetMode, Trap};

/// A story.
#[derive(Clone, Debug, Default)]
pub struct Story {
    /// The hosts, as name and zone; a host's zone is its name without the digits.
    pub hosts: Vec<(Box<str>, Box<str>)>,
    /// The tenants; one that nothing holds back if none is declared.
    pub tenants: Vec<TenantSpec>,
    /// What happens, by time.
    pub(crate) steps: Vec<Step>,
    /// When it ends.
    pub until: Duration,
    /// What is to hold in the end.
    pub(crate) expectations: Vec<Expectation>,
}

impl Story {
    /// Returns the zones of all hosts.
    pub fn zones(&self) -> BTreeSet<Box<str>> {
        self.hosts.iter().map(|(_, zone)| zone.clone()).collect()
    }
}

/// Something that happens at a time.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    /// When, after the fleet has come up.
    pub at: Duration,
    /// What.
    pub command: Command,
}

/// A host by name, or the home of a program at that time.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum HostRef {
    /// The host with this name.
    Name(Box<str>),
    /// The home of the program with this name.
    Home(Box<str>),
}

/// A call of a program.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CallSpec {
    /// The program's name.
    pub program: Box<str>,
    /// The idempotency key.
    pub key: Box<str>,
    /// The last call seen; what the program's callers saw so far if left out.
    pub after: Option<u32>,
    /// The target's name in the template.
    pub target: Box<str>,
    /// The caller's key.
    pub with: Box<str>,
    /// A word that the input holds.
    pub input: Box<str>,
}

/// A caller that makes one call after the other, and repeats what was refused elsewhere.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct DriveSpec {
    /// The first call; later ones have a number after its key.
    pub call: CallSpec,
    /// How many calls.
    pub count: u32,
    /// The hosts, in turn.
    pub via: Vec<Box<str>>,
    /// The pause after an answer.
    pub every: Duration,
    /// Whether a refused call is given up, and the next one made.
    pub drop: bool,
}

/// What happens.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// A program is opened.
    Open { program: Box<str>, host: HostRef, tenant: Box<str>, with: Box<str>, deadline: Duration },
    /// A call is made.
    Call { call: CallSpec, host: HostRef },
    /// A caller starts a row of calls.
    Drive(DriveSpec),
    /// The callers of a call go away.
    Leave { key: Box<str> },
    /// A host is killed.
    Kill(HostRef),
    /// A killed host starts anew.
    Restart(HostRef),
    /// A host is stopped.
    Pause(HostRef, Option<Duration>),
    /// A stopped host goes on.
    Resume(HostRef),
    /// A host is told to leave.
    Drain(HostRef),
    /// Two zones, or a zone and the platform, are cut from each other.
    Cut(Box<str>, Box<str>),
    /// All cuts are healed.
    Heal,
    /// The platform treats a zone, or all, like this.
    Platform(Option<Box<str>>, PlatformMode),
    /// Targets treat what they get like this.
    Target(Box<str>, TargetMode),
    /// The next host that reaches a step is harmed.
    Trap(Trap),
    /// A configuration is published.
    Publish { name: Box<str>, host: HostRef, base: u64, leave: Option<Box<str>> },
    /// A key is withdrawn.
    Withdraw { key: Box<str>, host: HostRef },
}

/// An answer that a story allows.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum AnswerSpec {
    /// The call ran.
    Called,
    /// None came.
    Missing,
    /// A refusal that says this of whether it ran.
    Ran(Box<str>),
    /// A refusal for this reason.
    Refused(Box<str>),
}

/// What is to hold in the end.
#[derive(Clone, Debug)]
pub(crate) struct Expectation {
    /// The line in the file.
    pub line: usize,
    /// What.
    pub what: Expect,
}

/// What is to hold in the end.
#[derive(Clone, Debug)]
pub(crate) enum Expect {
    /// A plain service ran a call at least and at most this often.
    Runs { key: Box<str>, least: u32, most: u32 },
    /// A request for a call, by its place among them, got one of these answers.
    Answer { key: Box<str>, place: Option<usize>, allowed: Vec<AnswerSpec> },
    /// A program's history is in order, with this many calls if given.
    Order { program: Box<str>, length: Option<usize> },
    /// A row of calls came to its end.
    Driven { program: Box<str> },
    /// A version is in force at all living hosts but these, this soon after the first.
    Config { version: u64, within: Duration, except: Vec<Box<str>> },
    /// A version, or a later one, is in force at a host by this time.
    ConfigAt { version: u64, host: Box<str>, by: Duration },
    /// A publication was answered like this.
    Published { name: Box<str>, answer: Box<str> },
    /// Nothing is sent for a key this long after its withdrawal, but by these hosts.
    Withdrawn { key: Box<str>, within: Duration, except: Vec<Box<str>> },
    /// Nothing is sent to a target after this time.
    Idle { target: Box<str>, after: Duration },
    /// Something was sent to a target before this time.
    Busy { target: Box<str>, before: Duration },
    /// A tenant stays within its rate and burst, and at least this many calls are admitted.
    Rate { tenant: Box<str>, least: usize },
    /// A host has left by this time.
    Left { host: Box<str> },
}

/// A line that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The file.
    pub file: Box<str>,
    /// The line; the first is 1.
    pub line: usize,
    /// What is wrong with it.
    pub reason: Box<str>,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.reason)
    }
}

impl std::error::Error for Error {}

/// The result of reading a story.
pub type Result<T> = std::result::Result<T, Error>;

/// Reads a story.
///
/// ```
/// use camphorwalk_scenario::story::parse;
/// let story = parse("x.txt", "hosts a1 b1\nat 1s kill a1\nuntil 5s\n").unwrap();
/// assert_eq!(story.hosts.len(), 2);
///
/// let error = parse("x.txt", "hosts a1\nat 1s kill b1\nuntil 5s\n").unwrap_err();
/// assert_eq!(error.to_string(), "x.txt:2: there is no host `b1`");
/// ```
pub fn parse(file: &str, text: &str) -> Result<Story> {
    let mut story = Story::default();

    for (index, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("");
        let error =
            |reason: String| Error { file: file.into(), line: index + 1, reason: reason.into() };
        lines::read(&mut story, index + 1, line).map_err(error)?;
    }
    if story.hosts.is_empty() || story.until.is_zero() {
        let reason = "a story needs `hosts` and `until`".into();
        return Err(Error { file: file.into(), line: text.lines().count(), reason });
    }
    if story.tenants.is_empty() {
        story.tenants.push(TenantSpec::default());
    }
    story.steps.sort_by_key(|step| step.at);

    Ok(story)
}
