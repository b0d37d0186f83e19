//! What changes a node's view of the fleet: configuration, list of targets, own entry.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use crate::coordination::route::RouteTable;
use crate::instance::InstanceName;
use crate::instance::InstanceState;
use crate::protocol::frame::Frame;
use crate::protocol::store_query::TargetChange;
use crate::protocol::store_query::TargetEntry;
use crate::relay::Relay;
use crate::relay::view::View;

/// Time after the store came back within which a missing entry does not mean that a target left.
const STORE_SETTLES: Duration = Duration::from_millis(2_500);

impl Relay {
    /// Takes over a configuration, unless a newer one is in force.
    pub fn take_routes(&self, table: RouteTable, revision: u64) {
        let mut view = self.write_view();
        let current = view.routes.as_ref().map_or(0, |t| t.version);
        let newer = view.routes.is_none() || table.version > current;
        if newer {
            let next = View {
                routes: Some(Arc::new(table)),
                ..View::clone(&view)
            };
            *view = Arc::new(next);
        }
        let table = view.routes.clone();
        drop(view);
        let Some(table) = table.filter(|_| newer) else {
            return;
        };
        log::info!(
            version = table.version, before = current, revision = revision,
            routes = table.routes().count();
            "configuration in force"
        );
        self.links.tell_all(&Frame::Version(table.version));
        for route in table.routes() {
            log::debug!(version = table.version, route:? = route; "route in force");
        }
        let mut decisions = self.decisions();
        decisions.split.retain_routes(&table);
        let known: HashSet<&str> = table.routes().map(|r| &*r.name).collect();
        decisions.gates.retain(|name| known.contains(name));
    }

    /// Returns the version of the configuration in force, 0 if there is none.
    pub fn version(&self) -> u64 {
        self.view().routes.as_ref().map_or(0, |table| table.version)
    }

    /// Notes the version that another node has in force.
    pub fn hear_version(&self, version: u64) {
        if version > self.version() {
            self.newer.notify_one();
        }
    }

    /// Waits until another node was heard to have a newer configuration.
    pub async fn newer_version(&self) {
        self.newer.notified().await;
    }

    /// Takes over the list of targets.
    pub fn take_targets(&self, list: Vec<TargetEntry>, revision: u64) {
        let cfg = self.cfg();
        let now = self.now();
        let shaky = self.store_state().is_shaky(STORE_SETTLES, now);
        let (instances, own_is_new, leaves, changed) = {
            let mut view = self.write_view();
            let before = view.clone();
            let mut next = View::clone(&before);
            next.merge(list, cfg.target, shaky, now);
            let own_is_new = !next.has_same_own(&before);
            let leaves = next.own_leaving && !before.own_leaving;
            let changed = next.targets != before.targets || own_is_new || leaves;
            *view = Arc::new(next);
            (view.instances(), own_is_new, leaves, changed)
        };
        self.look_for_own();
        if !changed {
            return;
        }
        log::info!(revision = revision, targets = instances.len(); "list of targets changed");
        self.decisions().router.sync(&instances, now);
        if leaves {
            log::info!(revision = revision; "own target is leaving, by the list");
        }
        if own_is_new {
            self.meet_own();
        }
    }

    /// Has the own entry read at once if the list says otherwise of it than what is believed.
    fn look_for_own(&self) {
        let view = self.view();
        let Some(own) = view.own_name() else {
            return;
        };
        let listed = view.targets.iter().any(|t| t.instance.name == *own);
        let missing = !listed || view.missing.contains_key(own);
        if missing != view.own_gone {
            self.own_changed.notify_waiters();
        }
    }

    /// Takes over news about the own target. Returns false if they may be the store's own trouble,
    /// so that they must be read again.
    pub fn take_own(&self, name: &InstanceName, news: TargetChange, revision: u64) -> bool {
        let (leaving, gone) = match &news {
            TargetChange::Unchanged => return true,
            TargetChange::Updated(own) => (own.instance.state == InstanceState::Leaving, false),
            TargetChange::Removed if self.may_have_lost_entries() => return false,
            TargetChange::Removed => (false, true),
        };
        let mut view = self.write_view();
        let changes = (leaving && !view.own_leaving) || gone != view.own_gone;
        if !changes || view.own_name() != Some(name) {
            return true;
        }
        let next = View {
            own_leaving: view.own_leaving || leaving,
            own_gone: gone,
            ..View::clone(&view)
        };
        *view = Arc::new(next);
        drop(view);
        log::info!(
            target:% = name, revision = revision, leaving = leaving, gone = gone;
            "own target is leaving or back"
        );
        true
    }

    /// Returns whether a missing entry may be missing only because the store was away. Once the
    /// list has been read again and is about whole, it is not.
    fn may_have_lost_entries(&self) -> bool {
        let state = self.store_state();
        if !state.is_shaky(STORE_SETTLES, self.now()) {
            return false;
        }
        let view = self.view();
        let read_since = state.recovered().is_some_and(|at| view.listed_at > at);
        !read_since || view.is_list_short()
    }

    /// Notes the start of another target at the own address.
    fn meet_own(&self) {
        let own = self.own_target();
        self.target.forget();
        if let Some(own) = &own {
            self.intake.set_slots(own.slots);
            log::info!(
                target:% = own.instance.name, slots = own.slots, born = own.start_time_ms;
                "own target is listed"
            );
        }
        self.own_changed.notify_waiters();
    }
}
