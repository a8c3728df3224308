//! Table tests of candidacies, voter sets and voters.

use larchfall_leases::candidacy::{Candidacy, LeaseTerms};
use larchfall_leases::messages::{LeaseRequest, MemberId};
use larchfall_leases::quorum::VoterSet;
use larchfall_leases::voter::{Voter, VoterLimits};
use larchfall_leases::voter_record::VoterRecord;
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The time `ms` milliseconds after the start of the clock.
fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1000)
}

fn member(name: &str, generation: u64) -> MemberId {
    MemberId { name: name.into(), generation }
}

/// Voter names of one letter each.
fn voter_names(letters: &str) -> BTreeSet<String> {
    letters.chars().map(String::from).collect()
}

/// A voter set; an empty string stands for no previous voters.
fn voter_set(current: &str, previous: &str) -> VoterSet {
    VoterSet {
        current: voter_names(current),
        previous: Some(voter_names(previous)).filter(|names| !names.is_empty()),
    }
}

#[test]
fn a_lease_counts_from_the_request_that_a_majority_of_each_voter_list_granted() {
    let terms = LeaseTerms { length: ms(1000), drift_margin_per_mille: 100 };
    // (current voters, previous voters, voters that granted each with the time of the request in milliseconds, time in
    // milliseconds until which the lease is held)
    let cases = [
        ("abc", "", "a1", None),
        ("abc", "", "a1 b5", Some(901)),
        ("abc", "", "a1 b5 c9", Some(905)),
        ("abc", "", "a9 a1 b5", Some(905)),
        ("abcde", "", "a1 b2 c3", Some(901)),
        ("abc", "", "x1 y1 a1", None),
        ("abc", "cde", "a1 b5", None),
        ("abc", "cde", "a1 c5 d7", Some(901)),
    ];
    for (current, previous, grants, held_until) in cases {
        let mut candidacy = Candidacy::new(1);
        for grant in grants.split(' ') {
            candidacy.record_grant(&grant[..1], at(grant[1..].parse().unwrap()), terms);
        }
        let voters = voter_set(current, previous);
        assert_eq!(
            candidacy.expires_at(&voters),
            held_until.map(at),
            "current voters {current}, previous voters {previous:?}, grants {grants}"
        );
        if let Some(end) = held_until {
            assert!(candidacy.is_held(&voters, at(end - 1)) && !candidacy.is_held(&voters, at(end)));
        }
    }
}

/// After a reload, or with settings that differ between gateways, a candidate must not count a grant for longer than
/// the voter granted it.
#[test]
fn changed_or_different_terms_make_no_lease_longer_than_granted() {
    let short = LeaseTerms { length: ms(1000), drift_margin_per_mille: 0 };
    let long = LeaseTerms { length: ms(9000), drift_margin_per_mille: 0 };
    let mut candidacy = Candidacy::new(1);
    candidacy.record_grant("a", at(0), short);
    candidacy.record_grant("b", at(0), short);
    candidacy.record_grant("c", at(500), long);
    assert_eq!(candidacy.expires_at(&voter_set("abc", "")), Some(at(1000)));
    let limits = VoterLimits { longest_lease: ms(1000), max_roles: 9, persistent: false };
    let mut voter = Voter::new(limits, None, 0, at(0));
    let candidate = member("a", 1);
    let request = |length_us| LeaseRequest { role: "x".into(), token: 9, length_us };
    assert_eq!(voter.on_request(&candidate, &request(1_000_001), 1, at(1000)), None);
    let granted = voter.on_request(&candidate, &request(1_000_000), 1, at(1000));
    assert!(granted.is_some_and(|vote| vote.granted));
    // The voter record keeps the longest lease length of all limits that were in force.
    voter.update_limits(VoterLimits { longest_lease: ms(4000), ..limits });
    voter.update_limits(VoterLimits { longest_lease: ms(2000), ..limits });
    assert_eq!(voter.record().longest_lease_us, 4_000_000);
}

#[test]
fn voters_may_change_only_if_all_majorities_intersect() {
    // ((current and previous voters before the change), (current and previous voters after), whether it is allowed)
    let cases = [
        (("abc", ""), ("abc", ""), true),
        (("abc", ""), ("abd", ""), false),
        (("abc", ""), ("abcde", ""), false),
        (("abc", ""), ("abd", "abc"), true),
        (("abd", "abc"), ("abd", ""), true),
        (("abd", "abc"), ("abe", ""), false),
    ];
    for ((current, previous), (next, next_previous), is_allowed) in cases {
        assert_eq!(
            voter_set(next, next_previous).majorities_intersect(&voter_set(current, previous)),
            is_allowed,
            "change of current/previous voters from {current}/{previous} to {next}/{next_previous}"
        );
    }
}

