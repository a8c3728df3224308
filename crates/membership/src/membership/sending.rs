//! Builds the datagrams of this gateway and fills them with member updates.

use super::output::{OutgoingDatagram, Output};
use super::{Member, Membership};
use crate::datagram::{Datagram, Payload, encoded_len};
use crate::member_update::{MemberState, MemberUpdate};
use crate::suspicion::Suspicion;
use nanorand::Rng;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::ops::Bound;

/// Returns the update about a member that the gateway `own_name` sends to others.
fn member_update(name: &str, member: &Member, suspicion: Option<&Suspicion>, own_name: &str) -> MemberUpdate {
    MemberUpdate {
        name: name.to_owned(),
        status: member.status,
        info: member.info.clone(),
        reporter: suspicion.map(|suspicion| suspicion.reporter_to_send(own_name).to_owned()),
    }
}

impl Membership {
    pub(super) fn update_about(&self, name: &str) -> Option<MemberUpdate> {
        Some(member_update(name, self.members.get(name)?, self.suspicions.get(name), &self.own_name))
    }

    fn new_datagram(&self, payload: Payload) -> Option<Datagram> {
        Some(Datagram::new(&self.settings.cluster, self.update_about(&self.own_name)?, payload))
    }

    /// Sends a datagram to an address without regard to the member at that address.
    pub(super) fn send(&mut self, to: SocketAddrV4, payload: Payload, output: &mut Output) {
        self.send_with_updates(None, to, payload, output);
    }

    /// Sends a datagram to a member, together with a claim that the member is suspected or has ended, if there is one.
    pub(super) fn send_to_member(
        &mut self,
        name: &str,
        to: SocketAddrV4,
        payload: Payload,
        output: &mut Output,
    ) {
        self.send_with_updates(Some(name), to, payload, output);
    }

    /// Sends a datagram with as many queued updates as fit. If the recipient is not alive in this gateway's table, the update
    /// about the recipient comes first, because only the recipient can refute it.
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
        self.gossip.take_batch(self.live_count, |name| {
            let Some(member) = self.members.get(name).filter(|_| recipient != Some(name)) else {
                return true;
            };
            let update = member_update(name, member, self.suspicions.get(name), &self.own_name);
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

    /// Sends a page of the member table to a random live member, and another page to a random address of a dead member or of
    /// a seed that is not a live member.
    pub(super) fn send_table_pages(&mut self, output: &mut Output) {
        let live_addresses: BTreeSet<SocketAddrV4> =
            self.live_members().map(|(_, m)| m.info.address).collect();
        let dead = self.members.values().filter(|member| member.status.state == MemberState::Dead);
        let mut unreachable: Vec<SocketAddrV4> = dead.map(|member| member.info.address).collect();
        unreachable.extend(self.settings.seeds.iter().copied());
        unreachable.retain(|address| !live_addresses.contains(address));
        let live = self.random_live_members(1, None);
        let mut recipients: Vec<SocketAddrV4> =
            live.iter().map(|name| self.members[name].info.address).collect();
        if !unreachable.is_empty() {
            recipients.push(unreachable[self.random.generate_range(0..unreachable.len())]);
        }
        for to in recipients {
            let index = self.random.generate_range(0..self.members.len());
            let after = self.members.keys().nth(index).cloned();
            self.send_page(to, after, true, output);
        }
    }

    /// Sends a page of the member table that starts after the name `after` and wraps around at the end of the table.
    pub(super) fn send_page(
        &mut self,
        to: SocketAddrV4,
        after: Option<String>,
        wants_reply: bool,
        output: &mut Output,
    ) {
        let start = after.clone().unwrap_or_default();
        let Some(mut datagram) = self.new_datagram(Payload::TablePage { after, wants_reply }) else { return };
        let mut remaining = datagram.remaining_bytes();
        let after_start = self.members.range::<String, _>((Bound::Excluded(&start), Bound::Unbounded));
        let rotated_members = after_start.chain(self.members.range::<String, _>(..=&start));
        for (name, member) in rotated_members.filter(|(name, _)| **name != self.own_name) {
            let update = member_update(name, member, self.suspicions.get(name), &self.own_name);
            let Some(bytes_left) = remaining.checked_sub(encoded_len(&update)) else { break };
            remaining = bytes_left;
            datagram.updates.push(update);
        }
        output.datagrams.push(OutgoingDatagram { to, datagram });
    }
}
