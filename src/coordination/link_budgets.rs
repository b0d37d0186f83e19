//! Byte budgets of the links to other regions, one per region.

use std::collections::BTreeMap;

use crate::clock::Time;
use crate::coordination::link_budget::Charge;
use crate::coordination::link_budget::LinkBudget;
use crate::coordination::link_budget::LinkConfig;
use crate::instance::RegionName;

/// Maximum number of links.
pub const MAX_REGIONS: usize = 64;

/// Charge of an attempt to the byte budget of a link.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkCharge {
    /// Region at the other end.
    pub region: RegionName,
    /// Bytes charged before the size of the response is known.
    pub charge: Charge,
}

#[derive(Clone, Debug)]
struct Link {
    cfg: LinkConfig,
    budget: LinkBudget,
}

/// Byte budgets, keyed by the region at the other end of the link.
#[derive(Clone, Debug)]
pub struct LinkBudgets {
    default_cfg: LinkConfig,
    links: BTreeMap<RegionName, Link>,
    empty: LinkBudget,
}

impl LinkBudgets {
    /// Creates an empty table. Links that are added without settings use `default_cfg`.
    pub fn new(default_cfg: LinkConfig, now: Time) -> LinkBudgets {
        let zero_rate = LinkConfig {
            bytes_per_s: 0.0,
            ..default_cfg
        };
        LinkBudgets {
            default_cfg,
            links: BTreeMap::new(),
            empty: LinkBudget::new(&zero_rate, now),
        }
    }

    /// Adds the link to `region` with the default settings and full buckets, unless it exists.
    pub fn add(&mut self, region: &RegionName, now: Time) {
        if !self.links.contains_key(region) {
            self.set(region, self.default_cfg, now);
        }
    }

    /// Sets the budget of the link to `region`. An existing budget keeps its relative fill level.
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

    /// Returns the charge for a call to `region` with a request body of `request_bytes`, or `None` if
    /// the budget does not allow it.
    pub fn quote(
        &self,
        region: &RegionName,
        critical: bool,
        request_bytes: u64,
        now: Time,
    ) -> Option<LinkCharge> {
        let charge = self.budget(region).quote(critical, request_bytes, now)?;
        Some(LinkCharge {
            region: region.clone(),
            charge,
        })
    }

    /// Takes the charge of an attempt that is being sent.
    pub fn charge(&mut self, link_charge: &LinkCharge, now: Time) {
        if let Some(link) = self.links.get_mut(&link_charge.region) {
            link.budget.charge(&link_charge.charge, now);
        }
    }

    /// Corrects the charge of an attempt that transferred `bytes`; 0 if unknown.
    pub fn settle(&mut self, link_charge: &LinkCharge, bytes: u64, now: Time) {
        if let Some(link) = self.links.get_mut(&link_charge.region) {
            link.budget.settle(&link_charge.charge, bytes, now);
        }
    }

    /// Returns the budget of the link to `region`, or an empty budget if there is no such link.
    pub fn budget(&self, region: &RegionName) -> &LinkBudget {
        self.links
            .get(region)
            .map_or(&self.empty, |link| &link.budget)
    }

    /// Iterates over the regions and the budgets of their links.
    pub fn iter(&self) -> impl Iterator<Item = (&RegionName, &LinkBudget)> {
        self.links
            .iter()
            .map(|(region, link)| (region, &link.budget))
    }
}
