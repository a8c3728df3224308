//! A gateway's side: the share that it has, until its end as counted from before it asked, and its own part else.

use crate::Terms;
use larchfall_policy::time::Timestamp;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Holder {
    terms: Terms,
    /// The share, its keeper's token, and when it ends.
    has: Option<(f64, u64, Timestamp)>,
}

impl Holder {
    pub fn new(terms: Terms) -> Holder {
        Holder { terms, has: None }
    }

    /// A keeper's answer to what was asked at that time. One of an older keeper than was heard of is none; a late one
    /// that would end sooner than what there is changes nothing.
    pub fn granted(&mut self, share: f64, token: u64, asked: Timestamp, now: Timestamp) -> bool {
        let until = asked + self.terms.counted();
        let sound = share.is_finite() && (0.0..=1.0).contains(&share);
        let newer = self.has.is_none_or(|(_, t, end)| token > t || (token == t && until > end));
        if !sound || now >= until || !newer {
            return false;
        }
        self.has = Some((share, token, until));
        true
    }

    /// The part of the whole that may be used now.
    pub fn part(&self, now: Timestamp) -> f64 {
        let runs = self.has.filter(|(_, _, until)| now < *until);
        runs.map_or(self.terms.alone(), |(share, ..)| share)
    }

    pub fn has_share(&self, now: Timestamp) -> bool {
        self.has.is_some_and(|(_, _, until)| now < until)
    }
}
