//! Byte budgets of the links to other regions, one a region.

use std::collections::BTreeMap;

use crate::clock::Time;
use crate::coordination::link_budget::Charge;
use crate::coordination::link_budget::LinkBudget;
use crate::coordination::link_budget::LinkConfig;
use crate::instance::RegionName;

/// Most other regions.
pub const MAX_REGIONS: usize = 64;

/// What an attempt costs of the byte budget of a link.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkCharge {
    /// Region at the other end.
    pub region: RegionName,
    /// What is charged before the answer is known.
    pub charge: Charge,
}

#[derive(Clone, Debug)]
struct Link {
    cfg: LinkConfig,
    budget: LinkBudget,
}

/// Byte budgets by the region at the other end.
#[derive(Clone, Debug)]
pub struct LinkBudgets {
    usual: LinkConfig,
    links: BTreeMap<RegionName, Link>,
    none: LinkBudget,
}

impl LinkBudgets {
    /// Builds an empty table; `usual` holds for links that are added without a budget.
    pub fn new(usual: LinkConfig, now: Time) -> LinkBudgets {
        let nothing = LinkConfig {
            bytes_per_s: 0.0,
            ..usual
        };
        LinkBudgets {
            usual,
            links: BTreeMap::new(),
            none: LinkBudget::new(&nothing, now),
        }
    }

    /// Adds the link to `region`, full at `now`, if it is not known.
    pub fn add(&mut self, region: &RegionName, now: Time) {
        if !self.links.contains_key(region) {
            self.set(region, self.usual, now);
        }
    }

    /// Sets the budget of the link to `region`; what was spent stays spent.
    pub fn set(&mut self, region: &RegionName, cfg: LinkConfig, now: Time) {
        if let Some(link) = self.links.get_mut(region) {
            if link.cfg != cfg {
                link.cfg = cfg;
                link.budget.reconfigure(&cfg, now);
            }
            return;
        }
        if self.links.len() >= MAX_REGIONS {
            return;
        }
        let budget = LinkBudget::new(&cfg, now);
        self.links.insert(region.clone(), Link { cfg, budget });
    }

    /// Returns what a call to `region` would cost, or `None` if its budget does not allow it.
    pub fn quote(&self, region: &RegionName, critical: bool, now: Time) -> Option<LinkCharge> {
        let charge = self.budget(region).quote(critical, now)?;
        Some(LinkCharge {
            region: region.clone(),
            charge,
        })
    }

    /// Charges an attempt that is being sent.
    pub fn charge(&mut self, link_charge: &LinkCharge, now: Time) {
        if let Some(link) = self.links.get_mut(&link_charge.region) {
            link.budget.charge(&link_charge.charge, now);
        }
    }

    /// Corrects the charge of an attempt that took `bytes`, 0 if that is unknown.
    pub fn settle(&mut self, link_charge: &LinkCharge, bytes: u64, now: Time) {
        if let Some(link) = self.links.get_mut(&link_charge.region) {
            link.budget.settle(&link_charge.charge, bytes, now);
        }
    }

    /// Returns the budget of the link to `region`, an empty one if the link is not known.
    pub fn budget(&self, region: &RegionName) -> &LinkBudget {
        self.links
            .get(region)
            .map_or(&self.none, |link| &link.budget)
    }

    /// Returns the regions that have a budget, and the budgets.
    pub fn iter(&self) -> impl Iterator<Item = (&RegionName, &LinkBudget)> {
        self.links
            .iter()
            .map(|(region, link)| (region, &link.budget))
    }
}
