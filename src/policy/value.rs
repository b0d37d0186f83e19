//! Parsers and limits for the values of a policy file: durations, shares, rates and numbers.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use strum::VariantNames;

use crate::call::Priority;

/// Maximum timeout or latency threshold.
pub const MAX_DURATION: Duration = Duration::from_secs(600);

/// Maximum value of `retries`.
pub const MAX_RETRIES: u32 = 10;

/// Maximum slots or connections of an endpoint.
pub const MAX_CAPACITY: u32 = 1_000_000;

/// Maximum byte budget of a link, in bytes per second.
pub const MAX_BYTES_PER_SECOND: u64 = 1_000_000_000_000;

/// Maximum length of a rule's path, in bytes.
pub const MAX_PATH_BYTES: usize = 512;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// HTTP methods that a rule accepts; `*` matches any method.
pub const METHODS: [&str; 9] = [
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE", "*",
];

const YES_NO: [&str; 2] = ["yes", "no"];

/// Parts per million in a whole (100%).
const PPM_PER_WHOLE: u32 = 1_000_000;

/// Parts per million in one percent.
const PPM_PER_PERCENT: u32 = PPM_PER_WHOLE / 100;

/// Maximum number of decimal places in a percentage; four resolve one part per million.
const MAX_PERCENT_DECIMALS: usize = 4;

/// Duration units and their length in milliseconds.
const DURATION_UNITS: [(&str, u64); 3] = [("ms", 1), ("s", 1000), ("m", 60_000)];

/// Rate units, each with the numerator and denominator of its size in bytes per second.
const RATE_UNITS: [(&str, u64, u64); 6] = [
    ("kbit/s", 1000, 8),
    ("Mbit/s", 1_000_000, 8),
    ("KB/s", 1000, 1),
    ("MB/s", 1_000_000, 1),
    ("GB/s", 1_000_000_000, 1),
    ("B/s", 1, 1),
];

/// Fraction between 0 and 1, stored in parts per million.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Share(u32);

impl Share {
    /// 0%.
    pub const ZERO: Share = Share(0);

    /// 100%.
    pub const WHOLE: Share = Share(PPM_PER_WHOLE);

    /// Creates a share from parts per million; larger values are capped at 100%.
    pub fn from_ppm(ppm: u32) -> Share {
        Share(ppm.min(PPM_PER_WHOLE))
    }

    /// Returns the share in parts per million.
    pub fn ppm(self) -> u32 {
        self.0
    }

    /// Returns the share as a number from 0 to 1.
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / f64::from(PPM_PER_WHOLE)
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = format!(
            "{}.{:04}",
            self.0 / PPM_PER_PERCENT,
            self.0 % PPM_PER_PERCENT
        );
        let text = text.trim_end_matches('0').trim_end_matches('.');
        write!(f, "{text}%")
    }
}

/// Values that a parser accepts; returned as the error when it rejects its input.
#[derive(Debug)]
pub(super) struct AllowedValues {
    /// Description that follows `found ...` in the error message.
    pub(super) description: String,
    /// Accepted words, if the parser accepts a fixed list.
    pub(super) names: &'static [&'static str],
}

/// Describes allowed values that are not a fixed list of words.
fn allowed(description: &str) -> AllowedValues {
    AllowedValues {
        description: format!("allowed: {description}"),
        names: &[],
    }
}

/// Describes a fixed list of allowed words.
fn one_of(names: &'static [&'static str]) -> AllowedValues {
    AllowedValues {
        description: format!("allowed: {}", names.join(", ")),
        names,
    }
}

/// Parses a duration such as `800ms`, `2s` or `1m`. Returns `None` on a syntax error or overflow.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let (number, unit) = split_unit(text);
    let (_, millis) = DURATION_UNITS.iter().find(|(name, _)| *name == unit)?;
    let millis = parse_unsigned(number)?.checked_mul(*millis)?;
    Some(Duration::from_millis(millis))
}

/// Parses a duration between 1 ms and [`MAX_DURATION`].
pub(super) fn duration(text: &str) -> Result<Duration, AllowedValues> {
    parse_duration(text)
        .filter(|d| !d.is_zero() && *d <= MAX_DURATION)
        .ok_or_else(|| allowed("a whole number of ms, s or m from 1ms to 10m"))
}

/// Formats a duration, truncated to milliseconds, in the syntax of [`parse_duration`].
pub fn format_duration(value: Duration) -> String {
    let millis = value.as_millis();
    if millis > 0 && millis.is_multiple_of(60_000) {
        return format!("{}m", millis / 60_000);
    }
    if millis.is_multiple_of(1000) {
        return format!("{}s", millis / 1000);
    }
    format!("{millis}ms")
}

