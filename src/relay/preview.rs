//! Preview of where a request would go now, and why, without sending it.

use std::collections::BTreeMap;
use std::time::Duration;

use rocket::http::Status;
use serde::Deserialize;
use serde::Serialize;

use crate::coordination::organisations::Organisation;
use crate::coordination::route;
use crate::coordination::route::Route;
use crate::coordination::routing::Choice;
use crate::instance::InstanceName;
use crate::instance::OrganisationName;
use crate::instance::ServiceName;
use crate::relay::Relay;
use crate::relay::call::dispatch;
use crate::relay::call::dispatch::Wanted;
use crate::relay::pages::Page;
use crate::relay::pages::PageQuery;

/// Number of times that the choice is made, as it is random.
const DRAWS: u32 = 200;

/// What a node would do with a request now.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Preview {
    /// Name of the node.
    pub node: String,
    /// Version of the configuration that it applies, or 0 if it has none.
    pub config_version: u64,
    /// Time since that was known to be the newest one, in milliseconds, if that is known.
    pub config_age_ms: Option<u64>,
    /// Reasons for which the request would be refused here, with the status; empty if it would not.
    pub refused: Vec<String>,
    /// The route that matches.
    pub route: Option<RoutePreview>,
    /// The organisation that was asked for.
    pub organisation: Option<OrganisationPreview>,
    /// The services of the route with their targets.
    pub services: Vec<ServicePreview>,
}

/// The route of a previewed request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoutePreview {
    /// Name.
    pub name: String,
    /// Path prefix.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Whether requests need no key.
    pub public: bool,
    /// Priority of the request; 0 is the highest.
    pub priority: u8,
    /// Maximum time in which a caller receives a response, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective in milliseconds.
    pub objective_ms: u64,
    /// Whether its requests are known to come from callers and not from targets.
    pub is_root: bool,
    /// Share of the root requests that is admitted, from 0 to 1.
    pub admitted_share: f64,
}

/// The organisation of a previewed request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OrganisationPreview {
    /// Name.
    pub name: String,
    /// Rate of its quota in requests per second, if it has one.
    pub rate: Option<f64>,
    /// Tokens that the node has in stock.
    pub tokens: u32,
    /// Address of the node that gives out the tokens, and of the next one.
    pub holders: Vec<String>,
}

/// A service of a previewed route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServicePreview {
    /// Name.
    pub name: String,
    /// Share of the requests that it gets, from 0 to 1.
    pub share: f64,
    /// Its targets as this node knows them, those that would be chosen most often first.
    pub targets: Vec<TargetPreview>,
    /// Why no target would be chosen, if none would.
    pub unavailable: Option<String>,
}

/// A target of a previewed service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetPreview {
    /// Instance.
    pub name: String,
    /// Its distance from the node, or `local` if it is beside it.
    pub distance: String,
    /// Share of the choices in which it would be taken, from 0 to 1.
    pub chosen: f64,
    /// Last reported load, decayed with its age; 1 if all slots are taken.
    pub load: f64,
    /// Requests of this node that have no response yet.
    pub in_flight: u32,
    /// Expected time of a request in milliseconds, if known.
    pub expected_ms: Option<u64>,
    /// Whether it is draining.
    pub draining: bool,
    /// Whether it is left out because it failed.
    pub ejected: bool,
}

/// Returns the preview for the `host`, `path` and `organisation` of a query, as JSON.
pub(super) fn page(relay: &Relay, query: &PageQuery) -> Page {
    let (Some(host), Some(path)) = (query.get("host"), query.get("path")) else {
        let text = "the query needs `host` and `path`, and may have `organisation`\n";
        return (Status::BadRequest, text.to_owned());
    };
    let organisation = query
        .get("organisation")
        .map(|name| OrganisationName::new(name));
    let preview = preview(relay, host, path, organisation.as_ref());
    match serde_json::to_string(&preview) {
        Ok(text) => (Status::Ok, text),
        Err(e) => (Status::InternalServerError, format!("{e}\n")),
    }
}

