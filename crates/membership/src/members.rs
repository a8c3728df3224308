//! One gateway's part in finding out who lives: whom it asks and when, what it believes of what it hears, and what it
//! passes on. `wake` is called when `due` comes, `hear` with each letter; both bring out what to send and what
//! changed. SWIM's rounds, suspicion and incarnations, with Lifeguard's care for a gateway that is slow itself.

use crate::claim::{About, Claim, Rumour, Standing, refuted};
use crate::count::Fleet;
use crate::health::{Health, Sign};
use crate::rumours::Rumours;
use crate::suspicion::Suspicion;
use crate::wire::{Letter, Matter, size};
use larchfall_policy::time::{Duration, Timestamp};
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};

/// What others ask of this gateway and is not over yet: more than this at a time is passed over.
const MOST_FAVOURS: usize = 64;

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub cluster: String,
    /// One member is asked in each such time.
    pub period: Duration,
    /// Without an answer by then, others are asked to ask.
    pub answer_within: Duration,
    /// So many of them.
    pub helpers: usize,
    /// The ended are remembered so long: older rumours of them may still be on their way.
    pub remembered: Duration,
    /// So often all that is known goes to somebody, page by page, and to one that seemed dead or was never seen: what
    /// rumours missed, and two sides of a split, are brought together so.
    pub tables_every: Duration,
    /// More names than this are passed over.
    pub most: usize,
    /// Networks that gateways may write from: address and how many of its bits count.
    pub networks: Vec<(Ipv4Addr, u8)>,
    /// Addresses to join by.
    pub seeds: Vec<SocketAddrV4>,
}

/// One gateway as this one knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    pub claim: Claim,
    pub about: About,
    /// Of this standing.
    pub since: Timestamp,
    /// Last word from itself.
    pub heard: Option<Timestamp>,
}

/// Why a member's standing changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It wrote itself.
    Wrote,
    /// This gateway asked and had no answer.
    Silent,
    /// Somebody else says so.
    Told,
    /// It was suspected and nobody refuted it in time.
    Unrefuted,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Change {
    pub name: String,
    pub from: Option<Standing>,
    pub to: Standing,
    pub generation: u64,
    pub reason: Reason,
}

/// What comes of a call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Out {
    pub letters: Vec<(SocketAddrV4, Letter)>,
    pub changes: Vec<Change>,
}

/// Why a letter was passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refused {
    /// From outside the networks, or from another address than it says.
    Stranger,
    /// Another process under this gateway's own name, started later: this one is no member any more.
    NameTaken,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Probe {
    turn: u32,
    name: String,
    help_at: Timestamp,
    until: Timestamp,
    helpers: usize,
    no_answers: usize,
}

/// Asked for another gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Favour {
    turn: u32,
    theirs: u32,
    back_to: SocketAddrV4,
    until: Timestamp,
}

#[derive(Clone, Debug)]
pub struct Members {
    me: String,
    settings: Settings,
    chance: WyRand,
    /// All that are known, this gateway among them.
    table: BTreeMap<String, Member>,
    /// Of them those that live: asked for with each letter.
    lives: usize,
    /// No ended one is to be forgotten before.
    forget_from: Timestamp,
    suspicions: BTreeMap<String, Suspicion>,
    rumours: Rumours,
    health: Health,
    /// Whom to ask in the present round, the next last.
    round: Vec<String>,
    probe: Option<Probe>,
    favours: VecDeque<Favour>,
    turn: u32,
    next_probe: Timestamp,
    next_table: Timestamp,
    version: u64,
    taken: bool,
}

impl Members {
    pub fn new(
        name: &str,
        generation: u64,
        about: About,
        settings: Settings,
        seed: u64,
        now: Timestamp,
    ) -> Members {
        let myself = Member { claim: Claim::alive(generation, 0), about, since: now, heard: Some(now) };
        let mut rumours = Rumours::default();
        rumours.add(name);
        Members {
            me: name.to_owned(),
            settings,
            chance: WyRand::new_seed(seed),
            table: BTreeMap::from([(name.to_owned(), myself)]),
            lives: 1,
            forget_from: now,
            suspicions: BTreeMap::new(),
            rumours,
            health: Health::default(),
            round: Vec::new(),
            probe: None,
            favours: VecDeque::new(),
            turn: 0,
            next_probe: now,
            next_table: now,
            version: 1,
            taken: false,
        }
    }

