//! The tokens that a node has of each organisation's quota, and when it asks for more.
//!
//! A node asks ahead for what its callers use in [`STOCK_TIME`], so that requests of busy
//! organisations do not wait. Those of quiet ones wait for a token of their own, which costs a round
//! trip and wastes nothing.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Time;
use crate::coordination::organisations::holder::Grant;
use crate::coordination::organisations::quota::TOKEN_TTL;
use crate::instance::OrganisationName;

/// Time for which a node keeps tokens in stock.
const STOCK_TIME: Duration = Duration::from_millis(250);

/// Time constant of the average demand.
const DEMAND_TIME: Duration = Duration::from_millis(2_000);

/// Shortest time for which requests are refused after the holder gave out nothing.
const MIN_EXHAUSTED: Duration = Duration::from_millis(20);

/// Longest such time, after which the holder is asked again.
const MAX_EXHAUSTED: Duration = Duration::from_millis(40);

/// Limit on the organisations that a node remembers.
const MAX_STOCKS: usize = 4_096;

/// Time without requests after which an organisation is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(30);

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It has a token.
    Admitted,
    /// It must wait for the answer of the holder.
    Wait,
    /// The quota is used up; a request may be admitted after this time.
    Refused(Duration),
    /// The holder cannot be reached, and the floor share is used up.
    Unreachable,
}

/// Tokens and demand of one organisation at one node.
#[derive(Debug, Default)]
struct Stock {
    /// Tokens that were granted together, and until when they may be used.
    granted: VecDeque<(u32, Time)>,
    /// Average number of requests per second.
    demand: f64,
    seen_at: Time,
    /// Requests that wait for tokens.
    waiting: u32,
    asking: bool,
    exhausted_until: Time,
    unreachable_until: Time,
    /// When requests were admitted from the floor share within the last window.
    floor_used: VecDeque<Time>,
}

impl Stock {
    fn record_arrival(&mut self, now: Time) {
        let passed = now.since(self.seen_at).as_secs_f64() / DEMAND_TIME.as_secs_f64();
        self.demand = self.demand * (-passed).exp() + 1.0 / DEMAND_TIME.as_secs_f64();
        self.seen_at = now;
    }

    fn tokens(&mut self, now: Time) -> u32 {
        while self.granted.front().is_some_and(|(_, until)| *until <= now) {
            self.granted.pop_front();
        }
        self.granted.iter().map(|(tokens, _)| tokens).sum()
    }

    fn take_token(&mut self, now: Time) -> bool {
        if self.tokens(now) == 0 {
            return false;
        }
        if let Some((tokens, _)) = self.granted.front_mut() {
            *tokens -= 1;
            if *tokens == 0 {
                self.granted.pop_front();
            }
        }
        true
    }

    fn take_floor(&mut self, share: usize, window: Duration, now: Time) -> bool {
        while self
            .floor_used
            .front()
            .is_some_and(|at| now.since(*at) > window)
        {
            self.floor_used.pop_front();
        }
        let free = self.floor_used.len() < share;
        if free {
            self.floor_used.push_back(now);
        }
        free
    }

    /// Returns how many tokens to ask for, if any.
    fn wanted(&mut self, now: Time) -> Option<u32> {
        let blocked = now < self.exhausted_until || now < self.unreachable_until;
        if self.asking || blocked {
            return None;
        }
        let kept = (self.demand * STOCK_TIME.as_secs_f64()) as u32;
        let tokens = self.tokens(now);
        let enough = self.waiting == 0 && tokens * 2 >= kept;
        (!enough).then(|| (kept + self.waiting).saturating_sub(tokens).max(1))
    }
}

/// The floor share of a node for an organisation.
#[derive(Clone, Copy, Debug)]
pub struct Floor {
    /// Requests that may be admitted without tokens in any window.
    pub share: usize,
    /// Length of the window.
    pub window: Duration,
}

/// The tokens of a node for all organisations.
#[derive(Debug, Default)]
pub struct Stocks {
    stocks: HashMap<OrganisationName, Stock>,
}

impl Stocks {
    /// Decides on a request that has just arrived.
    pub fn arrive(&mut self, name: &OrganisationName, floor: Floor, now: Time) -> Admission {
        if self.stocks.len() >= MAX_STOCKS && !self.stocks.contains_key(name) {
            self.forget_idle(now);
        }
        self.stocks
            .entry(name.clone())
            .or_default()
            .record_arrival(now);
        self.decide(name, floor, now)
    }

    /// Decides on a request that has waited for the holder.
    pub fn decide(&mut self, name: &OrganisationName, floor: Floor, now: Time) -> Admission {
        let stock = self.stocks.entry(name.clone()).or_default();
        if stock.take_token(now) {
            return Admission::Admitted;
        }
        if now < stock.exhausted_until {
            return Admission::Refused(stock.exhausted_until.since(now));
        }
        if now < stock.unreachable_until {
            return match stock.take_floor(floor.share, floor.window, now) {
                true => Admission::Admitted,
                false => Admission::Unreachable,
            };
        }
        Admission::Wait
    }

    /// Counts a request that begins or ends to wait.
    pub fn set_waiting(&mut self, name: &OrganisationName, waits: bool) {
        let stock = self.stocks.entry(name.clone()).or_default();
        stock.waiting = match waits {
            true => stock.waiting + 1,
            false => stock.waiting.saturating_sub(1),
        };
    }

    /// Returns how many tokens to ask the holder for now, if any. The answer must be recorded.
    pub fn ask(&mut self, name: &OrganisationName, now: Time) -> Option<u32> {
        let stock = self.stocks.get_mut(name)?;
        let wanted = stock.wanted(now);
        stock.asking |= wanted.is_some();
        wanted
    }

    /// Records the answer of the holder to a question that was sent at `asked`. Nothing means that
    /// no holder could be reached, and is valid for `unreachable_for`.
    pub fn record_answer(
        &mut self,
        name: &OrganisationName,
        grant: Option<Grant>,
        asked: Time,
        unreachable_for: Duration,
        now: Time,
    ) {
        let Some(stock) = self.stocks.get_mut(name) else {
            return;
        };
        stock.asking = false;
        match grant {
            None => stock.unreachable_until = now.plus(unreachable_for),
            Some(grant) if grant.tokens == 0 => {
                let pause = grant.next_in.clamp(MIN_EXHAUSTED, MAX_EXHAUSTED);
                stock.exhausted_until = now.plus(pause);
            }
            Some(grant) => stock
                .granted
                .push_back((grant.tokens, asked.plus(TOKEN_TTL))),
        }
    }

    /// Returns the number of tokens of an organisation that may be used now.
    pub fn tokens(&mut self, name: &OrganisationName, now: Time) -> u32 {
        self.stocks
            .get_mut(name)
            .map_or(0, |stock| stock.tokens(now))
    }

    /// Keeps only the given organisations.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&OrganisationName) -> bool,
    {
        self.stocks.retain(|name, _| keep(name));
    }

    fn forget_idle(&mut self, now: Time) {
        self.stocks
            .retain(|_, stock| stock.waiting > 0 || now.since(stock.seen_at) < FORGOTTEN_AFTER);
    }
}
