//! Retries of requests whose runs make sub-calls.

use std::collections::HashSet;

use crate::support::header_names::HEADER_NAMES;
use crate::support::relay_fleet::Caller;
use crate::support::relay_fleet::RelayFleet;

/// Retries that the fleet may send per request.
const RETRY_RATIO: f64 = 0.2;

/// Requests that each node gets from a caller, in each of the two parts.
const REQUESTS: usize = 30;

/// Guards against repeats that pile up at a called service: the sub-calls of a repeated run are
/// repeats there, beside the retries of sub-calls. Here both the answers to the requests and those
/// to their sub-calls are lost.
#[tokio::test]
async fn sub_calls_of_repeated_runs_draw_on_the_budget_of_the_called_service() {
    let services = ["a", "a", "b", "b"];
    let fleet = RelayFleet::start_with(63, &services, |cfg| cfg.retry_ratio = RETRY_RATIO).await;
    for path in ["/a/calls/b/x", "/a/lost-calls/b/silent"] {
        for member in &fleet.members {
            let mut caller = Caller::connect(member.outbound).await;
            for at in 0..REQUESTS {
                let id = format!("{path}-{}-{at}", member.name);
                caller.call("GET", path, &id, b"").await;
            }
        }
    }
    let arrivals: Vec<String> = fleet
        .members
        .iter()
        .flat_map(|member| member.target.runs())
        .filter(|run| run.head.target.starts_with("/b/"))
        .map(|run| run.header(HEADER_NAMES.request_id).to_owned())
        .collect();
    let parents: HashSet<&str> = arrivals
        .iter()
        .filter_map(|id| id.split('@').next())
        .collect();
    let requests = 2 * REQUESTS * services.len();
    assert_eq!(parents.len(), requests);
    let repeats = arrivals.len() - requests;
    let allowed = requests as f64 * RETRY_RATIO;
    assert!(
        repeats as f64 <= allowed,
        "{repeats} repeats for {requests} requests, {allowed} are allowed"
    );
    assert!(repeats as f64 >= allowed / 2.0, "only {repeats} repeats");
}
