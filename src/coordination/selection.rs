//! Selection of one target among those of a service.

use rand::Rng;
use rand::RngExt;
use strum::EnumIter;
use strum::IntoEnumIterator;

use crate::clock::Time;
use crate::coordination::ejection::Availability;
use crate::coordination::link_budgets::LinkBudgets;
use crate::coordination::link_budgets::LinkCharge;
use crate::coordination::routing::Distance;
use crate::coordination::routing::PickArgs;
use crate::coordination::routing::RoutingConfig;
use crate::coordination::routing::Strategy;
use crate::coordination::target::TargetState;
use crate::coordination::target_group::TargetGroup;
use crate::error::NotRunKind;

/// Sets of usable instances. A tier is tried only if the ones before it yield no instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter)]
enum Tier {
    Untried,
    UntriedEjected,
    Tried,
    TriedEjected,
}

impl Tier {
    fn allows_ejected(self) -> bool {
        matches!(self, Tier::UntriedEjected | Tier::TriedEjected)
    }

    fn allows_tried(self) -> bool {
        matches!(self, Tier::Tried | Tier::TriedEjected)
    }
}

/// Inputs for the selection of one target.
pub struct Selection<'a> {
    /// Settings of the router.
    pub cfg: &'a RoutingConfig,
    /// Constraints of the attempt.
    pub args: &'a PickArgs<'a>,
    /// Byte budgets of the links to other regions.
    pub link_budgets: &'a LinkBudgets,
    /// Current time.
    pub now: Time,
}

impl Selection<'_> {
    /// Returns the index of the selected target in `group`, or `None` if no target may be used.
    pub fn select<R>(&self, group: &mut TargetGroup, rng: &mut R) -> Option<usize>
    where
        R: Rng,
    {
        let mut tiers = Tier::iter().filter(|tier| self.allows(*tier));
        tiers.find_map(|tier| self.select_nearest(group, tier, rng))
    }

    /// Returns the charge of a call to `target` to the byte budget of the link to its region.
    ///
    /// Returns `None` if the target is in the local region, the call may not leave the region, or
    /// the budget does not allow it.
    pub fn link_charge(&self, target: &TargetState) -> Option<LinkCharge> {
        if target.distance != Distance::CrossRegion || !self.args.cross_region {
            return None;
        }
        let PickArgs { request_bytes, .. } = *self.args;
        let critical = self.args.is_critical();
        self.link_budgets
            .quote(&target.instance.region, critical, request_bytes, self.now)
    }

    /// Returns the error kind for a call for which no target may be used.
    pub fn unavailable_reason(&self, group: &TargetGroup) -> NotRunKind {
        let out_of_budget =
            |t: &TargetState| t.distance == Distance::CrossRegion && self.link_charge(t).is_none();
        match self.args.cross_region && group.targets.iter().any(out_of_budget) {
            true => NotRunKind::LinkBudget,
            false => NotRunKind::NoInstance,
        }
    }

    fn allows(&self, tier: Tier) -> bool {
        !(self.args.untried_only && tier.allows_tried())
    }

    /// Picks at the nearest distance whose pick is not busy, or at the nearest distance if all
    /// picks are busy.
    fn select_nearest<R>(&self, group: &mut TargetGroup, tier: Tier, rng: &mut R) -> Option<usize>
    where
        R: Rng,
    {
        if self.cfg.ignore_distance {
            return self.pick(group, |t| self.is_usable(t, tier), rng);
        }
        let mut busy = None;
        for distance in Distance::iter() {
            let usable = |t: &TargetState| t.distance == distance && self.is_usable(t, tier);
            let Some(i) = self.pick(group, usable, rng) else {
                continue;
            };
            if !group.targets[i].score.is_busy(self.now, &self.cfg.score) {
                return Some(i);
            }
            busy = busy.or(Some(i));
        }
        busy
    }

    fn is_usable(&self, target: &TargetState, tier: Tier) -> bool {
        if target.distance == Distance::CrossRegion && self.link_charge(target).is_none() {
            return false;
        }
        if target.is_draining(self.now) && !self.cfg.ignore_draining {
            return false;
        }
        let availability = target.health.availability(self.args.idempotent, self.now);
        if availability == Availability::Unavailable && !tier.allows_ejected() {
            return false;
        }
        let untried = || !self.args.tried.contains(&target.instance.name);
        tier.allows_tried() || self.cfg.allow_tried || untried()
    }

    fn pick<F, R>(&self, group: &mut TargetGroup, usable: F, rng: &mut R) -> Option<usize>
    where
        F: Fn(&TargetState) -> bool,
        R: Rng,
    {
        let nth = |n: usize| {
            let mut usable = (0..group.targets.len()).filter(|i| usable(&group.targets[*i]));
            usable.nth(n)
        };
        let count = group.targets.iter().filter(|t| usable(t)).count();
        if count <= 1 {
            return nth(0);
        }
        match self.cfg.strategy {
            Strategy::Random => nth(rng.random_range(0..count)),
            Strategy::RoundRobin => {
                let i = nth(group.round_robin_count % count);
                group.round_robin_count = group.round_robin_count.wrapping_add(1);
                i
            }
            Strategy::TwoChoices => {
                let a = rng.random_range(0..count);
                let b = (a + rng.random_range(1..count)) % count;
                Some(self.pick_cheaper(group, nth(a)?, nth(b)?, rng))
            }
        }
    }

    fn pick_cheaper<R>(&self, group: &TargetGroup, a: usize, b: usize, rng: &mut R) -> usize
    where
        R: Rng,
    {
        let cost_a = self.cost(group, a, rng);
        let cost_b = self.cost(group, b, rng);
        if cost_b < cost_a { b } else { a }
    }

    /// Returns the cost of a target: 0 if it is due for a probe, and infinite in the share of picks
    /// that slow start withholds from a cold instance.
    fn cost<R>(&self, group: &TargetGroup, i: usize, rng: &mut R) -> f64
    where
        R: Rng,
    {
        let target = &group.targets[i];
        if target.health.availability(self.args.idempotent, self.now) == Availability::Probe {
            return 0.0;
        }
        let share = target.health.slow_start_share(self.now, &self.cfg.ejection);
        if share < 1.0 && rng.random::<f64>() >= share {
            return f64::INFINITY;
        }
        target
            .score
            .cost(group.mean_latency_us(), self.now, &self.cfg.score)
    }
}
