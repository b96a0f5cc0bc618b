//! The settings of a host, read from one JSON file.

mod reader;

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use camphorwalk_policy::scheduler::SchedulerTimes;

use self::reader::Reader;
use crate::errors::{Error, Result, unreadable};

/// The default for the largest body of a request: 1 MiB.
pub const DEFAULT_BODY_BYTES: usize = 1 << 20;

/// The default for how many requests a host may have open at a time.
pub const DEFAULT_OPEN_REQUESTS: usize = 8_192;

/// The default number of tokio threads for traffic.
const DEFAULT_TRAFFIC_THREADS: usize = 2;

/// The settings of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The host's name, unique in the fleet.
    pub name: Box<str>,
    /// The name of the host's availability zone, as declared in `fleet.json`.
    pub zone: Box<str>,
    /// The listen address of the API for callers.
    pub callers_address: SocketAddr,
    /// The listen address of the API for operators.
    pub operators_address: SocketAddr,
    /// The path of the file with the operators' key.
    pub operator_key_file: PathBuf,
    /// The listen address for connections from peers.
    pub peers_address: SocketAddr,
    /// The path of the file with the secret that all hosts of the fleet share: 64 hexadecimal
    /// digits.
    pub fleet_secret_file: PathBuf,
    /// How the host connects to the platform.
    pub platform: PlatformSettings,
    /// Limits on requests of callers.
    pub limits: Limits,
    /// Intervals and timeouts of the scheduler.
    pub times: SchedulerTimes,
    /// How long a host that shuts down still accepts requests, so that the load balancer can notice
    /// that the readiness check fails.
    pub drain_delay: Duration,
    /// The number of tokio threads for traffic, not counting the control thread.
    pub traffic_threads: usize,
    /// Format and level of the log.
    pub log: LogSettings,
}

/// Connection settings and rate limits for the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// The platform's address.
    pub address: SocketAddr,
    /// The longest wait of an attempt for the response head, and then for each piece of the body.
    /// A whole body may take ten times as long.
    pub request_timeout: Duration,
    /// How many reads per second this host may make.
    pub reads_per_second: f64,
    /// How many writes per second this host may make.
    pub writes_per_second: f64,
}

/// Limits on the requests that a host accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// How many requests may be open at a time.
    pub open_requests: usize,
}

/// Format and level of a host's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Whether each log line is a JSON object instead of plain text.
    pub json: bool,
    /// The lowest severity that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: Box<str>,
}

impl Default for Limits {
    fn default() -> Self {
        Self { body_bytes: DEFAULT_BODY_BYTES, open_requests: DEFAULT_OPEN_REQUESTS }
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { json: false, level: "info".into() }
    }
}

/// A setting that is missing, unknown or has an invalid value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// The path of the setting, such as `platform.address`.
    pub path: Box<str>,
    /// What is wrong, for a human reader.
    pub reason: Box<str>,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

impl Settings {
    /// Reads the settings from a file.
    ///
    /// Relative paths in it are resolved against the folder of the settings file.
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|source| unreadable(path, source))?;
        let mut settings = Self::parse(&text)?;

        let folder = path.parent().unwrap_or(Path::new("."));
        settings.operator_key_file = folder.join(&settings.operator_key_file);
        settings.fleet_secret_file = folder.join(&settings.fleet_secret_file);

        Ok(settings)
    }

    /// Reads the settings from a text, and reports all faults at once.
    ///
    /// ```
    /// use camphorwalk_node::Settings;
    ///
    /// let faults = Settings::parse(r#"{"name": "a1", "zone": 7, "colour": "red"}"#).unwrap_err();
    /// let text = faults.to_string();
    /// assert!(text.contains("zone: a text is expected"));
    /// assert!(text.contains("colour: there is no such setting"));
    /// assert!(text.contains("callers: it is missing"));
    /// ```
    pub fn parse(text: &str) -> Result<Self> {
        let mut faults = Vec::new();
        let settings = read(text, &mut faults);

        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => Err(Error::Settings(faults)),
        }
    }
}

