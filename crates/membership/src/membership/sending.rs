//! Datagrams of this gateway, and the updates that they carry.

use super::output::{OutgoingDatagram, Output};
use super::{Member, Membership};
use crate::datagram::{Datagram, Payload, encoded_len};
use crate::member_update::{MemberState, MemberUpdate};
use crate::suspicion::Suspicion;
use nanorand::Rng;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::ops::Bound;

/// What `me` passes on about a member.
fn describe(name: &str, member: &Member, suspicion: Option<&Suspicion>, me: &str) -> MemberUpdate {
    MemberUpdate {
        name: name.to_owned(),
        status: member.status,
        info: member.info.clone(),
        reporter: suspicion.map(|suspicion| suspicion.reporter(me).to_owned()),
    }
}

impl Membership {
    pub(super) fn update_about(&self, name: &str) -> Option<MemberUpdate> {
        Some(describe(name, self.members.get(name)?, self.suspicions.get(name), &self.me))
    }

    fn new_datagram(&self, payload: Payload) -> Option<Datagram> {
        Some(Datagram::new(&self.settings.cluster, self.update_about(&self.me)?, payload))
    }

    /// Sends to an address, whoever has it.
    pub(super) fn send(&mut self, to: SocketAddrV4, payload: Payload, output: &mut Output) {
        self.send_with_updates(None, to, payload, output);
    }

    /// Sends to a member.
    pub(super) fn send_to_member(
        &mut self,
        name: &str,
        to: SocketAddrV4,
        payload: Payload,
        output: &mut Output,
    ) {
        self.send_with_updates(Some(name), to, payload, output);
    }

    /// Sends a datagram with as many updates as it holds. A recipient that is claimed to be suspected or dead hears that
    /// first: it alone can refute it.
    fn send_with_updates(
        &mut self,
        recipient: Option<&str>,
        to: SocketAddrV4,
        payload: Payload,
        output: &mut Output,
    ) {
        let Some(mut datagram) = self.new_datagram(payload) else { return };
        let mut remaining = datagram.remaining_bytes();
        let about_recipient = recipient.and_then(|name| self.update_about(name));
        if let Some(update) = about_recipient.filter(|update| update.status.state != MemberState::Alive) {
            remaining = remaining.saturating_sub(encoded_len(&update));
            datagram.updates.push(update);
        }
        self.gossip.take_next(self.live_count, |name| {
            let Some(member) = self.members.get(name).filter(|_| recipient != Some(name)) else {
                return true;
            };
            let update = describe(name, member, self.suspicions.get(name), &self.me);
            let update_bytes = encoded_len(&update);
            let fits = update_bytes <= remaining;
            if fits {
                remaining -= update_bytes;
                datagram.updates.push(update);
            }
            fits
        });
        output.datagrams.push(OutgoingDatagram { to, datagram });
    }

    /// Sends a page of all that is known to a live member, and one to a member that seemed dead or is known by its address
    /// only.
    pub(super) fn send_tables(&mut self, output: &mut Output) {
        let live_addresses: BTreeSet<SocketAddrV4> =
            self.live_members().map(|(_, m)| m.info.address).collect();
        let dead = self.members.values().filter(|member| member.status.state == MemberState::Dead);
        let mut absent: Vec<SocketAddrV4> = dead.map(|member| member.info.address).collect();
        absent.extend(self.settings.seeds.iter().copied());
        absent.retain(|address| !live_addresses.contains(address));
        let live = self.random_live_members(1, None);
        let mut recipients: Vec<SocketAddrV4> =
            live.iter().map(|name| self.members[name].info.address).collect();
        if !absent.is_empty() {
            recipients.push(absent[self.random.generate_range(0..absent.len())]);
        }
        for to in recipients {
            let index = self.random.generate_range(0..self.members.len());
            let after = self.members.keys().nth(index).cloned();
            self.send_page(to, after, true, output);
        }
    }

    /// Sends a page of what is known, from after this name on and round the end.
    pub(super) fn send_page(
        &mut self,
        to: SocketAddrV4,
        after: Option<String>,
        wants_reply: bool,
        output: &mut Output,
    ) {
        let start = after.clone().unwrap_or_default();
        let Some(mut datagram) = self.new_datagram(Payload::Table { after, wants_reply }) else { return };
        let mut remaining = datagram.remaining_bytes();
        let later = self.members.range::<String, _>((Bound::Excluded(&start), Bound::Unbounded));
        let in_turn = later.chain(self.members.range::<String, _>(..=&start));
        for (name, member) in in_turn.filter(|(name, _)| **name != self.me) {
            let update = describe(name, member, self.suspicions.get(name), &self.me);
            let Some(left) = remaining.checked_sub(encoded_len(&update)) else { break };
            remaining = left;
            datagram.updates.push(update);
        }
        output.datagrams.push(OutgoingDatagram { to, datagram });
    }
}