    /// All that are known, the ended that are remembered among them.
    pub fn table(&self) -> &BTreeMap<String, Member> {
        &self.table
    }

    /// Grows with each change of what `table` holds but for when members were heard.
    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn health(&self) -> Health {
        self.health
    }

    pub fn myself(&self) -> &Member {
        &self.table[&self.me]
    }

    /// Another process of this name that was started later has it.
    pub fn name_taken(&self) -> bool {
        self.taken
    }

    /// Alive or suspected, this gateway among them.
    pub fn live(&self) -> impl Iterator<Item = (&String, &Member)> {
        self.table.iter().filter(|(_, m)| !m.claim.is_final())
    }

    /// What this gateway sees of the fleet, for a count of it.
    pub fn fleet(&self) -> Fleet {
        let silent = self.table.values().filter(|m| m.claim.standing == Standing::Dead).count();
        Fleet { live: self.lives, silent }
    }

    /// Seeds and periods may change while it runs; what is known stays.
    pub fn set(&mut self, settings: Settings) {
        self.settings = settings;
        self.forget_from = Timestamp::default();
    }

    pub fn due(&self) -> Timestamp {
        let probe = self.probe.as_ref().map(|p| if p.helpers == 0 { p.help_at } else { p.until });
        let suspicion = self.suspicions.values().map(Suspicion::ends).min();
        let favour = self.favours.iter().map(|f| f.until).min();
        [probe, suspicion, favour]
            .into_iter()
            .flatten()
            .fold(self.next_probe.min(self.next_table), Timestamp::min)
    }

    /// Says that it goes, to some at once: there is no later round of its own in which to pass it on.
    pub fn leave(&mut self, now: Timestamp) -> Out {
        let mut out = Out::default();
        let claim = self.myself().claim.with(Standing::Left);
        self.believe(&self.rumour(&self.me).map(|r| Rumour { claim, ..r }), Reason::Wrote, now, &mut out);
        for name in self.some(self.settings.helpers + 2, "") {
            let to = self.table[&name].about.address;
            self.turn = self.turn.wrapping_add(1);
            self.write(to, Matter::Ask { turn: self.turn }, &mut out);
        }
        out
    }

    pub fn wake(&mut self, now: Timestamp) -> Out {
        let mut out = Out::default();
        if self.taken || self.myself().claim.is_final() {
            (self.next_probe, self.next_table) = (now + self.settings.period, now + self.settings.period);
            return out;
        }
        self.put_off_what_ran_out_while_it_slept(now);
        self.end_suspicions(now, &mut out);
        self.favours_without_answer(now, &mut out);
        self.look_at_probe(now, &mut out);
        if now >= self.next_probe {
            self.next_probe = now + self.health.stretch(self.settings.period);
            self.ask_next(now, &mut out);
        }
        if now >= self.next_table {
            self.next_table = now + self.settings.tables_every;
            self.send_tables(&mut out);
        }
        self.forget(now);
        out
    }

    /// Those that ended long enough ago.
    fn forget(&mut self, now: Timestamp) {
        if self.lives == self.table.len() || now < self.forget_from {
            return;
        }
        let (kept, me) = (self.settings.remembered, &self.me);
        let before = self.table.len();
        self.table.retain(|name, m| name == me || !m.claim.is_final() || now.since(m.since) < kept);
        self.version += u64::from(before != self.table.len());
        let next = self.table.values().filter(|m| m.claim.is_final()).map(|m| m.since + kept).min();
        self.forget_from = next.unwrap_or(now);
    }

    /// A letter that came from this address.
    pub fn hear(&mut self, from: SocketAddrV4, letter: &Letter, now: Timestamp) -> Result<Out, Refused> {
        if !self.may_write(from) || letter.about.address != from {
            return Err(Refused::Stranger);
        }
        let mut out = Out::default();
        if self.taken || self.myself().claim.is_final() {
            return Ok(out);
        }
        if letter.name == self.me {
            // Its own letter may come back to it; another's under this name may not be answered.
            if letter.claim.generation > self.myself().claim.generation {
                self.taken = true;
                return Err(Refused::NameTaken);
            }
            return Ok(out);
        }
        self.believe(&Some(letter.me()), Reason::Wrote, now, &mut out);
        if let Some(writer) = self.table.get_mut(&letter.name)
            && writer.claim.generation == letter.claim.generation
        {
            writer.heard = Some(now);
        }
        // It is behind with itself: it is told with the next letter.
        if self.table.get(&letter.name).is_some_and(|m| m.claim.beats(letter.claim)) {
            self.rumours.add(&letter.name);
        }
        for rumour in &letter.rumours {
            self.believe(&Some(rumour.clone()), Reason::Told, now, &mut out);
        }
        if self.taken {
            return Err(Refused::NameTaken);
        }
        self.reply(from, letter, now, &mut out);
        Ok(out)
    }