/// Returns what the node would do with a request for `path` of `host`. Nothing is sent or counted.
fn preview(
    relay: &Relay,
    host: &str,
    path: &str,
    organisation: Option<&OrganisationName>,
) -> Preview {
    let config = relay.config_statement();
    let table = relay.view().routes.clone();
    let mut preview = Preview {
        node: relay.cfg().name.to_string(),
        config_version: config.version,
        config_age_ms: config.age.map(millis),
        refused: Vec::new(),
        route: None,
        organisation: None,
        services: Vec::new(),
    };
    let Some(table) = table else {
        preview.refused.push("503: no configuration yet".to_owned());
        return preview;
    };
    let path = path.split('?').next().unwrap_or_default();
    let Some(route) = table.find(&host.to_ascii_lowercase(), path) else {
        preview.refused.push("404: no route matches".to_owned());
        return preview;
    };
    let directory = table.directory.as_ref();
    let sender = directory
        .zip(organisation)
        .and_then(|(d, name)| d.named(name));
    let needs_key = directory.is_some() && !route.public;
    if needs_key && !relay.may_accept_keys() {
        let reason = "503: the configuration is not known to be recent enough to accept keys";
        preview.refused.push(reason.to_owned());
    }
    if needs_key && sender.is_none() {
        let reason = "401: the route needs the key of an organisation";
        preview.refused.push(reason.to_owned());
    }
    preview.organisation = sender.map(|sender| preview_organisation(relay, sender));
    let priority = route::request_priority(sender.and_then(|o| o.priority), route.priority);
    let shown = preview_route(relay, route, priority, sender.is_some());
    if shown.is_root && shown.admitted_share < 1.0 {
        let share = shown.admitted_share * 100.0;
        let reason = format!("503: {share:.0} in 100 are admitted, a service behind it is full");
        preview.refused.push(reason);
    }
    if !relay.may_take_request(route.timeout) {
        preview.refused.push("503: the node is stopping".to_owned());
    }
    let is_root = shown.is_root;
    preview.route = Some(shown);
    let services = route.service_shares().into_iter();
    let services = services.map(|(name, share)| {
        let queue_priority = match is_root {
            true => route::queue_priority(priority),
            false => crate::call::Priority::Critical,
        };
        let wanted = Wanted {
            service: &name,
            priority: queue_priority,
            idempotent: route.idempotent,
            request_bytes: 0,
        };
        preview_service(relay, &wanted, share)
    });
    preview.services = services.collect();
    preview
}

fn preview_route(relay: &Relay, route: &Route, priority: u8, has_key: bool) -> RoutePreview {
    let coordination = relay.coordination();
    RoutePreview {
        name: route.name.to_string(),
        prefix: route.prefix.clone(),
        idempotent: route.idempotent,
        public: route.public,
        priority,
        timeout_ms: millis(route.timeout),
        objective_ms: millis(route.objective),
        is_root: has_key || coordination.downstream_ratios.is_root(&route.name),
        admitted_share: coordination.root_admission.share(&route.name, priority),
    }
}

fn preview_organisation(relay: &Relay, organisation: &Organisation) -> OrganisationPreview {
    let holders = relay.rank_holders(&organisation.name);
    OrganisationPreview {
        name: organisation.name.to_string(),
        rate: organisation.quota.map(|quota| quota.rate),
        tokens: relay.quota_tokens(&organisation.name),
        holders: holders.iter().map(ToString::to_string).collect(),
    }
}

fn preview_service(relay: &Relay, wanted: &Wanted<'_>, share: f64) -> ServicePreview {
    let mut chosen: BTreeMap<InstanceName, u32> = BTreeMap::new();
    let mut unavailable = None;
    for _ in 0..DRAWS {
        match dispatch::choose(relay, wanted, &[]) {
            Choice::Send(pick) => *chosen.entry(pick.instance.name).or_default() += 1,
            Choice::Unavailable(kind) => unavailable = Some(kind.to_string()),
        }
    }
    let mut targets = preview_targets(relay, wanted.service);
    for target in &mut targets {
        let draws = chosen
            .get(target.name.as_str())
            .copied()
            .unwrap_or_default();
        target.chosen = f64::from(draws) / f64::from(DRAWS);
    }
    targets.sort_by(|a, b| b.chosen.total_cmp(&a.chosen).then(a.name.cmp(&b.name)));
    ServicePreview {
        name: wanted.service.to_string(),
        share,
        targets,
        unavailable: unavailable.filter(|_| chosen.is_empty()),
    }
}

fn preview_targets(relay: &Relay, service: &ServiceName) -> Vec<TargetPreview> {
    let local = relay.local_target().map(|local| local.instance.name);
    let now = relay.now();
    let coordination = relay.coordination();
    let known = coordination.router.targets(now);
    let served = known.filter(|target| target.instance.service == *service);
    let targets = served.map(|target| TargetPreview {
        name: target.instance.name.to_string(),
        distance: match Some(&target.instance.name) == local.as_ref() {
            true => "local".to_owned(),
            false => target.distance.to_string(),
        },
        chosen: 0.0,
        load: target.load,
        in_flight: target.in_flight,
        expected_ms: target.expected.map(millis),
        draining: target.draining,
        ejected: target.ejected,
    });
    targets.collect()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
