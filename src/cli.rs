//! The operator's command line.

use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use clap::Parser;
use clap::Subcommand;

use crate::coordination::call_options::CallOptions;
use crate::demo;
use crate::logs;
use crate::measure::MeasureArgs;
use crate::measure::run_measure;
use crate::operator_commands::ReportArgs;
use crate::operator_commands::StatusArgs;
use crate::operator_commands::run_report;
use crate::operator_commands::run_status;
use crate::policy::Policy;
use crate::policy::describe::explain;
use crate::policy::diff::diff;
use crate::policy::value::format_duration;
use crate::preview_command::PreviewArgs;
use crate::preview_command::run_preview;
use crate::story;
use crate::version_spread;

/// Overload control for service call graphs.
#[derive(Debug, Parser)]
#[command(name = "dragonflylead", version)]
pub struct Cli {
    /// Subcommand to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Subcommands of the command line.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a policy file and list all of its errors
    Check {
        /// Policy file
        file: PathBuf,
    },
    /// Show which rule applies to a call, and who requested the rule
    Explain {
        /// Policy file
        file: PathBuf,
        /// HTTP method, such as GET
        method: String,
        /// Service that is called
        service: String,
        /// Path, such as /charge
        path: String,
    },
    /// Show what a new policy file changes, and for which calls
    Diff {
        /// Policy file in force
        old: PathBuf,
        /// Policy file to compare with it
        new: PathBuf,
    },
    /// Show the timeline of one request from the log lines of several nodes, read from standard input
    Story {
        /// Request id, as the caller sent it
        id: String,
    },
    /// Show how long nodes went without each configuration, from their log lines, read from standard input
    Versions {
        /// Longest time in milliseconds from the first node to the last one
        #[arg(long, default_value_t = 3_000)]
        limit_ms: u64,
    },
    /// Demonstrate a load surge and the recovery from it, with nodes on loopback in this process
    Demo,
    /// Show where a running node would send a request now, and why, without sending it
    Preview(PreviewArgs),
    /// Show a summary of the state of running nodes
    Status(StatusArgs),
    /// Show how fast error budgets burn, and whether an operator has to act
    Report(ReportArgs),
    /// Measure overload policies side by side, with real nodes on loopback
    Measure(MeasureArgs),
}

/// Result of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command found no problem; exit code 0.
    Success,
    /// The command reported a problem; exit code 1.
    Failure,
}

impl Exit {
    /// Returns the exit code of the process.
    pub fn code(self) -> u8 {
        match self {
            Exit::Success => 0,
            Exit::Failure => 1,
        }
    }

    fn success_if(success: bool) -> Exit {
        if success {
            Exit::Success
        } else {
            Exit::Failure
        }
    }
}

/// Runs a command. Writes results to `out` and problems in the input to `err`.
///
/// # Errors
///
/// If an output cannot be written, or the command cannot run at all.
pub fn run<O, E>(cli: &Cli, out: &mut O, err: &mut E) -> io::Result<Exit>
where
    O: Write,
    E: Write,
{
    match &cli.command {
        Command::Check { file } => run_check(file, out, err),
        Command::Explain {
            file,
            method,
            service,
            path,
        } => run_explain(file, [method, service, path], out, err),
        Command::Diff { old, new } => run_diff(old, new, out, err),
        Command::Preview(args) => run_preview(args, out, err),
        Command::Status(args) => run_status(args, out),
        Command::Report(args) => run_report(args, out),
        Command::Measure(args) => run_measure(args, out).map(|()| Exit::Success),
        Command::Story { id } => run_story(id, &io::read_to_string(io::stdin())?, out, err),
        Command::Versions { limit_ms } => {
            run_versions(&io::read_to_string(io::stdin())?, *limit_ms, out)
        }
        Command::Demo => run_demo(out),
    }
}

fn run_versions<O>(text: &str, limit_ms: u64, out: &mut O) -> io::Result<Exit>
where
    O: Write,
{
    let spreads = version_spread::spreads(text.lines());
    write!(out, "{}", version_spread::table(&spreads))?;
    let in_time = spreads.iter().all(|spread| spread.spread_ms <= limit_ms);
    Ok(Exit::success_if(in_time))
}