    fn reply(&mut self, from: SocketAddrV4, letter: &Letter, now: Timestamp, out: &mut Out) {
        match &letter.matter {
            Matter::Ask { turn } => self.write_to(&letter.name, from, Matter::Answer { turn: *turn }, out),
            Matter::AskFor { turn, address, .. } => {
                if self.favours.len() < MOST_FAVOURS && self.may_write(*address) {
                    self.turn = self.turn.wrapping_add(1);
                    let until = now + self.settings.answer_within;
                    self.favours.push_back(Favour { turn: self.turn, theirs: *turn, back_to: from, until });
                    self.write(*address, Matter::Ask { turn: self.turn }, out);
                }
            }
            Matter::Answer { turn } => {
                if self.probe.as_ref().is_some_and(|p| p.turn == *turn) {
                    self.probe = None;
                    self.health.see(Sign::Answered);
                }
                if let Some(i) = self.favours.iter().position(|f| f.turn == *turn)
                    && let Some(favour) = self.favours.remove(i)
                {
                    self.write(favour.back_to, Matter::Answer { turn: favour.theirs }, out);
                }
            }
            Matter::NoAnswer { turn } => {
                if let Some(probe) = self.probe.as_mut().filter(|p| p.turn == *turn) {
                    probe.no_answers += 1;
                }
            }
            Matter::Table { after, back } => {
                if *back {
                    self.write_page(from, after.clone(), false, out);
                }
            }
        }
    }

    fn may_write(&self, from: SocketAddrV4) -> bool {
        let bits = |address: Ipv4Addr| u32::from(address);
        self.settings.networks.iter().any(|(network, count)| {
            let mask = u32::MAX.checked_shl(32 - u32::from((*count).min(32))).unwrap_or(0);
            bits(*network) & mask == bits(*from.ip()) & mask
        })
    }

    /// The one place where what is known changes: the stronger claim stays, and is passed on.
    fn believe(&mut self, rumour: &Option<Rumour>, reason: Reason, now: Timestamp, out: &mut Out) {
        let Some(Rumour { name, claim, about, by }) = rumour else { return };
        if *name == self.me && reason != Reason::Wrote {
            return self.refute(*claim, about, now);
        }
        let was = self.table.get(name).map(|m| m.claim);
        if was.is_none() && (self.table.len() >= self.settings.most || claim.is_final()) {
            // Of those who ended before they were heard of nothing need be known.
            return;
        }
        if was.is_some_and(|was| !claim.beats(was)) {
            // One more finds it silent: the same claim, and another voice.
            let voice = by.as_ref().filter(|_| was == Some(*claim));
            if let (Some(by), Some(suspicion)) = (voice, self.suspicions.get_mut(name))
                && suspicion.confirm(by.clone())
            {
                self.rumours.add(name);
            }
            return;
        }
        let member = self.table.entry(name.clone()).or_insert_with(|| Member {
            claim: *claim,
            about: about.clone(),
            since: now,
            heard: None,
        });
        let from = was.map(|was| was.standing);
        let fresh = was.is_none_or(|was| was.generation != claim.generation);
        if from != Some(claim.standing) || fresh {
            member.since = now;
            let (to, generation) = (claim.standing, claim.generation);
            out.changes.push(Change { name: name.clone(), from, to, generation, reason });
        }
        if fresh {
            member.heard = None;
        }
        (member.claim, member.about) = (*claim, about.clone());
        self.lives -= usize::from(was.is_some_and(|was| !was.is_final()));
        self.lives += usize::from(!claim.is_final());
        if claim.is_final() {
            self.forget_from = self.forget_from.min(now + self.settings.remembered);
        }
        self.version += 1;
        self.rumours.add(name);
        if claim.standing == Standing::Suspected {
            let by = by.clone().unwrap_or_default();
            let period = self.health.stretch(self.settings.period);
            self.suspicions.insert(name.clone(), Suspicion::new(by, self.lives, period, now));
        } else {
            self.suspicions.remove(name);
        }
    }

