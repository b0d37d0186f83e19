//! Updates of the store view: configuration, list of targets and entry of the local target.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use crate::clock::Time;
use crate::coordination::route::RouteTable;
use crate::instance::InstanceName;
use crate::instance::InstanceState;
use crate::protocol::frame::Frame;
use crate::protocol::store_query::TargetChange;
use crate::protocol::store_query::TargetEntry;
use crate::protocol::sync::TargetList;
use crate::relay::Relay;
use crate::relay::config_source::ConfigSource;
use crate::relay::store_view::StoreView;

/// Time after a recovery of the store during which a missing entry does not mean that a target
/// left.
const STORE_SETTLE_TIME: Duration = Duration::from_millis(2_500);

impl Relay {
    /// Puts a configuration into force, unless its version is not above the current one. `revision`
    /// is that of the store and `source` where the configuration came from, both for the log.
    pub fn apply_routes(&self, table: RouteTable, revision: u64, source: ConfigSource) {
        let mut view = self.write_view();
        let current = view.routes.as_ref().map_or(0, |t| t.version);
        let newer = view.routes.is_none() || table.version > current;
        if newer {
            *view = Arc::new(StoreView::clone(&view).with_routes(table));
        }
        let table = view.routes.clone();
        let nodes = view.nodes.clone();
        drop(view);
        let Some(table) = table.filter(|_| newer) else {
            return;
        };
        self.view_changed.notify_waiters();
        log::info!(
            version = table.version, before = current, revision = revision, source:% = source,
            known_ms = self.known_for_ms(table.version), routes = table.routes().count();
            "configuration in force"
        );
        self.peer_client
            .broadcast(&Frame::ConfigVersion(table.version));
        for route in table.routes() {
            log::debug!(version = table.version, route:? = route; "route in force");
        }
        self.retain_organisations();
        if self.needs_list_proof() && self.is_reader() {
            self.list_outdated.notify_one();
        }
        let now = self.now();
        let mut coordination = self.coordination();
        coordination.divide_budgets(&self.cfg().region, &nodes, now);
        coordination.split.retain_routes(&table);
        let known: HashSet<&str> = table.routes().map(|r| &*r.name).collect();
        coordination
            .downstream_ratios
            .retain(|name| known.contains(name));
    }

    /// Waits until there is a configuration, for at most `max_time`.
    pub async fn wait_for_routes(&self, max_time: Duration) {
        let until = tokio::time::Instant::now() + max_time;
        while !self.has_routes() {
            let changed = self.view_changed.notified();
            tokio::select! {
                () = changed => (),
                () = tokio::time::sleep_until(until) => return,
            }
        }
    }

    /// Returns the version of the configuration in force, or 0 if there is none.
    pub fn config_version(&self) -> u64 {
        self.view().routes.as_ref().map_or(0, |table| table.version)
    }

    /// Returns whether the store failed recently, so that entries may be missing from it although
    /// their targets live.
    pub fn is_store_unstable(&self, now: Time) -> bool {
        self.store_health().is_unstable(STORE_SETTLE_TIME, now)
    }

    /// Merges a list of targets that this node has read at `revision` of the store. Reads of the list
    /// may be out of date: one that is older than the list in use only has that one evaluated again.
    pub fn apply_targets(&self, targets: Vec<TargetEntry>, revision: u64) {
        let view = self.view();
        let (targets, revision) = match revision < view.list_revision {
            true => (view.listed_targets(), view.list_revision),
            false => (targets, revision),
        };
        self.apply_list(TargetList {
            targets,
            revision,
            store_unstable: false,
        });
    }