fn run_story<O, E>(id: &str, text: &str, out: &mut O, err: &mut E) -> io::Result<Exit>
where
    O: Write,
    E: Write,
{
    let timeline = story::timeline(id, text.lines());
    if timeline.is_empty() {
        writeln!(err, "no log line about request `{id}`")?;
        return Ok(Exit::Failure);
    }
    timeline
        .iter()
        .try_for_each(|line| writeln!(out, "{line}"))?;
    Ok(Exit::Success)
}

fn run_demo<O>(out: &mut O) -> io::Result<Exit>
where
    O: Write,
{
    logs::init_errors_only();
    let runtime = tokio::runtime::Runtime::new()?;
    let passed = runtime.block_on(demo::run(out))?;
    Ok(Exit::success_if(passed))
}

fn run_check<O, E>(file: &Path, out: &mut O, err: &mut E) -> io::Result<Exit>
where
    O: Write,
    E: Write,
{
    let Some(policy) = load_policy(file, err)? else {
        return Ok(Exit::Failure);
    };
    writeln!(
        out,
        "{}: accepted: {}, {}, {}, {}",
        file.display(),
        pluralize(policy.calls.len(), "call rule"),
        pluralize(policy.services.len(), "service"),
        pluralize(policy.links.len(), "link"),
        pluralize(policy.slos.len(), "objective")
    )?;
    Ok(Exit::Success)
}

fn run_explain<O, E>(
    file: &Path,
    [method, service, path]: [&str; 3],
    out: &mut O,
    err: &mut E,
) -> io::Result<Exit>
where
    O: Write,
    E: Write,
{
    let Some(policy) = load_policy(file, err)? else {
        return Ok(Exit::Failure);
    };
    let explanation = explain(&policy, method, service, path);
    write!(out, "{explanation}")?;
    if !explanation.found {
        write_defaults(method, out)?;
    }
    Ok(Exit::success_if(explanation.found))
}

/// Writes the defaults for a call that matches no rule.
fn write_defaults<O>(method: &str, out: &mut O) -> io::Result<()>
where
    O: Write,
{
    let options = CallOptions::new(None, method);
    writeln!(out, "These defaults apply:")?;
    writeln!(out, "    priority      {}", options.priority)?;
    writeln!(out, "    idempotent    {}", yes_no(options.idempotent))?;
    writeln!(
        out,
        "    timeout       {}",
        format_duration(options.timeout)
    )?;
    writeln!(out, "    retries       at most {}", options.spare)?;
    writeln!(out, "    cross-region  {}", yes_no(options.cross_region))
}

fn run_diff<O, E>(old: &Path, new: &Path, out: &mut O, err: &mut E) -> io::Result<Exit>
where
    O: Write,
    E: Write,
{
    let old = load_policy(old, err)?;
    let new = load_policy(new, err)?;
    let Some((old, new)) = old.zip(new) else {
        return Ok(Exit::Failure);
    };
    write!(out, "{}", diff(&old, &new))?;
    Ok(Exit::Success)
}

/// Reads a policy file. If it is not valid, writes its errors to `err` and returns `None`.
fn load_policy<E>(file: &Path, err: &mut E) -> io::Result<Option<Policy>>
where
    E: Write,
{
    let name = file.display();
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => {
            writeln!(err, "{name}: {e}")?;
            return Ok(None);
        }
    };
    match Policy::parse(&text) {
        Ok(policy) => Ok(Some(policy)),
        Err(errors) => {
            for e in &errors.errors {
                writeln!(err, "{name}:{e}")?;
            }
            writeln!(
                err,
                "{name}: rejected: {}",
                pluralize(errors.count(), "error")
            )?;
            Ok(None)
        }
    }
}

fn yes_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

fn pluralize(n: usize, noun: &str) -> String {
    match n {
        1 => format!("1 {noun}"),
        _ => format!("{n} {noun}s"),
    }
}
