//! Stand-ins for clients, endpoints, the store and the platform, and the cases that use them.
//!
//! `standin CASE RECORD TROUBLE` exits with 1 if the rule was broken, 0 if it held and 2 if the case
//! could not run. With 0 as `TROUBLE` the case is played without its disruption.

mod cases;
mod client;
mod endpoint;
mod http;
mod record;
mod site;
mod socket;
mod store;

use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path, trouble] = args.as_slice() else {
        eprintln!("usage: standin CASE RECORD TROUBLE");
        return ExitCode::from(2);
    };
    let trouble = trouble != "0";
    let record = match Record::create(path) {
        Ok(record) => Arc::new(record),
        Err(e) => {
            eprintln!("{path}: {e}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, disruption: {trouble}"));
    let outcome = match case.as_str() {
        "stop" => cases::stop(&record, trouble),
        "leave" => cases::leave(&record, trouble),
        "memory" => cases::memory(&record, trouble),
        "drain" => cases::drain(&record, trouble),
        "denied" => cases::denied(&record, trouble),
        "poison" => cases::poison(&record, trouble),
        "slow" => cases::slow(&record, trouble),
        _ => Err("no such case".to_owned()),
    };
    let (text, code) = match outcome {
        Ok(true) => ("the rule is broken".to_owned(), 1),
        Ok(false) => ("the rule holds".to_owned(), 0),
        Err(e) => (format!("the case could not run: {e}"), 2),
    };
    record.line(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
