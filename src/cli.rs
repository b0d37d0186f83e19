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
use crate::story;

/// Overload control for service call graphs.
#[derive(Debug, Parser)]
#[command(name = "dragonflylead", version)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What the operator asks for.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a policy file and list all of its errors
    Check {
        /// Policy file
        file: PathBuf,
    },
    /// Tell which rule governs a call, and who asked for it
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
    /// Tell what a new policy file changes, and for which calls
    Diff {
        /// Policy file in force
        old: PathBuf,
        /// Policy file to compare with it
        new: PathBuf,
    },
    /// Tell the story of one request from the log lines of several nodes, read from standard input
    Story {
        /// Request id, as the caller sent it
        id: String,
    },
    /// Show a surge and the recovery from it, on loopback in this process
    Demo,
    /// Show the state of live nodes at a glance
    Status(StatusArgs),
    /// Show how fast error budgets are spent, and whether somebody has to act
    Report(ReportArgs),
    /// Measure overload policies side by side, with real nodes on loopback
    Measure(MeasureArgs),
}

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Everything is as it should be; exit code 0.
    Success,
    /// Something is wrong and was said; exit code 1.
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

    fn good_if(good: bool) -> Exit {
        if good { Exit::Success } else { Exit::Failure }
    }
}

/// Runs a command. Results go to `out`, errors to `err`.
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
        Command::Status(args) => run_status(args, out),
        Command::Report(args) => run_report(args, out),
        Command::Measure(args) => run_measure(args, out).map(|()| Exit::Success),
        Command::Story { id } => run_story(id, &io::read_to_string(io::stdin())?, out, err),
        Command::Demo => run_demo(out),
    }
}

fn run_story<O, E>(id: &str, text: &str, out: &mut O, err: &mut E) -> io::Result<Exit>
where
    O: Write,
    E: Write,
{
    let told = story::timeline(id, text.lines());
    if told.is_empty() {
        writeln!(err, "no line is about request `{id}`")?;
        return Ok(Exit::Failure);
    }
    told.iter().try_for_each(|line| writeln!(out, "{line}"))?;
    Ok(Exit::Success)
}

fn run_demo<O>(out: &mut O) -> io::Result<Exit>
where
    O: Write,
{
    logs::init_errors_only();
    let runtime = tokio::runtime::Runtime::new()?;
    let held = runtime.block_on(demo::run(out))?;
    Ok(Exit::good_if(held))
}

fn run_check<O, E>(file: &Path, out: &mut O, err: &mut E) -> io::Result<Exit>
where
    O: Write,
    E: Write,
{
    let Some(policy) = load(file, err)? else {
        return Ok(Exit::Failure);
    };
    writeln!(
        out,
        "{}: accepted: {}, {}, {}, {}",
        file.display(),
        counted(policy.calls.len(), "call rule"),
        counted(policy.services.len(), "service"),
        counted(policy.links.len(), "link"),
        counted(policy.slos.len(), "objective")
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
    let Some(policy) = load(file, err)? else {
        return Ok(Exit::Failure);
    };
    let explanation = explain(&policy, method, service, path);
    write!(out, "{explanation}")?;
    if !explanation.found {
        write_default(method, out)?;
    }
    Ok(Exit::good_if(explanation.found))
}

/// Says how a call is treated that no rule governs.
fn write_default<O>(method: &str, out: &mut O) -> io::Result<()>
where
    O: Write,
{
    let options = CallOptions::new(None, method);
    writeln!(out, "It is treated by default:")?;
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
    let old = load(old, err)?;
    let new = load(new, err)?;
    let Some((old, new)) = old.zip(new) else {
        return Ok(Exit::Failure);
    };
    write!(out, "{}", diff(&old, &new))?;
    Ok(Exit::Success)
}

/// Reads a policy file, or says what is wrong with it.
fn load<E>(file: &Path, err: &mut E) -> io::Result<Option<Policy>>
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
                counted(errors.count(), "error")
            )?;
            Ok(None)
        }
    }
}

fn yes_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

fn counted(n: usize, noun: &str) -> String {
    match n {
        1 => format!("1 {noun}"),
        _ => format!("{n} {noun}s"),
    }
}