fn read(text: &str, faults: &mut Vec<SettingsFault>) -> Option<Settings> {
    let mut r = Reader::new(text, faults)?;

    let name = r.text("name");
    let zone = r.text("zone");
    let callers = r.address("callers");
    let operators = r.address("operators");
    let operator_key_file = r.text("operator_key_file");
    let peers = r.address("peers");
    let fleet_secret_file = r.text("fleet_secret_file");
    let platform = r.section("platform", read_platform);
    let limits = r.section("limits", read_limits);
    let times = r.section("times", read_times);
    let log = r.section("log", read_log);
    let drain_delay = r.duration_or("drain_delay", Duration::from_secs(5));
    let traffic_threads = r.count_or("traffic_threads", DEFAULT_TRAFFIC_THREADS);
    if let (Some(Some(platform)), Some(times)) = (&platform, &times) {
        check_write_share(&mut r, platform, times);
    }
    r.finish();

    Some(Settings {
        name: name?,
        zone: zone?,
        callers_address: callers?,
        operators_address: operators?,
        operator_key_file: PathBuf::from(&*operator_key_file?),
        peers_address: peers?,
        fleet_secret_file: PathBuf::from(&*fleet_secret_file?),
        platform: platform??,
        limits: limits?,
        times: times?,
        drain_delay,
        traffic_threads,
        log: log?,
    })
}

fn read_platform(r: &mut Reader<'_>) -> Option<PlatformSettings> {
    let address = r.address("address");
    let request_timeout = r.duration_or("deadline", Duration::from_secs(1));
    let reads_per_second = r.rate_or("reads_per_second", 100.0);
    let writes_per_second = r.rate_or("writes_per_second", 40.0);

    Some(PlatformSettings {
        address: address?,
        request_timeout,
        reads_per_second,
        writes_per_second,
    })
}

/// The fraction of a host's platform writes that the journal may use. The rest is for renewing
/// sessions and leases and for publishing configurations.
const MAX_JOURNAL_FRACTION: f64 = 0.9;

/// Checks that the journal alone cannot use up the writes per second that this host may make.
///
/// Otherwise the host would run into its own rate limit, and would report to callers that the
/// platform is unavailable although it works.
fn check_write_share(r: &mut Reader<'_>, platform: &PlatformSettings, times: &SchedulerTimes) {
    let writes = 1.0 / times.commit_interval.as_secs_f64();

    if writes > platform.writes_per_second * MAX_JOURNAL_FRACTION {
        let reason = format!(
            "it leads to {writes:.0} writes a second; platform.writes_per_second must be more \
             than a tenth above that"
        );
        r.report("times.commit_interval", &reason);
    }
}

fn read_limits(r: &mut Reader<'_>) -> Limits {
    Limits {
        body_bytes: r.count_or("body_bytes", DEFAULT_BODY_BYTES),
        open_requests: r.count_or("open_requests", DEFAULT_OPEN_REQUESTS),
    }
}

fn read_times(r: &mut Reader<'_>) -> SchedulerTimes {
    let default = SchedulerTimes::default();

    SchedulerTimes {
        session_lifetime: r.duration_or("session_lifetime", default.session_lifetime),
        session_renewal: r.duration_or("session_renewal", default.session_renewal),
        lease_poll: r.duration_or("lease_poll", default.lease_poll),
        config_poll: r.duration_or("config_poll", default.config_poll),
        gossip_period: r.duration_or("gossip_period", default.gossip_period),
        suspect_after: r.duration_or("suspect_after", default.suspect_after),
        commit_interval: r.duration_or("commit_interval", default.commit_interval),
    }
}

fn read_log(r: &mut Reader<'_>) -> LogSettings {
    LogSettings {
        json: r.flag_or("json", false),
        level: r.choice_or("level", &["error", "warn", "info", "debug", "trace"], "info"),
    }
}
