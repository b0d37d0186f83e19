//! Values of the policy file: durations, shares, rates, numbers.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use strum::VariantNames;

use crate::call::Priority;

/// Longest timeout or latency bound.
pub const MAX_DURATION: Duration = Duration::from_secs(600);

/// Most spare attempts that a rule may allow a request.
pub const MAX_RETRIES: u32 = 10;

/// Most slots or connections of an endpoint.
pub const MAX_CAPACITY: u32 = 1_000_000;

/// Largest byte budget of a link, in bytes per second.
pub const MAX_BYTES_PER_SECOND: u64 = 1_000_000_000_000;

/// Longest path of a rule, in bytes.
pub const MAX_PATH_BYTES: usize = 512;

/// Longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Methods that a rule may name.
pub const METHODS: [&str; 9] = [
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE", "*",
];

const YES_NO: [&str; 2] = ["yes", "no"];

/// Parts per million.
const WHOLE: u32 = 1_000_000;

/// Parts per million in one percent.
const PERCENT: u32 = WHOLE / 100;

/// Digits after the point that a percentage may have.
const PERCENT_DIGITS: usize = 4;

const DURATION_UNITS: [(&str, u64); 3] = [("ms", 1), ("s", 1000), ("m", 60_000)];

/// Units of a rate, each with its bytes per second as a fraction.
const RATE_UNITS: [(&str, u64, u64); 6] = [
    ("kbit/s", 1000, 8),
    ("Mbit/s", 1_000_000, 8),
    ("KB/s", 1000, 1),
    ("MB/s", 1_000_000, 1),
    ("GB/s", 1_000_000_000, 1),
    ("B/s", 1, 1),
];

/// A share of a whole, in parts per million.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Share(u32);

impl Share {
    /// Nothing.
    pub const ZERO: Share = Share(0);

    /// Everything.
    pub const WHOLE: Share = Share(WHOLE);

    /// Builds a share from parts per million, at most the whole.
    pub fn from_ppm(ppm: u32) -> Share {
        Share(ppm.min(WHOLE))
    }

    /// Returns the share in parts per million.
    pub fn ppm(self) -> u32 {
        self.0
    }

    /// Returns the share as a number from 0 to 1.
    pub fn as_f64(self) -> f64 {
        f64::from(self.0) / f64::from(WHOLE)
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = format!("{}.{:04}", self.0 / PERCENT, self.0 % PERCENT);
        let text = text.trim_end_matches('0').trim_end_matches('.');
        write!(f, "{text}%")
    }
}

/// What may stand in place of a value that was not accepted.
#[derive(Debug)]
pub(super) struct Allowed {
    /// The description that follows `found ...` in an error.
    pub(super) text: String,
    /// The accepted words, where they can be listed.
    pub(super) names: &'static [&'static str],
}

fn allowed(text: &str) -> Allowed {
    Allowed {
        text: format!("allowed: {text}"),
        names: &[],
    }
}

fn one_of(names: &'static [&'static str]) -> Allowed {
    Allowed {
        text: format!("allowed: {}", names.join(", ")),
        names,
    }
}

/// Reads a duration such as `800ms`, `2s` or `1m`.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let (number, unit) = split_unit(text);
    let (_, millis) = DURATION_UNITS.iter().find(|(name, _)| *name == unit)?;
    let millis = whole_number(number)?.checked_mul(*millis)?;
    Some(Duration::from_millis(millis))
}

pub(super) fn duration(text: &str) -> Result<Duration, Allowed> {
    parse_duration(text)
        .filter(|d| !d.is_zero() && *d <= MAX_DURATION)
        .ok_or_else(|| allowed("a whole number of ms, s or m from 1ms to 10m"))
}

/// Writes a duration as [`parse_duration`] reads it.
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

