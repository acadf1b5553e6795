//! State that the control group has agreed on, built by applying its events. Controllers apply them with their log;
//! every edge applies the same events from its lease grants.

use crate::constants::MAX_GROUP_NAMES;
use crate::state::config::{Config, Group};
use crate::state::entry::Member;
use std::collections::{BTreeMap, BTreeSet};

messages! {
    pub struct Server {
        #[n(0)] pub name: String,
        #[n(1)] pub group: String,
        #[n(2)] pub addr: String,
        #[n(3)] pub zone: String,
        #[n(4)] pub leaving: bool,
        /// Revision at which its warm-up began: when it was listed (again), its process was replaced, or it came back
        /// after an ejection.
        #[n(5)] pub warmup_revision: u64,
        /// When its process started, as reported by the server; 0 until it is known.
        #[n(6)] pub started_at: u64,
        /// Number of jobs it runs concurrently, as listed by its directory; 0 if the directory doesn't specify it.
        #[cbor(n(7), default)] pub slots: u32,
        /// Still slow after its start, as listed by its directory: limited to the group's cold rate.
        #[cbor(n(8), default)] pub cold: bool,
        /// Listed by a directory, and removed when the directory no longer lists it.
        #[cbor(n(9), default)] pub listed_by_directory: bool,
    }
    pub struct GroupSlot {
        #[n(0)] pub since_revision: u64,
        /// Receives no new work; the slot is removed when its last job has finished.
        #[n(1)] pub draining: bool,
    }
    #[derive(Default)]
    pub struct StoreGroup {
        /// Members that the control group wants; the group's leader performs the change.
        #[n(0)] pub wanted: Vec<Member>,
        /// The only node that may form the group, once.
        #[n(1)] pub bootstrap_member: u64,
        /// Members that the group last reported.
        #[n(2)] pub actual: Vec<Member>,
    }
    pub enum Event {
        #[n(0)] Cluster(#[n(0)] u64),
        #[n(1)] Config { #[n(0)] text: String, #[n(1)] config: Config, #[cbor(n(2), default)] number: u64 },
        #[n(2)] Server(#[n(0)] Server),
        #[n(3)] ServerRemoved(#[n(0)] String),
        #[n(4)] ZoneEvacuation { #[n(0)] zone: String, #[n(1)] evacuated: bool },
        #[n(5)] GroupSlots { #[n(0)] group: String, #[n(1)] slots: BTreeMap<String, GroupSlot> },
        #[n(6)] WantedCount { #[n(0)] group: String, #[n(1)] count: u32 },
        #[n(7)] StoreGroup { #[n(0)] group: u32, #[n(1)] state: StoreGroup },
        #[n(8)] StoreSlots(#[n(0)] Vec<u32>),
        #[n(9)] Controllers(#[n(0)] Vec<Member>),
        /// No job waits any more for a group that a configuration has removed.
        #[n(10)] GroupDrained(#[n(0)] String),
    }
    #[derive(Default)]
    pub struct View {
        /// Index of the last log entry that changed this state.
        #[n(0)] pub revision: u64,
        #[n(1)] pub cluster: u64,
        /// Revision at which the configuration was accepted; 0 if there is none yet.
        #[n(2)] pub config_revision: u64,
        #[n(3)] pub config_text: String,
        #[n(4)] pub config: Option<Config>,
        #[n(5)] pub servers: BTreeMap<String, Server>,
        /// Evacuated zones, with the revision of the evacuation command.
        #[n(6)] pub evacuated_zones: BTreeMap<String, u64>,
        #[n(7)] pub group_slots: BTreeMap<String, BTreeMap<String, GroupSlot>>,
        #[n(8)] pub wanted_counts: BTreeMap<String, u32>,
        #[n(9)] pub stores: BTreeMap<u32, StoreGroup>,
        #[n(10)] pub store_slots: Vec<u32>,
        #[n(11)] pub controllers: Vec<Member>,
        /// Groups that a configuration has removed while jobs may still wait for them, with their last settings.
        #[n(12)] pub draining_groups: BTreeMap<String, Group>,
        /// The operator's own number of the configuration in force; 0 if it has none.
        #[cbor(n(13), default)] pub config_number: u64,
    }
}

