//! Reads the resident memory of this process.

/// Returns the resident memory in bytes, or 0 if the system has no `/proc/self/status`.
pub fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let kilobytes = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().strip_suffix("kB"))
        .and_then(|number| number.trim().parse::<u64>().ok());

    kilobytes.unwrap_or(0) * 1024
}