/// Reads a rate such as `30Mbit/s`, in bytes per second.
pub(super) fn rate(text: &str) -> Result<u64, Allowed> {
    let read = || {
        let (number, unit) = split_unit(text);
        let (_, times, parts) = RATE_UNITS.iter().find(|(name, _, _)| *name == unit)?;
        let bytes = whole_number(number)?.checked_mul(*times)? / parts;
        Some(bytes).filter(|bytes| (1..=MAX_BYTES_PER_SECOND).contains(bytes))
    };
    read().ok_or_else(|| {
        allowed("a whole number of B/s, KB/s, MB/s, GB/s, kbit/s or Mbit/s from 1B/s to 1000GB/s")
    })
}

/// Reads a percentage such as `99.9%`.
pub(super) fn share(text: &str) -> Result<Share, Allowed> {
    percentage(text).ok_or_else(|| {
        allowed("a percentage from 0% to 100% with at most four digits after the point")
    })
}

/// Reads the objective of a service level: a percentage that leaves some calls to fail.
pub(super) fn objective(text: &str) -> Result<Share, Allowed> {
    percentage(text)
        .filter(|share| *share > Share::ZERO && *share < Share::WHOLE)
        .ok_or_else(|| allowed("a percentage above 0% and below 100%, such as 99.9%"))
}

fn percentage(text: &str) -> Option<Share> {
    let number = text.strip_suffix('%')?;
    let (whole, fraction) = number.split_once('.').unwrap_or((number, "0"));
    if fraction.len() > PERCENT_DIGITS {
        return None;
    }
    let whole = whole_number(whole).filter(|n| *n <= 100)? as u32;
    let fraction = whole_number(&format!("{fraction:0<PERCENT_DIGITS$}"))? as u32;
    Some(whole * PERCENT + fraction)
        .filter(|ppm| *ppm <= WHOLE)
        .map(Share)
}

/// Reads `yes` or `no`.
pub(super) fn yes_no(text: &str) -> Result<bool, Allowed> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err(one_of(&YES_NO)),
    }
}

/// Reads a priority.
pub(super) fn priority(text: &str) -> Result<Priority, Allowed> {
    Priority::from_str(text).map_err(|_| one_of(Priority::VARIANTS))
}

/// Reads a number of spare attempts.
pub(super) fn retries(text: &str) -> Result<u32, Allowed> {
    number_between(text, 0, MAX_RETRIES)
}

/// Reads a number of slots or connections.
pub(super) fn capacity(text: &str) -> Result<u32, Allowed> {
    number_between(text, 1, MAX_CAPACITY)
}

fn number_between(text: &str, least: u32, most: u32) -> Result<u32, Allowed> {
    whole_number(text)
        .and_then(|n| u32::try_from(n).ok())
        .filter(|n| (least..=most).contains(n))
        .ok_or_else(|| allowed(&format!("a whole number from {least} to {most}")))
}

/// Reads an HTTP method.
pub(super) fn method(text: &str) -> Result<String, Allowed> {
    if METHODS.contains(&text) {
        return Ok(text.to_owned());
    }
    Err(one_of(&METHODS))
}

/// Reads the path of a rule.
pub(super) fn path(text: &str) -> Result<String, Allowed> {
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

/// Returns whether a text may name a rule, service, instance, region or failure domain.
pub fn is_name(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len())
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}

/// Describes what [`is_name`] accepts.
pub fn name_syntax() -> String {
    format!("1 to {MAX_NAME_BYTES} letters a-z or A-Z, digits, `-`, `_` or `.`")
}

/// Reads a name of a rule, service or region.
pub(super) fn name(text: &str) -> Result<&str, Allowed> {
    if is_name(text) {
        return Ok(text);
    }
    Err(allowed(&name_syntax()))
}

/// Splits a text after its leading digits.
pub fn split_unit(text: &str) -> (&str, &str) {
    let end = text.find(|c: char| !c.is_ascii_digit());
    text.split_at(end.unwrap_or(text.len()))
}

/// Reads a number of digits only.
pub fn whole_number(text: &str) -> Option<u64> {
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    digits.then(|| text.parse().ok())?
}