    /// What others claim of this gateway.
    fn refute(&mut self, claim: Claim, about: &About, now: Timestamp) {
        let mine = self.myself().claim;
        if claim.generation > mine.generation && about.address != self.myself().about.address {
            self.taken = true;
            return;
        }
        let Some(next) = refuted(mine, claim) else { return };
        if let Some(me) = self.table.get_mut(&self.me) {
            (me.claim, me.since) = (next, now);
        }
        self.version += 1;
        self.health.see(Sign::Refuted);
        let me = self.me.clone();
        self.rumours.add(&me);
    }

    /// Whoever stands still has heard nobody, and that says nothing of the others.
    fn put_off_what_ran_out_while_it_slept(&mut self, now: Timestamp) {
        let slept = now.since(self.due());
        if slept <= self.settings.period {
            return;
        }
        self.health.see(Sign::StoodStill);
        self.suspicions.values_mut().for_each(|s| s.put_off(slept));
        // Its answers may wait in the socket.
        self.probe = None;
        self.favours.clear();
        self.next_probe = now + self.settings.answer_within;
    }

    fn end_suspicions(&mut self, now: Timestamp, out: &mut Out) {
        let over: Vec<String> =
            self.suspicions.iter().filter(|(_, s)| s.ends() <= now).map(|(n, _)| n.clone()).collect();
        for name in over {
            let dead = self.rumour(&name).map(|r| Rumour { claim: r.claim.with(Standing::Dead), ..r });
            self.believe(&dead, Reason::Unrefuted, now, out);
        }
    }

    fn favours_without_answer(&mut self, now: Timestamp, out: &mut Out) {
        while self.favours.front().is_some_and(|f| f.until <= now) {
            let Some(favour) = self.favours.pop_front() else { return };
            self.write(favour.back_to, Matter::NoAnswer { turn: favour.theirs }, out);
        }
    }

    fn look_at_probe(&mut self, now: Timestamp, out: &mut Out) {
        let Some(mut probe) = self.probe.take() else { return };
        if now >= probe.until {
            // Helpers that say nothing at all leave it open whether this gateway's own net is at fault.
            if probe.no_answers == 0 {
                self.health.see(Sign::NobodyAnswered);
            }
            let by = Some(self.me.clone());
            let rumour = self.rumour(&probe.name).filter(|r| !r.claim.is_final());
            let silent = rumour.map(|r| Rumour { claim: r.claim.with(Standing::Suspected), by, ..r });
            return self.believe(&silent, Reason::Silent, now, out);
        }
        if probe.helpers == 0
            && now >= probe.help_at
            && let Some(address) = self.table.get(&probe.name).map(|m| m.about.address)
        {
            let (turn, name) = (probe.turn, probe.name.clone());
            for helper in self.some(self.settings.helpers, &name) {
                let to = self.table[&helper].about.address;
                self.write(to, Matter::AskFor { turn, name: name.clone(), address }, out);
                probe.helpers += 1;
            }
            probe.helpers = probe.helpers.max(1);
        }
        self.probe = Some(probe);
    }

    /// The next in turn, each once a round in an order of chance; and whoever this gateway itself suspects, so that
    /// a refutation has more than one way here.
    fn ask_next(&mut self, now: Timestamp, out: &mut Out) {
        if self.probe.is_some() {
            return;
        }
        let mut suspected: Vec<String> = self.suspicions.keys().cloned().collect();
        self.chance.shuffle(&mut suspected);
        // A few of them: what a round costs must not grow with the fleet.
        suspected.truncate(self.settings.helpers);
        for name in suspected {
            let to = self.table[&name].about.address;
            self.turn = self.turn.wrapping_add(1);
            self.write_to(&name, to, Matter::Ask { turn: self.turn }, out);
        }
        let asked = |m: &Member| !m.claim.is_final();
        let name = loop {
            match self.round.pop() {
                Some(name) if self.table.get(&name).is_some_and(asked) => break name,
                Some(_) => continue,
                None => {
                    let mut round: Vec<String> =
                        self.live().map(|(n, _)| n.clone()).filter(|n| *n != self.me).collect();
                    if round.is_empty() {
                        return;
                    }
                    self.chance.shuffle(&mut round);
                    self.round = round;
                }
            }
        };
        self.turn = self.turn.wrapping_add(1);
        let (turn, to) = (self.turn, self.table[&name].about.address);
        let help_at = now + self.health.stretch(self.settings.answer_within);
        let until = now + self.health.stretch(self.settings.period);
        self.write_to(&name, to, Matter::Ask { turn }, out);
        self.probe = Some(Probe { turn, name, help_at, until, helpers: 0, no_answers: 0 });
    }

