//! Command that shows where a node would send a request now, and why, without sending it.

use std::fmt;
use std::io;
use std::io::Write;
use std::time::Duration;

use clap::Args;

use crate::cli::Exit;
use crate::relay::pages::PREVIEW_PATH;
use crate::relay::preview::Preview;
use crate::relay::preview::ServicePreview;
use crate::text_table::Align;
use crate::text_table::TextTable;

/// Time that a node has to answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Arguments of `preview`.
#[derive(Clone, Debug, Args)]
pub struct PreviewArgs {
    /// Metrics address of the node, such as 10.0.0.7:7635
    node: String,
    /// Host of the request
    host: String,
    /// Path of the request, such as /charge/7
    path: String,
    /// Organisation that would send it; its key is not needed
    #[arg(long)]
    organisation: Option<String>,
    /// Print the answer of the node as JSON
    #[arg(long)]
    json: bool,
}

/// Shows what a node would do with a request. Returns [`Exit::Failure`] if the node cannot be asked or
/// would certainly not send the request to a target.
///
/// # Errors
///
/// If the HTTP client cannot be built, or an output cannot be written.
pub fn run_preview<O, E>(args: &PreviewArgs, out: &mut O, err: &mut E) -> io::Result<Exit>
where
    O: Write,
    E: Write,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let preview = match runtime.block_on(fetch(args)) {
        Ok(preview) => preview,
        Err(e) => {
            writeln!(err, "{}: {e}", args.node)?;
            return Ok(Exit::Failure);
        }
    };
    match args.json {
        true => {
            serde_json::to_writer_pretty(&mut *out, &preview)?;
            writeln!(out)?;
        }
        false => write!(out, "{}", PreviewText(&preview))?,
    }
    let reachable = preview.services.iter().any(|s| s.unavailable.is_none());
    let rejected = preview.refused.iter().any(|reason| reason.starts_with('4'));
    Ok(match reachable && !rejected {
        true => Exit::Success,
        false => Exit::Failure,
    })
}

/// Reason why a node could not be asked.
#[derive(Debug, thiserror::Error)]
enum PreviewError {
    /// The address is not that of a node.
    #[error("not an address: {0}")]
    Address(String),
    /// The node could not be reached, or its answer is no preview.
    #[error(transparent)]
    Http(#[from] reqwest::Error),
}

async fn fetch(args: &PreviewArgs) -> Result<Preview, PreviewError> {
    let client = reqwest::Client::builder()
        .no_proxy()
        .timeout(REQUEST_TIMEOUT)
        .build()?;
    let base = match args.node.contains("://") {
        true => args.node.clone(),
        false => format!("http://{}", args.node),
    };
    let url = format!("{}{PREVIEW_PATH}", base.trim_end_matches('/'));
    let url = reqwest::Url::parse(&url).map_err(|_| PreviewError::Address(args.node.clone()));
    let mut url = url?;
    let mut query = vec![("host", args.host.as_str()), ("path", args.path.as_str())];
    query.extend(
        args.organisation
            .as_deref()
            .map(|name| ("organisation", name)),
    );
    url.query_pairs_mut().extend_pairs(query);
    let response = client.get(url).send().await?;
    Ok(response.error_for_status()?.json().await?)
}

/// Text form of a preview.
struct PreviewText<'a>(&'a Preview);

impl fmt::Display for PreviewText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let preview = self.0;
        let age = preview
            .config_age_ms
            .map_or("of unknown age".to_owned(), |ms| format!("{ms} ms old"));
        let version = preview.config_version;
        writeln!(f, "node {}, configuration {version}, {age}", preview.node)?;
        if let Some(route) = &preview.route {
            let kind = match route.idempotent {
                true => "may run again",
                false => "runs once at most",
            };
            writeln!(
                f,
                "route {} ({}): {kind}, priority {}, timeout {} ms, objective {} ms",
                route.name, route.prefix, route.priority, route.timeout_ms, route.objective_ms
            )?;
        }
        if let Some(organisation) = &preview.organisation {
            match organisation.rate {
                Some(rate) => writeln!(
                    f,
                    "organisation {}: {rate} a second, {} tokens here, held by {}",
                    organisation.name,
                    organisation.tokens,
                    organisation
                        .holders
                        .first()
                        .map_or("nobody", String::as_str)
                )?,
                None => writeln!(f, "organisation {}: no quota", organisation.name)?,
            }
        }
        for reason in &preview.refused {
            writeln!(f, "refused with {reason}")?;
        }
        preview
            .services
            .iter()
            .try_for_each(|s| write_service(s, f))
    }
}

fn write_service(service: &ServicePreview, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    let share = service.share * 100.0;
    writeln!(
        f,
        "\nservice {}, {share:.0} in 100 of the requests",
        service.name
    )?;
    if let Some(reason) = &service.unavailable {
        writeln!(f, "no target: {reason}")?;
    }
    let mut table = TextTable::new(&[
        ("target", Align::Left),
        ("distance", Align::Left),
        ("chosen", Align::Right),
        ("load", Align::Right),
        ("in flight", Align::Right),
        ("expected", Align::Right),
        ("state", Align::Left),
    ]);
    for target in &service.targets {
        let state = match (target.draining, target.ejected) {
            (true, _) => "draining",
            (false, true) => "ejected",
            (false, false) => "",
        };
        table.row(vec![
            target.name.clone(),
            target.distance.clone(),
            format!("{:.0} %", target.chosen * 100.0),
            format!("{:.2}", target.load),
            target.in_flight.to_string(),
            target
                .expected_ms
                .map_or(String::new(), |ms| format!("{ms} ms")),
            state.to_owned(),
        ]);
    }
    write!(f, "{table}")
}
