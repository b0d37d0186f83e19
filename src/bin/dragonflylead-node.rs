//! The node that stands beside a target instance.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

use dragonflylead::lifecycle;
use dragonflylead::logs;
use dragonflylead::settings::Settings;

/// Overload control beside one target instance.
#[derive(Debug, Parser)]
#[command(name = "dragonflylead-node", version)]
struct Args {
    /// Settings file
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let args = Args::parse();
    match start(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("dragonflylead-node: {e}");
            ExitCode::FAILURE
        }
    }
}

fn start(args: &Args) -> Result<(), Box<dyn std::error::Error>> {
    let settings = Settings::load(&args.settings)?;
    logs::init(settings.log_level)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.workers)
        .enable_all()
        .build()?;
    runtime.block_on(lifecycle::run(settings))?;
    Ok(())
}