    /// Merges a list of targets into the view and updates the router.
    pub fn apply_list(&self, list: TargetList) {
        let cfg = self.cfg();
        let now = self.now();
        let revision = list.revision;
        let store_unstable = list.store_unstable || self.is_store_unstable(now);
        let (instances, nodes, is_new_local_target, starts_draining, changed) = {
            let mut view = self.write_view();
            let before = view.clone();
            let mut next = StoreView::clone(&before);
            next.merge(list.targets, cfg.target, store_unstable, now);
            next.list_revision = revision;
            let is_new_local_target = !next.has_same_local_target(&before);
            let starts_draining = next.local_draining && !before.local_draining;
            let changed = next.targets != before.targets || is_new_local_target || starts_draining;
            *view = Arc::new(next);
            (
                view.instances(),
                view.nodes.clone(),
                is_new_local_target,
                starts_draining,
                changed,
            )
        };
        self.view_changed.notify_waiters();
        self.recheck_local_entry();
        if !changed {
            return;
        }
        log::info!(revision = revision, targets = instances.len(), nodes = nodes.len(); "list of targets changed");
        {
            let mut coordination = self.coordination();
            coordination.router.sync(&instances, now);
            coordination.divide_budgets(&cfg.region, &nodes, now);
        }
        if starts_draining {
            log::info!(revision = revision; "local target is draining according to the list");
        }
        if is_new_local_target {
            self.adopt_local_target();
        }
    }

    /// Triggers a read of the entry of the local target if the list contradicts the view.
    fn recheck_local_entry(&self) {
        let view = self.view();
        let Some(name) = view.local_name() else {
            return;
        };
        let listed = view.targets.iter().any(|t| t.instance.name == *name);
        let missing = !listed || view.missing_since.contains_key(name);
        if missing != view.local_removed {
            self.local_target_changed.notify_waiters();
        }
    }

    /// Applies a change of the entry of the local target. Returns false if a missing entry may be
    /// due to a failure of the store, so that the entry must be read again.
    pub fn apply_local_entry(
        &self,
        name: &InstanceName,
        change: TargetChange,
        revision: u64,
    ) -> bool {
        let (draining, removed) = match &change {
            TargetChange::Unchanged => return true,
            TargetChange::Updated(local) => {
                (local.instance.state == InstanceState::Draining, false)
            }
            TargetChange::Removed if self.store_may_have_lost_entries() => return false,
            TargetChange::Removed => (false, true),
        };
        let mut view = self.write_view();
        let changes = (draining && !view.local_draining) || removed != view.local_removed;
        if !changes || view.local_name() != Some(name) {
            return true;
        }
        let next = StoreView {
            local_draining: view.local_draining || draining,
            local_removed: removed,
            ..StoreView::clone(&view)
        };
        *view = Arc::new(next);
        drop(view);
        if removed {
            // Another target may be listed at the address.
            self.list_outdated.notify_one();
        }
        log::info!(
            target:% = name, revision = revision, leaving = draining, gone = removed;
            "state of local target changed"
        );
        true
    }

    /// Returns whether a missing entry may be missing only because the store lost it in an outage.
    /// That is ruled out once the list was read after the recovery and at most half of it is
    /// missing.
    fn store_may_have_lost_entries(&self) -> bool {
        let health = self.store_health();
        if !health.is_unstable(STORE_SETTLE_TIME, self.now()) {
            return false;
        }
        let view = self.view();
        let read_since = health.recovered_at().is_some_and(|at| view.listed_at > at);
        !read_since || view.is_list_incomplete()
    }

    /// Adopts another target that was listed at the local address: closes the idle connections to
    /// the earlier one and takes over the number of slots.
    fn adopt_local_target(&self) {
        let local = self.local_target();
        self.target_client.clear_idle();
        self.clear_unreachable();
        self.admission_queue.record_target_start();
        if let Some(local) = &local {
            let max_connections = self.cfg().descriptors.target();
            let max_connections = u32::try_from(max_connections).unwrap_or(u32::MAX);
            self.admission_queue
                .set_slots(local.slots.min(max_connections));
            log::info!(
                target:% = local.instance.name, slots = local.slots, born = local.start_time_ms;
                "local target is listed"
            );
        }
        self.local_target_changed.notify_waiters();
    }
}
