//! The draw of one target from those of a service.

use rand::Rng;
use rand::RngExt;
use strum::EnumIter;
use strum::IntoEnumIterator;

use crate::clock::Time;
use crate::coordination::ejection::Access;
use crate::coordination::link_budgets::LinkBudgets;
use crate::coordination::link_budgets::LinkCharge;
use crate::coordination::routing::Distance;
use crate::coordination::routing::PickArgs;
use crate::coordination::routing::RoutingConfig;
use crate::coordination::routing::Strategy;
use crate::coordination::target::TargetState;
use crate::coordination::target_group::Group;
use crate::error::NotRunKind;

/// Which instances may be used, each step only if the one before leaves none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter)]
enum Step {
    Fresh,
    FreshEjected,
    Tried,
    TriedEjected,
}

impl Step {
    fn takes_ejected(self) -> bool {
        matches!(self, Step::FreshEjected | Step::TriedEjected)
    }

    fn takes_tried(self) -> bool {
        matches!(self, Step::Tried | Step::TriedEjected)
    }
}

/// The circumstances of one choice.
pub struct Draw<'a> {
    /// Settings of the router.
    pub cfg: &'a RoutingConfig,
    /// What the attempt needs.
    pub want: &'a PickArgs<'a>,
    /// Byte budgets of the links to other regions.
    pub links: &'a LinkBudgets,
    /// The time of the choice.
    pub now: Time,
}

impl Draw<'_> {
    /// Returns the position of the chosen target, if any may be used.
    pub fn any<R>(&self, group: &mut Group, rng: &mut R) -> Option<usize>
    where
        R: Rng,
    {
        let mut steps = Step::iter().filter(|step| self.allows(*step));
        steps.find_map(|step| self.nearest(group, step, rng))
    }

    /// Returns what a call to `target` costs of the byte budget of the link to its region; none
    /// if it costs nothing or may not be made.
    pub fn link_charge(&self, target: &TargetState) -> Option<LinkCharge> {
        if target.distance != Distance::CrossRegion || !self.want.cross_region {
            return None;
        }
        let critical = self.want.is_critical();
        self.links
            .quote(&target.instance.region, critical, self.now)
    }

    /// Returns why no target may be used.
    pub fn reason(&self, group: &Group) -> NotRunKind {
        let out_of_budget =
            |t: &TargetState| t.distance == Distance::CrossRegion && self.link_charge(t).is_none();
        match self.want.cross_region && group.targets.iter().any(out_of_budget) {
            true => NotRunKind::LinkBudget,
            false => NotRunKind::NoInstance,
        }
    }

    fn allows(&self, step: Step) -> bool {
        !(self.want.untried_only && step.takes_tried())
    }

    /// Draws from the nearest place that is not busy, or if all are, from the nearest.
    fn nearest<R>(&self, group: &mut Group, step: Step, rng: &mut R) -> Option<usize>
    where
        R: Rng,
    {
        if self.cfg.ignore_distance {
            return self.draw(group, |t| self.is_open(t, step), rng);
        }
        let mut busy = None;
        for distance in Distance::iter() {
            let usable = |t: &TargetState| t.distance == distance && self.is_open(t, step);
            let Some(i) = self.draw(group, usable, rng) else {
                continue;
            };
            if !group.targets[i].score.is_busy(self.now, &self.cfg.score) {
                return Some(i);
            }
            busy = busy.or(Some(i));
        }
        busy
    }

    fn is_open(&self, target: &TargetState, step: Step) -> bool {
        if target.distance == Distance::CrossRegion && self.link_charge(target).is_none() {
            return false;
        }
        if target.is_draining(self.now) && !self.cfg.ignore_draining {
            return false;
        }
        let access = target.health.access(self.want.idempotent, self.now);
        if access == Access::Closed && !step.takes_ejected() {
            return false;
        }
        let untried = || !self.want.tried.contains(&target.instance.name);
        step.takes_tried() || self.cfg.repeat_tried || untried()
    }

    fn draw<F, R>(&self, group: &mut Group, usable: F, rng: &mut R) -> Option<usize>
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
                let i = nth(group.turn % count);
                group.turn = group.turn.wrapping_add(1);
                i
            }
            Strategy::TwoChoices => {
                let a = rng.random_range(0..count);
                let b = (a + rng.random_range(1..count)) % count;
                Some(self.cheaper(group, nth(a)?, nth(b)?, rng))
            }
        }
    }

    fn cheaper<R>(&self, group: &Group, a: usize, b: usize, rng: &mut R) -> usize
    where
        R: Rng,
    {
        let cost_a = self.cost(group, a, rng);
        let cost_b = self.cost(group, b, rng);
        if cost_b < cost_a { b } else { a }
    }

    /// Returns the cost of a target: none if it is to be probed, and beyond all others for the
    /// part of the draws that a cold instance is spared.
    fn cost<R>(&self, group: &Group, i: usize, rng: &mut R) -> f64
    where
        R: Rng,
    {
        let target = &group.targets[i];
        if target.health.access(self.want.idempotent, self.now) == Access::Probe {
            return 0.0;
        }
        let ramp = target.health.ramp(self.now, &self.cfg.ejection);
        if ramp < 1.0 && rng.random::<f64>() >= ramp {
            return f64::INFINITY;
        }
        target
            .score
            .cost(group.usual_us(), self.now, &self.cfg.score)
    }
}