impl View {
    pub fn apply(&mut self, revision: u64, event: &Event) {
        self.revision = revision;
        match event.clone() {
            Event::Cluster(id) => self.cluster = id,
            Event::Config { text, config, number } => {
                self.config_number = number;
                // jobs that were accepted under the old configuration are served under it
                let old_groups = self.config.take().map(|config| config.groups).unwrap_or_default();
                self.draining_groups.extend(old_groups);
                self.draining_groups
                    .retain(|group, _| !config.groups.contains_key(group) && self.group_slots.contains_key(group));
                self.config_revision = revision;
                self.config_text = text;
                self.config = Some(config);
                self.remove_unused_groups();
            }
            Event::Server(server) => {
                self.servers.insert(server.name.clone(), server);
            }
            Event::ServerRemoved(name) => {
                self.servers.remove(&name);
            }
            Event::ZoneEvacuation { zone, evacuated: true } => {
                self.evacuated_zones.insert(zone, revision);
            }
            Event::ZoneEvacuation { zone, evacuated: false } => {
                self.evacuated_zones.remove(&zone);
            }
            Event::GroupSlots { group, slots: spots } => {
                self.group_slots.insert(group, spots);
            }
            Event::WantedCount { group, count } => {
                self.wanted_counts.insert(group, count);
            }
            Event::StoreGroup { group, state: is } => {
                self.stores.insert(group, is);
            }
            Event::StoreSlots(slots) => self.store_slots = slots,
            Event::Controllers(members) => self.controllers = members,
            Event::GroupDrained(group) => drop(self.draining_groups.remove(&group)),
        }
    }

    /// Removes groups that are neither configured nor waited for once there are more than `MAX_GROUP_NAMES`.
    fn remove_unused_groups(&mut self) {
        if self.wanted_counts.len().max(self.group_slots.len()) <= MAX_GROUP_NAMES {
            return;
        }
        let View { config, draining_groups: fading, group_slots: places, wanted_counts: wanted, .. } = self;
        let in_use = |group: &String| {
            config.as_ref().is_some_and(|config| config.groups.contains_key(group)) || fading.contains_key(group)
        };
        places.retain(|group, spots| !spots.is_empty() || in_use(group));
        wanted.retain(|group, _| places.contains_key(group) || in_use(group));
    }

    /// Whether this server may receive new work according to the agreed state.
    pub fn is_usable(&self, name: &str) -> bool {
        let Some(server) = self.servers.get(name) else { return false };
        let spot = self.group_slots.get(&server.group).and_then(|spots| spots.get(name));
        !server.leaving && !self.evacuated_zones.contains_key(&server.zone) && spot.is_some_and(|spot| !spot.draining)
    }

    /// Returns a group as it is configured, or as it was before its removal while jobs may still wait for it.
    pub fn group(&self, name: &str) -> Option<&Group> {
        self.config.as_ref().and_then(|config| config.groups.get(name)).or_else(|| self.draining_groups.get(name))
    }

    /// Whether this group handles proxied requests, so that its servers' slots are not divided.
    pub fn is_proxied(&self, group: &str) -> bool {
        self.group(group).is_some_and(|group| group.proxy.is_some())
    }

    /// Returns the servers that are eligible for a slot in this group.
    fn eligible_servers(&self, group: &str) -> Vec<&Server> {
        let is_eligible = |server: &&Server| {
            server.group == group && !server.leaving && !self.evacuated_zones.contains_key(&server.zone)
        };
        self.servers.values().filter(is_eligible).collect()
    }

    /// Returns the maximum number of servers that the group could have now, and its target count.
    pub fn capacity_and_target(&self, group: &str) -> (u32, u32) {
        let Some(settings) = self.group(group) else { return (0, 0) };
        let eligible = self.eligible_servers(group).len() as u32;
        if settings.proxy.is_some() {
            // the group starts with all available servers, and the target never exceeds those that are available
            let target = self.wanted_counts.get(group).copied().unwrap_or(u32::MAX);
            return (
                eligible.min(settings.max_servers),
                target.max(settings.min_servers).min(settings.max_servers).min(eligible),
            );
        }
        (
            eligible.min(settings.max_servers),
            self.wanted_counts
                .get(group)
                .copied()
                .unwrap_or(settings.min_servers)
                .clamp(settings.min_servers, settings.max_servers),
        )
    }

    /// Computes the slots that every group should have now. Existing slots are retained, spare servers fill missing
    /// ones, and surplus slots are drained, newest first. Returns only groups whose slots change.
    pub fn plan_group_slots(&self, revision: u64) -> Vec<(String, BTreeMap<String, GroupSlot>)> {
        let mut out = vec![];
        let none = BTreeMap::new();
        let groups: BTreeSet<&String> = match &self.config {
            Some(config) => config.groups.keys().chain(self.group_slots.keys()).collect(),
            None => return out,
        };
        for group in groups {
            let current = self.group_slots.get(group).unwrap_or(&none);
            let eligible: BTreeMap<&str, &Server> =
                self.eligible_servers(group).into_iter().map(|server| (server.name.as_str(), server)).collect();
            let (_, target) = self.capacity_and_target(group);
            let mut new: BTreeMap<String, GroupSlot> = current.clone();
            // a server that may no longer receive work keeps a draining slot until it is empty
            for (name, spot) in new.iter_mut() {
                spot.draining |= !eligible.contains_key(name.as_str());
            }
            new.retain(|name, _| self.servers.contains_key(name));
            let mut active = new.values().filter(|spot| !spot.draining).count() as u32;
            if active < target {
                add_slots(&mut new, &eligible, target - active, revision);
            }
            // the newest slots are drained first
            let mut newest_last: Vec<(u64, String)> = new
                .iter()
                .filter(|(_, spot)| !spot.draining)
                .map(|(name, spot)| (spot.since_revision, name.clone()))
                .collect();
            newest_last.sort_unstable();
            while active > target {
                let (_, name) = newest_last.pop().expect("more than wanted are active");
                new.get_mut(&name).expect("just seen").draining = true;
                active -= 1;
            }
            if &new != current {
                out.push((group.clone(), new));
            }
        }
        out
    }

