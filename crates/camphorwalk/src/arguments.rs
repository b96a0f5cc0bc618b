//! Parses the command lines of both programs.

use std::net::SocketAddr;
use std::process;
use std::time::Duration;

use argh::TopLevelCommand;

use crate::exit::Exit;
use crate::output;

/// Parses the command line of this process.
///
/// On `--help`, prints the help text and exits with 0. On a usage error, prints the error and
/// exits with 2. `argh` alone would exit with 1, which here means that a request was refused.
pub fn from_env<T: TopLevelCommand>() -> T {
    let words: Vec<String> =
        std::env::args_os().map(|word| word.to_string_lossy().into_owned()).collect();

    parse(&words).unwrap_or_else(|(text, exit)| {
        if exit == Exit::Done {
            output::line(&text)
        } else {
            eprintln!("{text}")
        }
        process::exit(exit.code().into())
    })
}

/// Parses a command line. If the process should exit instead of running a command, returns the
/// text to print and the exit code.
///
/// ```
/// use argh::FromArgs;
/// use camphorwalk::arguments::parse;
/// use camphorwalk::exit::Exit;
///
/// /// Greets.
/// #[derive(FromArgs, Debug)]
/// struct Greet {
///     /// who
///     #[argh(positional)]
///     name: String,
/// }
///
/// let greet: Greet = parse(&["greet".into(), "world".into()]).unwrap();
/// assert_eq!(greet.name, "world");
/// assert_eq!(parse::<Greet>(&["greet".into()]).unwrap_err().1, Exit::Usage);
/// ```
pub fn parse<T: TopLevelCommand>(words: &[String]) -> Result<T, (String, Exit)> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let (command, rest) = words.split_first().unwrap_or((&"camphorwalk", &[]));
    let name = command.rsplit('/').next().unwrap_or(command);

    T::from_args(&[name], rest).map_err(|early| {
        let exit = if early.status.is_ok() { Exit::Done } else { Exit::Usage };
        (early.output.trim_end().to_owned(), exit)
    })
}

/// Parses the value of a duration option: a whole number with the unit `ms` or `s`.
///
/// ```
/// use std::time::Duration;
/// use camphorwalk::arguments::duration;
/// assert_eq!(duration("250ms"), Ok(Duration::from_millis(250)));
/// assert_eq!(duration("10s"), Ok(Duration::from_secs(10)));
/// assert!(duration("10").is_err());
/// ```
pub fn duration(text: &str) -> Result<Duration, String> {
    let parsed = match text.strip_suffix("ms") {
        Some(number) => number.parse().map(Duration::from_millis).ok(),
        None => text.strip_suffix('s').and_then(|n| n.parse().map(Duration::from_secs).ok()),
    };

    parsed.ok_or_else(|| "expected a duration such as 250ms or 10s".to_owned())
}

/// Parses the value of an address option: an IP address and port. A leading `http://` and a
/// trailing slash are ignored, so that an address can be copied from the output of a host.
///
/// ```
/// use camphorwalk::arguments::address;
/// assert_eq!(address("http://127.0.0.1:7201/"), address("127.0.0.1:7201"));
/// assert!(address("host:7201").is_err());
/// ```
pub fn address(text: &str) -> Result<SocketAddr, String> {
    let plain = text.strip_prefix("http://").unwrap_or(text).trim_end_matches('/');

    plain.parse().map_err(|_| "expected an IP address and port, such as 127.0.0.1:7201".to_owned())
}
