//! The operator's command line.

use std::io;
use std::process::ExitCode;

use clap::Parser;

use dragonflylead::cli;
use dragonflylead::cli::Cli;

fn main() -> io::Result<ExitCode> {
    let cli = Cli::parse();
    match cli::run(&cli, &mut io::stdout(), &mut io::stderr()) {
        Ok(exit) => Ok(ExitCode::from(exit.code())),
        Err(e) if e.kind() == io::ErrorKind::BrokenPipe => Ok(ExitCode::SUCCESS),
        Err(e) => Err(e),
    }
}
