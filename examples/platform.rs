//! Runs the platform stand-in as a program.
//!
//! Publishes a policy file and an instance list, and publishes them again when the files change.

use std::path::PathBuf;
use std::time::Duration;

use clap::Parser;

use dragonflylead::instance::Instance;
use dragonflylead::standin::platform::PlatformStandin;

/// Interval at which the files are read.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Serves a policy file and an instance list in place of the platform.
#[derive(Debug, Parser)]
struct Args {
    /// Port on the loopback address, 0 for any free one.
    #[arg(long, default_value_t = 7070)]
    port: u16,
    /// Policy file; each change is published as the next revision.
    #[arg(long)]
    policy: PathBuf,
    /// JSON file with an array of instances.
    #[arg(long)]
    instances: PathBuf,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args = Args::parse();
    let platform = PlatformStandin::start_on(args.port).await?;
    println!("platform stand-in listens at {}", platform.url());
    let mut revision = 0;
    let mut policy = String::new();
    let mut published = Vec::new();
    loop {
        let text = std::fs::read_to_string(&args.policy)?;
        if text != policy {
            revision += 1;
            platform.set_config(revision, &text);
            println!("published revision {revision}");
            policy = text;
        }
        let bytes = std::fs::read(&args.instances)?;
        let instances: Vec<Instance> = serde_json::from_slice(&bytes)?;
        if instances != published {
            platform.set_instances(instances.clone());
            println!("published {} instances", instances.len());
            published = instances;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
