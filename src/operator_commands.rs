//! Commands that read live nodes: `status` and `report`.

use std::fs;
use std::io;
use std::io::Write;
use std::path::PathBuf;

use clap::Args;
use clap::builder::PossibleValuesParser;
use clap::builder::TypedValueParser;
use serde::Serialize;
use strum::VariantNames;

use crate::cli::Exit;
use crate::report::Report;
use crate::report::html;
use crate::state::history::Window;
use crate::status::summary::FleetSummary;
use crate::status_client;
use crate::status_client::FetchedStatuses;

/// What `status` is asked for.
#[derive(Clone, Debug, Args)]
pub struct StatusArgs {
    /// Operator ports of the nodes, such as 10.0.0.7:9000
    #[arg(required = true)]
    urls: Vec<String>,
    /// Write the status of each node as JSON
    #[arg(long)]
    json: bool,
}

/// What `report` is asked for.
#[derive(Clone, Debug, Args)]
pub struct ReportArgs {
    /// Operator ports of the nodes, such as 10.0.0.7:9000
    #[arg(required = true)]
    urls: Vec<String>,
    /// Show only this window; may be given several times
    #[arg(long, value_parser = PossibleValuesParser::new(Window::VARIANTS).try_map(|s| s.parse::<Window>()))]
    window: Vec<Window>,
    /// Write the report as JSON
    #[arg(long)]
    json: bool,
    /// Write the report as an HTML page too
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
}

/// Prints the state of the fleet. `Bad` if a node could not be read.
///
/// # Errors
///
/// If nothing can be read or written at all.
pub fn run_status<O>(args: &StatusArgs, out: &mut O) -> io::Result<Exit>
where
    O: Write,
{
    let fetched = read(&args.urls)?;
    match args.json {
        true => write_json(&fetched.nodes, out)?,
        false => write!(out, "{}", FleetSummary(&fetched))?,
    }
    Ok(exit(&fetched))
}

/// Prints the report on service-level burn. `Bad` if a node could not be read.
///
/// # Errors
///
/// If nothing can be read or written at all.
pub fn run_report<O>(args: &ReportArgs, out: &mut O) -> io::Result<Exit>
where
    O: Write,
{
    let fetched = read(&args.urls)?;
    let mut report = Report::new(&fetched);
    if !args.window.is_empty() {
        report = report.restricted_to(&args.window);
    }
    if let Some(file) = &args.html {
        fs::write(file, html::render(&report))
            .map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", file.display())))?;
    }
    match args.json {
        true => write_json(&report, out)?,
        false => write!(out, "{report}")?,
    }
    Ok(exit(&fetched))
}

fn read(urls: &[String]) -> io::Result<FetchedStatuses> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(status_client::fetch_statuses(urls))
        .map_err(io::Error::other)
}

fn write_json<O, T>(value: &T, out: &mut O) -> io::Result<()>
where
    O: Write,
    T: Serialize,
{
    serde_json::to_writer_pretty(&mut *out, value)?;
    writeln!(out)
}

fn exit(fetched: &FetchedStatuses) -> Exit {
    match fetched.unread.is_empty() {
        true => Exit::Success,
        false => Exit::Failure,
    }
}
