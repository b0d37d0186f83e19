//! The operator's command line.

use std::io;
use std::process::ExitCode;

use clap::Parser;

use dragonflylead::cli;
use dragonflylead::cli::Cli;

fn main() -> io::Result<ExitCode> {
    let cli = Cli::parse();
    let exit = cli::run(&cli, &mut io::stdout(), &mut io::stderr())?;
    Ok(ExitCode::from(exit.code()))
}