    /// Returns the part that must be equal on all nodes, as JSON for operators and for `cairn`.
    pub fn json(&self) -> jzon::JsonValue {
        let mut servers = jzon::object! {};
        for server in self.servers.values() {
            servers[server.name.as_str()] = jzon::object! {
                group: server.group.as_str(), address: server.addr.as_str(), cell: server.zone.as_str(), leaving: server.leaving, since: server.warmup_revision, born: server.started_at,
                slots: server.slots, cold: server.cold,
            };
        }
        let mut places = jzon::object! {};
        for (group, spots) in &self.group_slots {
            let mut states = jzon::object! {};
            spots.iter().for_each(|(name, spot)| {
                states[name.as_str()] = if spot.draining { "draining".into() } else { "active".into() }
            });
            places[group.as_str()] = states;
        }
        let ids = |members: &[Member]| {
            members.iter().map(|member| format!("{:016x}@{}", member.id, member.addr)).collect::<Vec<_>>()
        };
        let mut stores = jzon::object! {};
        for (group, store) in &self.stores {
            stores[group.to_string()] = jzon::object! { wanted: ids(&store.wanted), actual: ids(&store.actual) };
        }
        jzon::object! {
            cluster: format!("{:016x}", self.cluster), revision: self.revision, config_revision: self.config_revision,
            config_number: self.config_number,
            config_digest: format!("{:016x}", hash(&self.config_text)), core: ids(&self.controllers), servers: servers,
            places: places, evacuated: self.evacuated_zones.keys().cloned().collect::<Vec<_>>(), stores: stores,
        }
    }

    pub fn store_group_of(&self, program: &str) -> Option<u32> {
        let slot = store_slot_of(program);
        self.store_slots.get(slot as usize).copied()
    }
}

/// Adds `missing` slots: draining servers first, since they are still warm, then spare servers from the zones with the
/// fewest active ones.
fn add_slots(new: &mut BTreeMap<String, GroupSlot>, eligible: &BTreeMap<&str, &Server>, missing: u32, revision: u64) {
    let draining: Vec<String> = new
        .iter()
        .filter(|(name, spot)| spot.draining && eligible.contains_key(name.as_str()))
        .map(|(name, _)| name.clone())
        .collect();
    let mut active_per_zone: BTreeMap<&str, u32> = BTreeMap::new();
    let active = new.iter().filter(|(_, spot)| !spot.draining).filter_map(|(name, _)| eligible.get(name.as_str()));
    active.for_each(|server| *active_per_zone.entry(&server.zone).or_default() += 1);
    // the last element of each zone's list is the first by name
    let mut spares: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    let unassigned = eligible.values().rev().filter(|server| !new.contains_key(&server.name));
    unassigned.for_each(|server| spares.entry(&server.zone).or_default().push(&server.name));
    let mut draining = draining.into_iter();
    for _ in 0..missing {
        let name = match draining.next() {
            Some(name) => name,
            None => {
                let candidates = spares
                    .iter()
                    .filter_map(|(zone, names)| Some((active_per_zone.get(zone).unwrap_or(&0), *names.last()?, *zone)));
                let Some((_, name, zone)) = candidates.min() else { return };
                spares.get_mut(zone).expect("just seen").pop();
                name.to_string()
            }
        };
        *active_per_zone.entry(&eligible[name.as_str()].zone).or_default() += 1;
        new.insert(name, GroupSlot { since_revision: revision, draining: false });
    }
}

/// Hashes a string. The result is part of the protocol and must never change: all nodes rely on it.
pub fn hash(text: &str) -> u64 {
    use sha2::Digest;
    let digest = sha2::Sha256::digest(text.as_bytes());
    u64::from_be_bytes(digest[..8].try_into().expect("a digest has 32 bytes"))
}

pub fn store_slot_of(program: &str) -> u64 {
    hash(program) % crate::constants::STORE_SLOTS
}

#[cfg(test)]
mod tests;
