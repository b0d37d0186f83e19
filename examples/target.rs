//! Runs a target stand-in as a program, for manual experiments with a node.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use clap::Parser;

use dragonflylead::standin::target::Behaviour;
use dragonflylead::standin::target::SubCall;
use dragonflylead::standin::target::TargetStandin;

/// A target that answers every request after a service time.
#[derive(Debug, Parser)]
#[command(name = "target")]
struct Args {
    /// Name that the responses contain
    #[arg(long, default_value = "target")]
    name: String,
    /// Listen address
    #[arg(long, default_value = "127.0.0.1:8080")]
    listen: SocketAddr,
    /// Egress address of the target's own node, for sub-calls
    #[arg(long)]
    egress: Option<SocketAddr>,
    /// Sub-call that every request makes, as METHOD SERVICE PATH
    #[arg(long, num_args = 3, value_names = ["METHOD", "SERVICE", "PATH"])]
    sub_call: Vec<String>,
    /// Requests that run concurrently
    #[arg(long, default_value_t = 16)]
    slots: usize,
    /// Service time of a request, in milliseconds
    #[arg(long, default_value_t = 5)]
    service_ms: u64,
    /// Refuse every request before it runs
    #[arg(long)]
    refuse: bool,
    /// Cut the connection after the first half of every response
    #[arg(long)]
    truncate: bool,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let args = Args::parse();
    let behaviour = Behaviour {
        slots: args.slots,
        service_time: Duration::from_millis(args.service_ms),
        sub_calls: sub_calls(&args.sub_call)?,
        refuse: args.refuse,
        truncate: args.truncate,
        ..Behaviour::default()
    };
    let target = TargetStandin::start_on(&args.name, behaviour, args.listen).await?;
    if let Some(egress) = args.egress {
        target.set_egress(egress);
    }
    println!("{} listens at {}", args.name, target.address());
    tokio::signal::ctrl_c().await?;
    target.stop().await;
    Ok(())
}

/// Parses groups of method, service and path into sub-calls of every request.
///
/// # Errors
///
/// If a method is not valid.
fn sub_calls(words: &[String]) -> io::Result<Vec<(String, SubCall)>> {
    words
        .chunks(3)
        .map(|call| {
            let method = call[0].parse().map_err(io::Error::other)?;
            let call = SubCall {
                method,
                service: call[1].clone(),
                path: call[2].clone(),
            };
            Ok(("/".to_owned(), call))
        })
        .collect()
}
