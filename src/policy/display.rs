//! Writes a policy as the text that it could have been read from.

use std::fmt;

use super::CallRule;
use super::LinkRule;
use super::Policy;
use super::ServiceRule;
use super::SloRule;
use super::value::format_duration;

impl fmt::Display for CallRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} = {} {} {} priority={} idempotent={} timeout={}",
            self.name,
            self.method,
            self.service,
            self.path,
            self.priority,
            yes_no(self.idempotent),
            format_duration(self.timeout),
        )?;
        if let Some(retries) = self.retries {
            write!(f, " retries={retries}")?;
        }
        if self.cross_region {
            f.write_str(" cross-region=yes")?;
        }
        write!(f, "  # {}", self.requester)
    }
}

impl fmt::Display for ServiceRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} = slots={} connections={}  # {}",
            self.service, self.slots, self.connections, self.requester
        )
    }
}

impl fmt::Display for LinkRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} = {} {} rate={}B/s reserved={}  # {}",
            self.name, self.from, self.to, self.bytes_per_second, self.reserved, self.requester
        )
    }
}

impl fmt::Display for SloRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} = {} {} objective={} latency={}  # {}",
            self.name,
            self.service,
            self.priority,
            self.objective,
            format_duration(self.latency),
            self.requester
        )
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        section(f, "calls", &self.calls)?;
        section(f, "services", &self.services)?;
        section(f, "links", &self.links)?;
        section(f, "slo", &self.slos)
    }
}

fn section<T>(f: &mut fmt::Formatter<'_>, name: &str, rules: &[T]) -> fmt::Result
where
    T: fmt::Display,
{
    if rules.is_empty() {
        return Ok(());
    }
    writeln!(f, "[{name}]")?;
    rules.iter().try_for_each(|rule| writeln!(f, "{rule}"))
}

fn yes_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}
