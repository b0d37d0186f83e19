//! Reads what a node told in the headers of its answer.

use crate::error::NotRunKind;
use crate::error::Outcome;
use crate::error::UnknownKind;
use crate::protocol::header;
use crate::transport::http_client::Answer;

/// What a node told about a call.
pub struct CallResult {
    /// Outcome of the call.
    pub outcome: Outcome<Answer>,
    /// Spare attempts that were used, where they are known.
    pub spent: Option<u32>,
    /// Admission level and load.
    pub level: Option<String>,
    /// A fresh idempotency token.
    pub token: Option<String>,
}

/// Turns what a node told in headers back into an outcome.
///
/// An answer without the outcome header did not come from a node, and proves nothing.
pub fn read_result(outcome: Outcome<Answer>) -> CallResult {
    let Outcome::Completed(answer) = outcome else {
        let spent = matches!(outcome, Outcome::NotRun(_)).then_some(0);
        return CallResult {
            outcome,
            spent,
            level: None,
            token: None,
        };
    };
    let spent = answer
        .header_text(header::SPENT)
        .and_then(|text| text.parse().ok());
    let level = answer.header_text(header::LEVEL).map(str::to_owned);
    let token = answer.header_text(header::TOKEN).map(str::to_owned);
    CallResult {
        outcome: read_outcome(answer),
        spent,
        level,
        token,
    }
}

fn read_outcome(answer: Answer) -> Outcome<Answer> {
    let unknown = Outcome::Unknown(UnknownKind::ConnectionLost);
    match answer.header_text(header::OUTCOME) {
        Some("completed") => Outcome::Completed(answer),
        Some("not-run") => match answer.header_text(header::ERROR) {
            Some(kind) => Outcome::NotRun(kind.parse().unwrap_or(NotRunKind::TargetRefused)),
            None => unknown,
        },
        _ => match answer
            .header_text(header::ERROR)
            .and_then(|kind| kind.parse().ok())
        {
            Some(kind) => Outcome::Unknown(kind),
            None => unknown,
        },
    }
}
