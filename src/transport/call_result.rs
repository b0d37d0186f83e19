//! Converts the response of a node to the outcome of the call.

use crate::error::NotRunKind;
use crate::error::Outcome;
use crate::error::UnknownKind;
use crate::protocol::header;
use crate::transport::http_client::HttpResponse;

/// Outcome of a call, with what the headers of the response report beside it.
pub struct CallResult {
    /// Outcome of the call.
    pub outcome: Outcome<HttpResponse>,
    /// Spare attempts that the call and its sub-calls used, if known.
    pub used_attempts: Option<u32>,
    /// Admission level and load of the answering instance, as header text.
    pub level: Option<String>,
    /// A new idempotency token for the caller's next call.
    pub token: Option<String>,
}

/// Reads the result of a call from the headers of a node's response.
///
/// A response without the outcome header did not come from a node and does not prove whether the
/// call was run, so its outcome is unknown. A call that was not sent or not run used no spare
/// attempts.
pub fn read_result(outcome: Outcome<HttpResponse>) -> CallResult {
    let Outcome::Completed(response) = outcome else {
        let used_attempts = matches!(outcome, Outcome::NotRun(_)).then_some(0);
        return CallResult {
            outcome,
            used_attempts,
            level: None,
            token: None,
        };
    };
    let used_attempts = response
        .header_text(header::EXTRA_ATTEMPTS_USED)
        .and_then(|text| text.parse().ok());
    let level = response.header_text(header::LEVEL).map(str::to_owned);
    let token = response.header_text(header::TOKEN).map(str::to_owned);
    CallResult {
        outcome: read_outcome(response),
        used_attempts,
        level,
        token,
    }
}

/// Reads the outcome header, and the error header of a call that was not completed.
fn read_outcome(response: HttpResponse) -> Outcome<HttpResponse> {
    let unknown = Outcome::Unknown(UnknownKind::ConnectionLost);
    match response.header_text(header::OUTCOME) {
        Some("completed") => Outcome::Completed(response),
        Some("not-run") => match response.header_text(header::ERROR) {
            Some(kind) => Outcome::NotRun(kind.parse().unwrap_or(NotRunKind::TargetRefused)),
            None => unknown,
        },
        _ => match response
            .header_text(header::ERROR)
            .and_then(|kind| kind.parse().ok())
        {
            Some(kind) => Outcome::Unknown(kind),
            None => unknown,
        },
    }
}
