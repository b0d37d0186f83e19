//! The organisations of one configuration version, by key.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::coordination::organisations::key::ApiKeyHash;
use crate::instance::OrganisationName;

/// Highest rate that is accepted, in requests per second. Higher ones are taken for mistakes.
const MAX_RATE: f64 = 1e9;

/// An organisation whose callers send requests with one of its keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name, unique in its configuration.
    pub name: OrganisationName,
    /// Hashes of its keys.
    pub keys: Vec<ApiKeyHash>,
    /// Priority of its requests, which takes precedence over that of the route; 0 is the highest.
    pub priority: Option<u8>,
    /// Its quota, if it has one.
    pub quota: Option<Quota>,
}

/// Quota of an organisation over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests per second.
    pub rate: f64,
    /// Requests beyond the rate that may be sent at once.
    pub burst: f64,
}

/// Error in the organisations of a configuration.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum DirectoryError {
    /// An organisation has no name.
    #[error("an organisation has no name")]
    NoName,
    /// Two organisations have the same name.
    #[error("organisation `{0}` is defined twice")]
    DuplicateName(OrganisationName),
    /// Two organisations hold the same key.
    #[error("organisations `{0}` and `{1}` hold the same key")]
    SharedKey(OrganisationName, OrganisationName),
    /// The rate or the burst of an organisation is not a number from 0 to the maximum.
    #[error("quota of organisation `{0}` is not a number from 0 to {MAX_RATE:e}")]
    Quota(OrganisationName),
}

/// The organisations of a configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Directory {
    /// Sorted by name.
    organisations: Vec<Arc<Organisation>>,
    /// Indexes into `organisations`.
    #[serde(skip)]
    by_key: HashMap<ApiKeyHash, usize>,
}

impl Directory {
    /// Builds the directory of `organisations`.
    ///
    /// # Errors
    ///
    /// If a name is missing or not unique, a key has two holders, or a quota is out of range.
    pub fn new(organisations: Vec<Organisation>) -> Result<Directory, DirectoryError> {
        let mut names = HashSet::new();
        let mut holders: HashMap<ApiKeyHash, &OrganisationName> = HashMap::new();
        for organisation in &organisations {
            let name = &organisation.name;
            if name.as_str().is_empty() {
                return Err(DirectoryError::NoName);
            }
            if !names.insert(name) {
                return Err(DirectoryError::DuplicateName(name.clone()));
            }
            let in_range = |value: f64| (0.0..=MAX_RATE).contains(&value);
            if organisation
                .quota
                .is_some_and(|q| !in_range(q.rate) || !in_range(q.burst))
            {
                return Err(DirectoryError::Quota(name.clone()));
            }
            for key in &organisation.keys {
                if let Some(other) = holders.insert(*key, name).filter(|other| *other != name) {
                    return Err(DirectoryError::SharedKey(other.clone(), name.clone()));
                }
            }
        }
        let mut sorted = organisations;
        sorted.sort_by(|a, b| a.name.cmp(&b.name));
        let directory = Directory {
            organisations: sorted.into_iter().map(Arc::new).collect(),
            by_key: HashMap::new(),
        };
        Ok(directory.with_index())
    }

    /// Rebuilds the index, which is not serialized.
    pub fn with_index(mut self) -> Directory {
        let indexed = self.organisations.iter().enumerate();
        let keys = indexed.flat_map(|(at, o)| o.keys.iter().map(move |key| (*key, at)));
        self.by_key = keys.collect();
        self
    }

    /// Returns the organisation that holds a key.
    pub fn find(&self, key: &ApiKeyHash) -> Option<&Arc<Organisation>> {
        let at = *self.by_key.get(key)?;
        self.organisations.get(at)
    }

    /// Returns the organisation with a name.
    pub fn named(&self, name: &OrganisationName) -> Option<&Arc<Organisation>> {
        let at = self.organisations.binary_search_by(|o| o.name.cmp(name));
        self.organisations.get(at.ok()?)
    }

    /// Returns whether any organisation has a quota.
    pub fn has_quotas(&self) -> bool {
        self.iter().any(|organisation| organisation.quota.is_some())
    }

    /// Iterates over the organisations.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.organisations.iter()
    }
}
