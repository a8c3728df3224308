//! One gateway's part in finding out who is alive: whom it probes and when, what it believes of what it hears, and what it
//! passes on.
//!
//! The caller calls [`Membership::on_timer`] when [`Membership::next_timer`] has come and [`Membership::on_datagram`] with
//! each datagram, and sends what the [`Output`] holds. SWIM's rounds, suspicion and incarnations, with Lifeguard's care for
//! a gateway that is slow itself.

mod output;
mod probes;
mod sending;
mod settings;
mod updates;

pub use output::{ChangeReason, MemberChange, OutgoingDatagram, Output, Rejection};
pub use settings::{MembershipSettings, Network};

use crate::datagram::{Datagram, Payload};
use crate::fleet_size::FleetView;
use crate::gossip_queue::GossipQueue;
use crate::local_health::LocalHealth;
use crate::member_update::{MemberInfo, MemberState, MemberStatus, MemberUpdate};
use crate::suspicion::Suspicion;
use larchfall_policy::time::Timestamp;
use nanorand::WyRand;
use probes::{Probe, RelayedProbe};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

/// Members beyond the helpers that hear at once when this gateway leaves.
const EXTRA_LEAVE_NOTICES: usize = 2;

/// One gateway as this one knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// The highest claim.
    pub status: MemberStatus,
    /// What it says of itself.
    pub info: MemberInfo,
    /// Since when it is in this state.
    pub state_since: Timestamp,
    /// When its own datagram last came.
    pub last_heard_at: Option<Timestamp>,
}

/// One gateway's view of all members.
#[derive(Clone, Debug)]
pub struct Membership {
    me: String,
    settings: MembershipSettings,
    random: WyRand,
    /// All that are known, this gateway among them.
    members: BTreeMap<String, Member>,
    /// How many of them are live: needed for each datagram.
    live_count: usize,
    /// No ended member is to be forgotten before.
    next_forget: Timestamp,
    suspicions: BTreeMap<String, Suspicion>,
    gossip: GossipQueue,
    health: LocalHealth,
    /// Whom to probe in the present round, the next last.
    probe_order: Vec<String>,
    probe: Option<Probe>,
    relayed_probes: VecDeque<RelayedProbe>,
    last_sequence: u32,
    next_probe: Timestamp,
    next_table: Timestamp,
    version: u64,
    name_taken: bool,
}

impl Membership {
    /// A gateway that knows only itself and the seeds.
    pub fn new(
        name: &str,
        generation: u64,
        info: MemberInfo,
        settings: MembershipSettings,
        seed: u64,
        now: Timestamp,
    ) -> Membership {
        let status = MemberStatus::alive(generation, 0);
        let myself = Member { status, info, state_since: now, last_heard_at: Some(now) };
        let mut gossip = GossipQueue::default();
        gossip.enqueue(name);
        Membership {
            me: name.to_owned(),
            settings,
            random: WyRand::new_seed(seed),
            members: BTreeMap::from([(name.to_owned(), myself)]),
            live_count: 1,
            next_forget: now,
            suspicions: BTreeMap::new(),
            gossip,
            health: LocalHealth::default(),
            probe_order: Vec::new(),
            probe: None,
            relayed_probes: VecDeque::new(),
            last_sequence: 0,
            next_probe: now,
            next_table: now,
            version: 1,
            name_taken: false,
        }
    }

    /// All that are known, among them the ended that are remembered.
    pub fn members(&self) -> &BTreeMap<String, Member> {
        &self.members
    }

    /// Grows with each change of [`Membership::members`], but for when members were heard.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// This gateway's own health.
    pub fn local_health(&self) -> LocalHealth {
        self.health
    }

    /// This gateway's own entry.
    pub fn own_entry(&self) -> &Member {
        &self.members[&self.me]
    }

    /// Whether another process of this name that was started later has it.
    pub fn is_name_taken(&self) -> bool {
        self.name_taken
    }

    /// Members that are alive or suspected, this gateway among them.
    pub fn live_members(&self) -> impl Iterator<Item = (&String, &Member)> {
        self.members.iter().filter(|(_, member)| !member.status.is_final())
    }

    /// What this gateway sees of the fleet, to count it.
    pub fn fleet_view(&self) -> FleetView {
        let is_dead = |member: &&Member| member.status.state == MemberState::Dead;
        FleetView { live: self.live_count, dead: self.members.values().filter(is_dead).count() }
    }

    /// Takes settings that were read again; what is known stays.
    pub fn update_settings(&mut self, settings: MembershipSettings) {
        self.settings = settings;
        self.next_forget = Timestamp::default();
    }