#[test]
fn a_voter_grants_a_role_to_one_gateway_at_a_time_and_no_token_twice() {
    let limits = VoterLimits { longest_lease: ms(1000), max_roles: 2, persistent: false };
    let mut voter = Voter::new(limits, None, 50, at(0));
    let (a, b, a_restarted) = (member("a", 1), member("b", 1), member("a", 2));
    let request = |role: &str, token| LeaseRequest { role: role.into(), token, length_us: 500_000 };
    // (time in milliseconds, candidate, role, token, whether the request is granted or `None` if it is ignored)
    let cases = [
        (999, &a, "x", 60, None),
        (1000, &a, "x", 50, Some(false)),
        (1000, &a, "x", 51, Some(true)),
        (1100, &b, "x", 99, Some(false)),
        (1400, &a, "x", 51, Some(true)),
        (1899, &a_restarted, "x", 99, Some(false)),
        (1900, &b, "x", 51, Some(false)),
        (1900, &b, "x", 52, Some(true)),
        (1950, &b, "x", 53, Some(true)),
        (1960, &b, "x", 52, Some(false)),
        (1960, &a, "y", 51, Some(true)),
        (1960, &a, "z", 51, None),
    ];
    for (now, candidate, role, token, granted) in cases {
        let vote = voter.on_request(candidate, &request(role, token), 1, at(now));
        let name = &candidate.name;
        assert_eq!(
            vote.map(|vote| vote.granted),
            granted,
            "{name} requests role {role} under token {token} at {now} ms"
        );
    }
    // Releases of an older token and of another gateway's token have no effect. A release of the current token frees
    // the role immediately.
    voter.on_release(&b, "x", 52);
    voter.on_release(&a, "x", 53);
    assert_eq!(voter.leases_after(None, at(1970)).count(), 2);
    voter.on_release(&b, "x", 53);
    assert_eq!(voter.leases_after(None, at(1970)).count(), 1);
    assert_eq!(voter.on_request(&b, &request("x", 53), 1, at(1970)).map(|v| v.granted), Some(false));
}

#[test]
fn a_token_is_granted_when_it_is_on_disk_and_a_failed_write_ends_no_lease() {
    let limits = VoterLimits { longest_lease: ms(1000), max_roles: 9, persistent: true };
    let mut voter = Voter::new(limits, None, 0, at(0));
    let (a, now) = (member("a", 1), at(1000));
    let request = |token| LeaseRequest { role: "x".into(), token, length_us: 500_000 };
    assert_eq!(voter.on_request(&a, &request(1), 7, now), None);
    let record = voter.take_record_to_write().unwrap();
    assert_eq!(record.highest_tokens, BTreeMap::from([("x".into(), 1)]));
    assert_eq!(voter.take_record_to_write(), None, "a second write starts during the first write");
    let delayed = voter.on_record_written(true, at(1200));
    assert!(delayed[0].vote.granted && delayed[0].round == 7 && delayed[0].to == a);
    assert_eq!(
        voter.leases_after(None, at(1699)).count(),
        1,
        "the lease doesn't count from the end of the disk write"
    );
    // The write of a newer token fails: the lease of the previous token stays in force, and the newer token is refused.
    assert_eq!(voter.on_request(&a, &request(2), 8, at(1300)), None);
    assert!(voter.take_record_to_write().is_some());
    assert_eq!(voter.on_record_written(false, at(1310)), []);
    assert_eq!(voter.take_record_to_write(), None, "a failed write is repeated without a new token");
    assert!(!voter.on_request(&a, &request(2), 9, at(1320)).unwrap().granted);
    let other = member("b", 1);
    assert!(voter.on_request(&other, &request(3), 9, at(1690)).unwrap().held_by_other);
    assert!(voter.on_request(&a, &request(1), 9, at(1690)).unwrap().granted);
    // After a restart, the voter stays silent for the longest lease length of the record and continues above the
    // highest token of the record and the wall clock.
    let old_record = VoterRecord { longest_lease_us: 5_000_000, ..record };
    let mut restarted = Voter::new(limits, Some(&old_record), 40, at(2000));
    assert!(restarted.is_silent(at(6999)) && !restarted.is_silent(at(7000)));
    assert_eq!(restarted.on_request(&a, &request(40), 1, at(7000)).unwrap().highest_token, 40);
}