/// Parses a rate such as `30Mbit/s` into bytes per second, rounded down.
pub(super) fn rate(text: &str) -> Result<u64, AllowedValues> {
    let parse = || {
        let (number, unit) = split_unit(text);
        let (_, numerator, denominator) = RATE_UNITS.iter().find(|(name, _, _)| *name == unit)?;
        let bytes = parse_unsigned(number)?.checked_mul(*numerator)? / denominator;
        Some(bytes).filter(|bytes| (1..=MAX_BYTES_PER_SECOND).contains(bytes))
    };
    parse().ok_or_else(|| {
        allowed("a whole number of B/s, KB/s, MB/s, GB/s, kbit/s or Mbit/s from 1B/s to 1000GB/s")
    })
}

/// Parses a percentage such as `99.9%`.
pub(super) fn share(text: &str) -> Result<Share, AllowedValues> {
    percentage(text).ok_or_else(|| {
        allowed("a percentage from 0% to 100% with at most four digits after the point")
    })
}

/// Parses a service level objective: a percentage above 0% and below 100%, so that there is a
/// non-empty error budget.
pub(super) fn objective(text: &str) -> Result<Share, AllowedValues> {
    percentage(text)
        .filter(|share| *share > Share::ZERO && *share < Share::WHOLE)
        .ok_or_else(|| allowed("a percentage above 0% and below 100%, such as 99.9%"))
}

/// Parses a percentage from 0% to 100%, exact to one part per million.
fn percentage(text: &str) -> Option<Share> {
    let number = text.strip_suffix('%')?;
    let (whole, fraction) = number.split_once('.').unwrap_or((number, "0"));
    if fraction.len() > MAX_PERCENT_DECIMALS {
        return None;
    }
    let whole = parse_unsigned(whole).filter(|n| *n <= 100)? as u32;
    let fraction = parse_unsigned(&format!("{fraction:0<MAX_PERCENT_DECIMALS$}"))? as u32;
    Some(whole * PPM_PER_PERCENT + fraction)
        .filter(|ppm| *ppm <= PPM_PER_WHOLE)
        .map(Share)
}

/// Parses `yes` or `no`.
pub(super) fn yes_no(text: &str) -> Result<bool, AllowedValues> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(one_of(&YES_NO)),
    }
}

/// Parses a priority name.
pub(super) fn priority(text: &str) -> Result<Priority, AllowedValues> {
    Priority::from_str(text).map_err(|_| one_of(Priority::VARIANTS))
}

/// Parses a number of retries, at most [`MAX_RETRIES`].
pub(super) fn retries(text: &str) -> Result<u32, AllowedValues> {
    parse_in_range(text, 0, MAX_RETRIES)
}

/// Parses a number of slots or connections, from 1 to [`MAX_CAPACITY`].
pub(super) fn capacity(text: &str) -> Result<u32, AllowedValues> {
    parse_in_range(text, 1, MAX_CAPACITY)
}

/// Parses an unsigned integer within inclusive bounds.
fn parse_in_range(text: &str, min: u32, max: u32) -> Result<u32, AllowedValues> {
    parse_unsigned(text)
        .and_then(|n| u32::try_from(n).ok())
        .filter(|n| (min..=max).contains(n))
        .ok_or_else(|| allowed(&format!("a whole number from {min} to {max}")))
}

/// Parses one of [`METHODS`].
pub(super) fn method(text: &str) -> Result<String, AllowedValues> {
    if METHODS.contains(&text) {
        return Ok(text.to_owned());
    }
    Err(one_of(&METHODS))
}

/// Parses the path pattern of a rule: a path without query, optionally ending in `*`.
pub(super) fn path(text: &str) -> Result<String, AllowedValues> {
    let body = text.strip_suffix('*').unwrap_or(text);
    let valid = text.len() <= MAX_PATH_BYTES
        && body.starts_with('/')
        && body
            .bytes()
            .all(|b| b.is_ascii_graphic() && !b"*?".contains(&b));
    if valid {
        return Ok(text.to_owned());
    }
    Err(allowed(&format!(
        "a path from `/` of at most {MAX_PATH_BYTES} visible ASCII characters without a \
         query, with `*` only at its end"
    )))
}

/// Returns whether `text` is a valid name of a rule, service, instance, region or failure domain.
pub fn is_name(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len())
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}

/// Describes the names that [`is_name`] accepts, for error messages.
pub fn name_syntax() -> String {
    format!("1 to {MAX_NAME_BYTES} letters a-z or A-Z, digits, `-`, `_` or `.`")
}

/// Parses the name of a rule, service or region.
pub(super) fn name(text: &str) -> Result<&str, AllowedValues> {
    if is_name(text) {
        return Ok(text);
    }
    Err(allowed(&name_syntax()))
}

/// Splits `text` after its leading ASCII digits into number and unit.
pub fn split_unit(text: &str) -> (&str, &str) {
    let end = text.find(|c: char| !c.is_ascii_digit());
    text.split_at(end.unwrap_or(text.len()))
}

/// Parses an unsigned integer that consists of ASCII digits only; unlike `u64::from_str`, rejects a
/// leading `+`. Returns `None` on overflow.
pub fn parse_unsigned(text: &str) -> Option<u64> {
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    digits.then(|| text.parse().ok())?
}