    /// When the timer is to run next.
    pub fn next_timer(&self) -> Timestamp {
        let probe = self.probe.as_ref().map(Probe::next_timer);
        let suspicion = self.suspicions.values().map(Suspicion::deadline).min();
        let relayed = self.relayed_probes.iter().map(|relayed| relayed.deadline).min();
        [probe, suspicion, relayed]
            .into_iter()
            .flatten()
            .fold(self.next_probe.min(self.next_table), Timestamp::min)
    }

    /// Says that this gateway leaves, to some members at once: there is no later round of its own to pass it on in.
    pub fn leave(&mut self, now: Timestamp) -> Output {
        let mut output = Output::default();
        let left = self.own_entry().status.with(MemberState::Left);
        if let Some(update) = self.update_about(&self.me) {
            let update = MemberUpdate { status: left, ..update };
            self.apply_update(&update, ChangeReason::Heard, now, &mut output);
        }
        for name in self.random_live_members(self.settings.helper_count + EXTRA_LEAVE_NOTICES, None) {
            let to = self.members[&name].info.address;
            let sequence = self.next_sequence();
            self.send(to, Payload::Ping { sequence }, &mut output);
        }
        output
    }

    /// Runs what is due.
    pub fn on_timer(&mut self, now: Timestamp) -> Output {
        let mut output = Output::default();
        if self.name_taken || self.own_entry().status.is_final() {
            self.next_probe = now + self.settings.probe_interval;
            self.next_table = now + self.settings.probe_interval;
            return output;
        }
        self.postpone_after_stall(now);
        self.end_suspicions(now, &mut output);
        self.end_relayed_probes(now, &mut output);
        self.check_probe(now, &mut output);
        if now >= self.next_probe {
            self.next_probe = now + self.health.stretch(self.settings.probe_interval);
            self.start_probe(now, &mut output);
        }
        if now >= self.next_table {
            self.next_table = now + self.settings.table_exchange_interval;
            self.send_tables(&mut output);
        }
        self.forget_ended(now);
        output
    }

    /// Takes in a datagram that came from this address.
    pub fn on_datagram(
        &mut self,
        from: SocketAddrV4,
        datagram: &Datagram,
        now: Timestamp,
    ) -> Result<Output, Rejection> {
        if !self.may_send(from) || datagram.info.address != from {
            return Err(Rejection::UnknownSender);
        }
        let mut output = Output::default();
        if self.name_taken || self.own_entry().status.is_final() {
            return Ok(output);
        }
        if datagram.name == self.me {
            // Its own datagram may come back to it; another's under this name may not be answered.
            if datagram.status.generation > self.own_entry().status.generation {
                self.name_taken = true;
                return Err(Rejection::NameTaken);
            }
            return Ok(output);
        }
        self.apply_update(&datagram.sender(), ChangeReason::Heard, now, &mut output);
        if let Some(sender) = self.members.get_mut(&datagram.name)
            && sender.status.generation == datagram.status.generation
        {
            sender.last_heard_at = Some(now);
        }
        // Where the sender's claim of itself is outdated, the next datagram tells it.
        if self.members.get(&datagram.name).is_some_and(|m| m.status.supersedes(datagram.status)) {
            self.gossip.enqueue(&datagram.name);
        }
        for update in &datagram.updates {
            self.apply_update(update, ChangeReason::Gossip, now, &mut output);
        }
        if self.name_taken {
            return Err(Rejection::NameTaken);
        }
        self.answer(from, datagram, now, &mut output);
        Ok(output)
    }

    fn answer(&mut self, from: SocketAddrV4, datagram: &Datagram, now: Timestamp, output: &mut Output) {
        match &datagram.payload {
            Payload::Ping { sequence } => {
                self.send_to_member(&datagram.name, from, Payload::Ack { sequence: *sequence }, output);
            }
            Payload::PingRequest { sequence, address, .. } => {
                self.relay_probe(from, *sequence, *address, now, output);
            }
            Payload::Ack { sequence } => self.on_ack(*sequence, output),
            Payload::Nack { sequence } => self.on_nack(*sequence),
            Payload::Table { after, wants_reply } => {
                if *wants_reply {
                    self.send_page(from, after.clone(), false, output);
                }
            }
        }
    }

    fn may_send(&self, from: SocketAddrV4) -> bool {
        self.settings.allowed_networks.iter().any(|network| network.contains(*from.ip()))
    }

    fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }
}
