//! Membership state machine of one gateway: schedules probes, merges claims about members, and gossips changes.
//!
//! The caller calls [`Membership::on_timer`] at the time that [`Membership::next_timer`] returns, calls
//! [`Membership::on_datagram`] for each received datagram, and sends the datagrams of the returned [`Output`]. Probe
//! rounds, suspicion and incarnations follow SWIM. Timeouts adapt to a slow local gateway as in Lifeguard.

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

/// Number of members, in addition to `helper_count`, that a leaving gateway notifies directly.
const EXTRA_LEAVE_NOTICES: usize = 2;

/// Entry of the member table.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// Highest status received so far.
    pub status: MemberStatus,
    /// Address, zone and capacity that the member announced.
    pub info: MemberInfo,
    /// Time at which the member entered the current state or generation in this gateway's view. For this gateway's own
    /// entry also updated by each refutation.
    pub state_since: Timestamp,
    /// Time of the last datagram sent by the member itself in its current generation; `None` before the first one.
    pub last_heard_at: Option<Timestamp>,
}

/// Member table of one gateway, with the protocol state that maintains the table.
#[derive(Clone, Debug)]
pub struct Membership {
    own_name: String,
    settings: MembershipSettings,
    random: WyRand,
    /// All known members by name, including this gateway and remembered members that have ended.
    members: BTreeMap<String, Member>,
    /// Number of alive and suspected members. Cached because each outgoing datagram needs this number.
    live_count: usize,
    /// Earliest time at which an ended member may expire.
    next_expiry: Timestamp,
    suspicions: BTreeMap<String, Suspicion>,
    gossip: GossipQueue,
    health: LocalHealth,
    /// Names still to be probed in the current round. The last element is probed next.
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
    /// Creates the membership of a gateway that knows only itself and the seed addresses. `seed` initializes the random
    /// number generator.
    pub fn new(
        name: &str,
        generation: u64,
        info: MemberInfo,
        settings: MembershipSettings,
        seed: u64,
        now: Timestamp,
    ) -> Membership {
        let status = MemberStatus::alive(generation, 0);
        let own_entry = Member { status, info, state_since: now, last_heard_at: Some(now) };
        let mut gossip = GossipQueue::default();
        gossip.enqueue(name);
        Membership {
            own_name: name.to_owned(),
            settings,
            random: WyRand::new_seed(seed),
            members: BTreeMap::from([(name.to_owned(), own_entry)]),
            live_count: 1,
            next_expiry: now,
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

    /// Returns all known members, including this gateway and remembered members that have ended.
    pub fn members(&self) -> &BTreeMap<String, Member> {
        &self.members
    }

    /// Returns a number that increases with each change of [`Membership::members`], except changes of
    /// [`Member::last_heard_at`].
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the local health of this gateway.
    pub fn local_health(&self) -> LocalHealth {
        self.health
    }

    /// Returns this gateway's entry in the member table.
    pub fn own_entry(&self) -> &Member {
        &self.members[&self.own_name]
    }

    /// Returns whether a process that started later uses this gateway's name. This gateway is then no longer a member.
    pub fn is_name_taken(&self) -> bool {
        self.name_taken
    }

    /// Returns the alive and suspected members, including this gateway.
    pub fn live_members(&self) -> impl Iterator<Item = (&String, &Member)> {
        self.members.iter().filter(|(_, member)| !member.status.is_final())
    }

    /// Returns the numbers of live and dead members, the input of [`FleetSize`](crate::fleet_size::FleetSize).
    pub fn fleet_view(&self) -> FleetView {
        let is_dead = |member: &&Member| member.status.state == MemberState::Dead;
        FleetView { live: self.live_count, dead: self.members.values().filter(is_dead).count() }
    }

    /// Replaces the settings after a reload and keeps the member table.
    pub fn update_settings(&mut self, settings: MembershipSettings) {
        self.settings = settings;
        self.next_expiry = Timestamp::default();
    }

    /// Returns the time at which [`Membership::on_timer`] is due.
    pub fn next_timer(&self) -> Timestamp {
        let probe = self.probe.as_ref().map(Probe::next_timer);
        let suspicion = self.suspicions.values().map(Suspicion::deadline).min();
        let relayed = self.relayed_probes.iter().map(|relayed| relayed.deadline).min();
        [probe, suspicion, relayed]
            .into_iter()
            .flatten()
            .fold(self.next_probe.min(self.next_table), Timestamp::min)
    }

    /// Marks this gateway as left and notifies several members directly, because this gateway sends no further probes that
    /// could carry the update.
    pub fn leave(&mut self, now: Timestamp) -> Output {
        let mut output = Output::default();
        let left = self.own_entry().status.with_state(MemberState::Left);
        if let Some(update) = self.update_about(&self.own_name) {
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

    /// Runs all timers that are due: suspicions, probes, table exchanges and the expiry of ended members.
    pub fn on_timer(&mut self, now: Timestamp) -> Output {
        let mut output = Output::default();
        if self.name_taken || self.own_entry().status.is_final() {
            self.next_probe = now + self.settings.probe_interval;
            self.next_table = now + self.settings.probe_interval;
            return output;
        }
        self.postpone_after_stall(now);
        self.expire_suspicions(now, &mut output);
        self.expire_relayed_probes(now, &mut output);
        self.check_probe(now, &mut output);
        if now >= self.next_probe {
            self.next_probe = now + self.health.scale_timeout(self.settings.probe_interval);
            self.start_probe(now, &mut output);
        }
        if now >= self.next_table {
            self.next_table = now + self.settings.table_exchange_interval;
            self.send_table_pages(&mut output);
        }
        self.remove_expired_members(now);
        output
    }

    /// Processes a datagram received from the address `from`. Returns an error if the sender is not allowed or if another
    /// process took over this gateway's name.
    pub fn on_datagram(
        &mut self,
        from: SocketAddrV4,
        datagram: &Datagram,
        now: Timestamp,
    ) -> Result<Output, Rejection> {
        if !self.is_allowed_address(from) || datagram.info.address != from {
            return Err(Rejection::UnknownSender);
        }
        let mut output = Output::default();
        if self.name_taken || self.own_entry().status.is_final() {
            return Ok(output);
        }
        if datagram.name == self.own_name {
            // The datagram is either this gateway's own, reflected by the network, or comes from another process with the
            // same name, which must not receive a reply.
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
        // A sender whose claim about itself is outdated learns the newer status from the next datagram.
        if self.members.get(&datagram.name).is_some_and(|m| m.status.supersedes(datagram.status)) {
            self.gossip.enqueue(&datagram.name);
        }
        for update in &datagram.updates {
            self.apply_update(update, ChangeReason::Gossip, now, &mut output);
        }
        if self.name_taken {
            return Err(Rejection::NameTaken);
        }
        self.process_payload(from, datagram, now, &mut output);
        Ok(output)
    }

    fn process_payload(
        &mut self,
        from: SocketAddrV4,
        datagram: &Datagram,
        now: Timestamp,
        output: &mut Output,
    ) {
        match &datagram.payload {
            Payload::Ping { sequence } => {
                self.send_to_member(&datagram.name, from, Payload::Ack { sequence: *sequence }, output);
            }
            Payload::PingRequest { sequence, address, .. } => {
                self.relay_probe(from, *sequence, *address, now, output);
            }
            Payload::Ack { sequence } => self.on_ack(*sequence, output),
            Payload::Nack { sequence } => self.on_nack(*sequence),
            Payload::TablePage { after, wants_reply } => {
                if *wants_reply {
                    self.send_page(from, after.clone(), false, output);
                }
            }
        }
    }

    fn is_allowed_address(&self, from: SocketAddrV4) -> bool {
        self.settings.allowed_networks.iter().any(|network| network.contains(*from.ip()))
    }

    fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }
}