    /// To one that lives, and to one that seemed dead or is only known by its address.
    fn send_tables(&mut self, out: &mut Out) {
        let known: BTreeSet<SocketAddrV4> = self.live().map(|(_, m)| m.about.address).collect();
        let ended = self.table.values().filter(|m| m.claim.standing == Standing::Dead);
        let mut away: Vec<SocketAddrV4> = ended.map(|m| m.about.address).collect();
        away.extend(self.settings.seeds.iter().copied());
        away.retain(|address| !known.contains(address));
        let live = self.some(1, "").first().map(|name| self.table[name].about.address);
        let away = (!away.is_empty()).then(|| away[self.chance.generate_range(0..away.len())]);
        for to in live.into_iter().chain(away) {
            let names: Vec<&String> = self.table.keys().collect();
            let after = names[self.chance.generate_range(0..names.len())].clone();
            self.write_page(to, Some(after), true, out);
        }
    }

    /// Some others that live, by chance.
    fn some(&mut self, most: usize, but: &str) -> Vec<String> {
        let lives = |(name, m): &(&String, &Member)| !m.claim.is_final() && **name != self.me && *name != but;
        let mut others: Vec<&String> = self.table.iter().filter(lives).map(|(name, _)| name).collect();
        let mut some = Vec::new();
        while some.len() < most && !others.is_empty() {
            some.push(others.swap_remove(self.chance.generate_range(0..others.len())).clone());
        }
        some
    }

    fn rumour(&self, name: &str) -> Option<Rumour> {
        let member = self.table.get(name)?;
        let by = self.suspicions.get(name).map(|s| s.voice(&self.me).to_owned());
        Some(Rumour { name: name.to_owned(), claim: member.claim, about: member.about.clone(), by })
    }

    fn letter(&self, matter: Matter) -> Option<Letter> {
        Some(Letter::new(&self.settings.cluster, &self.rumour(&self.me)?, matter))
    }

    fn write(&mut self, to: SocketAddrV4, matter: Matter, out: &mut Out) {
        self.write_to("", to, matter, out);
    }

    /// A letter with as many rumours as it holds. Whoever is claimed to be silent or dead hears that first: it alone
    /// can refute it.
    fn write_to(&mut self, name: &str, to: SocketAddrV4, matter: Matter, out: &mut Out) {
        let Some(mut letter) = self.letter(matter) else { return };
        let mut room = letter.room();
        let theirs = self.rumour(name).filter(|r| r.claim.standing != Standing::Alive);
        if let Some(rumour) = theirs {
            room = room.saturating_sub(size(&rumour));
            letter.rumours.push(rumour);
        }
        let live = self.lives;
        let (table, me, suspicions) = (&self.table, &self.me, &self.suspicions);
        let rumours = &mut letter.rumours;
        self.rumours.next(live, |told| {
            let Some(member) = table.get(told).filter(|_| told != name) else { return true };
            let by = suspicions.get(told).map(|s| s.voice(me).to_owned());
            let rumour =
                Rumour { name: told.to_owned(), claim: member.claim, about: member.about.clone(), by };
            let fits = size(&rumour) <= room;
            if fits {
                room -= size(&rumour);
                rumours.push(rumour);
            }
            fits
        });
        out.letters.push((to, letter));
    }

    /// A page of the table from after this name on, round its end.
    fn write_page(&mut self, to: SocketAddrV4, after: Option<String>, back: bool, out: &mut Out) {
        let Some(mut letter) = self.letter(Matter::Table { after: after.clone(), back }) else { return };
        let mut room = letter.room();
        let start = after.unwrap_or_default();
        let later =
            self.table.range::<String, _>((std::ops::Bound::Excluded(&start), std::ops::Bound::Unbounded));
        let round = later.chain(self.table.range::<String, _>(..=&start)).map(|(name, _)| name);
        for name in round.filter(|name| **name != self.me) {
            let Some(rumour) = self.rumour(name) else { continue };
            let Some(left) = room.checked_sub(size(&rumour)) else { break };
            room = left;
            letter.rumours.push(rumour);
        }
        out.letters.push((to, letter));
    }
}
