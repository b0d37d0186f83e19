//! Status of the egress side of a node: called services and links to other regions.

use std::collections::BTreeMap;

use crate::clock::Time;
use crate::coordination::dispatch::Dispatcher;
use crate::coordination::level::Level;
use crate::coordination::level::LevelView;
use crate::coordination::routing::Router;
use crate::instance::ServiceName;
use crate::status::LevelStatus;
use crate::status::LinkStatus;
use crate::status::ServiceStatus;

impl From<Level> for LevelStatus {
    fn from(level: Level) -> LevelStatus {
        LevelStatus {
            priority: level.priority,
            cohort: level.cohort,
        }
    }
}

/// Returns the status of each service that the target calls.
pub fn services(dispatcher: &Dispatcher, now: Time) -> Vec<ServiceStatus> {
    dispatcher.with_state(|router, levels| by_service(router, levels, now))
}

/// Returns the status of the link to each other region.
pub fn links(dispatcher: &Dispatcher, now: Time) -> Vec<LinkStatus> {
    dispatcher.with_state(|router, _| {
        let links = router.link_budgets().iter();
        links
            .map(|(region, budget)| LinkStatus {
                region: region.clone(),
                left_bytes: budget.left(now) as i64,
                reserved_left_bytes: budget.reserved_left(now) as i64,
            })
            .collect()
    })
}

/// Sums up the state of the targets of each service.
fn by_service(router: &Router, levels: &LevelView, now: Time) -> Vec<ServiceStatus> {
    let mut services: BTreeMap<&ServiceName, ServiceStatus> = BTreeMap::new();
    for target in router.targets(now) {
        let service = &target.instance.service;
        let status = services.entry(service).or_insert_with(|| ServiceStatus {
            service: service.clone(),
            targets: 0,
            ejected: 0,
            draining: 0,
            in_flight: 0,
            level: levels.level(service, now).into(),
        });
        status.targets += 1;
        status.ejected += u32::from(target.ejected);
        status.draining += u32::from(target.draining);
        status.in_flight += target.in_flight;
    }
    services.into_values().collect()
}
