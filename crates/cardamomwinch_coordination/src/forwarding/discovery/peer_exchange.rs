//! Queries to other hosts, the handling of their answers, and the answers to their queries.

use std::mem;
use std::net;
use std::sync;
use std::time;

use cardamomwinch_state::prelude::Timestamp;

use crate::forwarding::directory::{ServerPhase, ServerRecord};
use crate::forwarding::discovery::peer_messages::{
    PeerAnswer, PeerEvacuation, PeerHost, PeerQuery, PeerServer,
};
use crate::forwarding::discovery::server_list::{ListPart, ServerList};
use crate::forwarding::discovery::startup::{self, TransferChoice};
use crate::forwarding::discovery::store_call::StoreRevision;
use crate::forwarding::discovery::{DiscoveryChange, DiscoveryEngine, peer_list};
use crate::forwarding::evacuations::EvacuationRecord;

/// How long a query may wait at another host for something new. A reader has contact with
/// the store at least every two seconds, and passes that on at once.
const QUERY_WAIT: time::Duration = time::Duration::from_millis(2_300);
/// The pause between two queries, during which changes accumulate.
const QUERY_PAUSE: time::Duration = time::Duration::from_millis(20);
/// The data of an answer counts as new if it is later than the known data by at least this.
const MIN_ADVANCE: time::Duration = time::Duration::from_millis(100);
/// The pause after an answer that had only new reports about servers, during which further
/// reports accumulate.
const REPORT_PAUSE: time::Duration = time::Duration::from_millis(100);
/// The pause after an answer that says only that some host is listing the store.
const LISTING_PAUSE: time::Duration = time::Duration::from_millis(100);
/// The pause after a useless answer, before another host is queried.
const USELESS_ANSWER_PAUSE: time::Duration = time::Duration::from_millis(100);
/// The pause when the last answer had nothing new, or there is no host to query.
pub(super) const IDLE_PAUSE: time::Duration = time::Duration::from_millis(400);
/// How often a host may exchange lists of known hosts with another one. A list takes up to
/// three kilobytes. It is sent only if the two know different hosts; readers check at this
/// interval whether they do.
const HOST_LIST_INTERVAL: time::Duration = time::Duration::from_secs(3);

/// How long a query of a host without data may wait at a peer that has no data either.
/// Until then the host can query no other peer.
const START_WAIT: time::Duration = time::Duration::from_millis(300);
/// The pause between two queries of a host without data that was not redirected.
const START_PAUSE: time::Duration = time::Duration::from_millis(10);
/// How often hosts exchange lists of known hosts while the last queried peer knows other
/// hosts. Until the lists agree, too many hosts act as readers.
const DIFFERING_LIST_INTERVAL: time::Duration = time::Duration::from_millis(800);
/// The same in the first seconds after a start, when all hosts are finding their source.
const STARTUP_LIST_INTERVAL: time::Duration = time::Duration::from_millis(300);

/// How much an answer contains.
#[derive(Debug)]
enum AnswerExtent {
    /// Neither routes nor servers.
    Nothing {
        /// Another host to query instead, if this one knows any.
        query_instead: Option<net::SocketAddr>,
    },
    /// What changed after the revision of the querying host.
    Difference,
    /// A part of the full server list. The last part comes with everything else.
    Part(ListPart),
}

impl AnswerExtent {
    /// Whether the answer includes routes and evacuations.
    const fn includes_routes(&self) -> bool {
        match self {
            Self::Nothing { .. } => false,
            Self::Difference => true,
            Self::Part(part) => part.is_last,
        }
    }
}

impl DiscoveryEngine {
    /// The next query and the host to send it to, if there is one: the host that this one
    /// learns from; any host while the store fails; and any host after the start, because
    /// peers remember servers that were removed from the store with flows still on them.
    /// Readers also query from time to time to learn of other hosts.
    pub fn next_query(&mut self, now: Timestamp) -> Option<(net::SocketAddr, PeerQuery)> {
        self.choose_source(now);
        let host_list_due = self.host_list_is_due(now);
        let (peer, wait) = self.peer_to_query(now, host_list_due)?;
        let hosts = if host_list_due {
            self.host_list_sent_at = Some(now);
            self.hosts_to_send()
        } else {
            Vec::new()
        };
        self.queried_revision = self.revision;
        self.queried_at = Some(now);
        let query = PeerQuery {
            revision: self.revision,
            version: self.routes.version(),
            knows_left_servers: self.knows_left_servers,
            store_fails: self.store_failing_since.is_some(),
            age: now.since(self.as_of),
            wait,
            reports_received: self.reports_received_from(peer),
            list: self.server_list.next_position(),
            hosts,
            host: PeerHost {
                address: self.settings.address,
                domain: Some(self.settings.domain),
            },
        };
        Some((peer, query))
    }

    /// Whether it is time to exchange lists of known hosts.
    fn host_list_is_due(&mut self, now: Timestamp) -> bool {
        let period = match self.knows_other_hosts {
            true if self.startup_plan.is_starting(now) => STARTUP_LIST_INTERVAL,
            true => DIFFERING_LIST_INTERVAL,
            false => HOST_LIST_INTERVAL,
        };
        let sent_at = self.host_list_sent_at;
        sent_at.is_none_or(|at| now.since(at) >= period)
    }

    /// The host to query now, and how long the query may wait there.
    fn peer_to_query(
        &mut self,
        now: Timestamp,
        host_list_due: bool,
    ) -> Option<(net::SocketAddr, time::Duration)> {
        if let Some(host) = self.redirected_to.take() {
            return Some((host, START_WAIT));
        }
        // A host that is cut off must not use up a whole wait, during which nothing new
        // arrives.
        if let Some(host) = self.peers.predecessor_to_retry(now) {
            return Some((host, time::Duration::ZERO));
        }
        if self.has_no_data() {
            return Some((self.peers.next_seed()?, START_WAIT));
        }
        let starting = !self.knows_left_servers;
        let source = self.source_choice.host_to_query(&self.peers, now);
        if let Some(host) = source.filter(|_| !starting) {
            return Some((host, QUERY_WAIT));
        }
        let host = if starting || self.store_failing_since.is_some() {
            self.peers.next_in_rotation()
        } else if host_list_due || self.startup_plan.is_starting(now) {
            self.peers.next_for_own_domain()
        } else {
            None
        };
        Some((host?, time::Duration::ZERO))
    }

    fn hosts_to_send(&self) -> Vec<PeerHost> {
        if self.knows_other_hosts {
            self.peers.own_domain_hosts()
        } else {
            Vec::new()
        }
    }

    /// How long to pause before the next query to a peer.
    pub const fn peer_pause(&self) -> time::Duration {
        self.query_pause
    }

    /// Handles the answer of `peer`, or its absence.
    pub fn handle_answer(
        &mut self,
        now: Timestamp,
        peer: net::SocketAddr,
        answer: Option<PeerAnswer>,
    ) {
        let is_source = self.source_choice.host_to_query(&self.peers, now) == Some(peer);
        let is_useful = is_source && self.source_choice.note_answer(now, answer.as_ref());
        let previous_as_of = self.as_of;
        let reported = self.apply_reports_of(now, peer, answer.as_ref());
        match answer {
            Some(answer) => self.apply_answer(now, peer, answer),
            None if self.peers.note_missed_answer(peer, now) => {
                self.changes.push(DiscoveryChange::PeerLost { peer });
            }
            None => {}
        }
        // A peer that answers at once without anything new has too many waiting queries.
        let learned = self.as_of >= previous_as_of.after(MIN_ADVANCE);
        self.query_pause = match self.source_choice.host_to_query(&self.peers, now) {
            _ if self.redirected_to.is_some() => time::Duration::ZERO,
            _ if self.has_no_data() => START_PAUSE,
            None => IDLE_PAUSE,
            Some(_) if is_useful && learned => QUERY_PAUSE,
            Some(_) if is_useful && reported => REPORT_PAUSE,
            Some(_) if is_useful && self.startup_plan.waits_for_listing(now) => LISTING_PAUSE,
            Some(_) if is_useful => IDLE_PAUSE,
            Some(_) => USELESS_ANSWER_PAUSE,
        };
        self.choose_source(now);
    }

    fn apply_answer(&mut self, now: Timestamp, peer: net::SocketAddr, answer: PeerAnswer) {
        if self.peers.note_answer(peer, &answer.hosts) {
            self.changes.push(DiscoveryChange::PeerRegained { peer });
        }
        if let Some(digest) = answer.hosts_digest {
            self.knows_other_hosts = digest != self.peers.digest();
        }
        let store_failed_at = answer.store_failed_ago.map(|ago| now.before(ago));
        self.store_failed_at = self.store_failed_at.max(store_failed_at);
        let revision = answer.revision;
        if let Some(ago) = answer.listing_age {
            self.startup_plan.note_listing(now.before(ago));
        }
        let servers = answer.servers.into_iter();
        let mut servers: Vec<_> = servers.map(|server| server.into_record(now)).collect();
        if let Some(begin) = answer.list {
            let sent_at = self.sent_at(now, answer.waited);
            let fits = self.server_list.append(ListPart {
                begin,
                servers,
                is_last: answer.all_servers,
                as_of: sent_at.before(answer.age),
            });
            // The next query asks for the next part, for later changes, or for the whole
            // list again.
            self.redirected_to = Some(peer);
            self.startup_plan.note_listing(now);
            if !fits {
                self.server_list = ServerList::default();
                return;
            }
            servers = self.server_list.servers().to_vec();
        }
        if revision == StoreRevision::ZERO {
            if answer.list.is_none() {
                // A host that waits for the full list keeps its transfer slot at that peer.
                let keeps_slot = self.startup_plan.waits_for_listing(now).then_some(peer);
                self.redirected_to = answer.query_instead.or(keeps_slot);
            }
            return;
        }
        self.knows_left_servers |=
            answer.all_servers || self.queried_revision > StoreRevision::ZERO;
        let newer_routes = answer
            .routes
            .filter(|one| one.version > self.routes.version());
        let newer = revision > self.revision || newer_routes.is_some();
        if let Some(difference) = newer_routes {
            sync::Arc::make_mut(&mut self.routes).apply(difference);
            self.note_configuration();
        }
        if revision > self.revision {
            if answer.listing_age.is_none() {
                self.startup_plan.note_listing_received();
            }
            self.note_era(now, revision);
            let evacuations = answer.evacuations.into_iter();
            let evacuations: Vec<_> = evacuations.map(|one| one.into_record(now)).collect();
            self.apply_evacuations(now, &evacuations, answer.all_servers, revision);
            self.apply_servers(now, servers, answer.all_servers, revision);
        } else {
            self.add_left_servers(servers);
        }
        if revision >= self.revision {
            let sent_at = self.sent_at(now, answer.waited);
            self.as_of = self.as_of.max(sent_at.before(answer.age));
        }
        if newer {
            self.changes.push(DiscoveryChange::PeerDataApplied {
                peer,
                revision,
                version: self.routes.version(),
            });
        }
    }

    /// The earliest time at which the answer was sent, for a query that `waited` at the
    /// peer. A long answer over a saturated link may take seconds to arrive, and its
    /// content is as old as this.
    pub(super) fn sent_at(&self, now: Timestamp, waited: time::Duration) -> Timestamp {
        let queried_at = self.queried_at.unwrap_or(now);
        queried_at.after(waited).min(now)
    }

    fn apply_evacuations(
        &mut self,
        now: Timestamp,
        evacuations: &[EvacuationRecord],
        all: bool,
        revision: StoreRevision,
    ) {
        let directory = sync::Arc::make_mut(&mut self.directory);
        let noted = evacuations
            .iter()
            .filter(|one| directory.note_evacuation(**one));
        let mut changed: Vec<_> = noted.copied().collect();
        if all {
            let active = evacuations.iter().filter(|one| one.is_active());
            let active: Vec<_> = active.copied().collect();
            changed.extend(directory.replace_evacuations(&active, revision, now));
        }
        self.record_evacuation_changes(changed);
    }

    fn apply_servers(
        &mut self,
        now: Timestamp,
        servers: Vec<ServerRecord>,
        all: bool,
        revision: StoreRevision,
    ) {
        if !all {
            let changed = servers.iter().cloned();
            let changes = changed.map(|server| DiscoveryChange::ServerChanged { server });
            self.changes.extend(changes);
        }
        let directory = sync::Arc::make_mut(&mut self.directory);
        directory.merge(servers, all, revision, now);
        self.review_own_servers();
        if self.has_no_data() {
            self.transfer_slots.free_waiting();
        }
        self.revision = revision;
        self.reader.skip_to(revision);
    }

    /// Adds servers that have left, as a peer remembers them. Servers whose entries
    /// vanished count as having left, too: for a host that never knew them, that is long
    /// ago.
    fn add_left_servers(&mut self, servers: Vec<ServerRecord>) {
        let unknown =
            |server: &ServerRecord| !server.is_listed() && self.directory.get(server.id).is_none();
        let left: Vec<_> = servers.into_iter().filter(unknown).collect();
        if !left.is_empty() {
            let directory = sync::Arc::make_mut(&mut self.directory);
            for mut server in left {
                if let ServerPhase::Vanished { since } = server.phase {
                    server.phase = ServerPhase::Left { since };
                }
                directory.note(server);
            }
        }
    }

    /// How much to send to the host of `query`. Many hosts that start at the same time
    /// query the few that the settings name. Sending everything to all of them at once
    /// would saturate their links and memory, so the others are redirected.
    fn extent_for(&mut self, now: Timestamp, query: &PeerQuery) -> AnswerExtent {
        let knows_changes =
            || self.directory.changed_after(query.revision).is_some() && !self.has_no_data();
        if !self.needs_full_list(query) && knows_changes() {
            return AnswerExtent::Difference;
        }
        if self.has_no_data() && !query.has_no_data() {
            return AnswerExtent::Nothing {
                query_instead: None,
            };
        }
        match self.transfer_slots.choose(query.host.address, now) {
            TransferChoice::Send => self.part_for(now, query),
            TransferChoice::Redirect(host) => AnswerExtent::Nothing {
                query_instead: Some(host),
            },
        }
    }

    /// Whether the host of `query` needs the full list. A host with data of an earlier
    /// era may know entries that the store has lost and this host has never seen.
    fn needs_full_list(&self, query: &PeerQuery) -> bool {
        query.has_no_data() || query.revision.era() < self.revision.era()
    }

    /// The next part of the list for the host of `query`.
    fn part_for(&mut self, now: Timestamp, query: &PeerQuery) -> AnswerExtent {
        let limit = self.settings.max_part_servers;
        let is_earlier = query
            .list
            .is_some_and(|from| self.previous_list.contains_position(from));
        let is_known = query
            .list
            .is_some_and(|from| self.server_list.contains_position(from));
        let part = if is_earlier {
            self.previous_list.part_after(query.list, limit)
        } else {
            if !self.has_no_data() && !is_known && !self.server_list.may_be_sent(self.revision, now)
            {
                self.begin_list();
            }
            self.server_list.part_after(query.list, limit)
        };
        if let Some(part) = &part {
            self.transfer_slots
                .note_sent(query.host.address, part.is_last);
        }
        let nothing = AnswerExtent::Nothing {
            query_instead: None,
        };
        part.map_or(nothing, AnswerExtent::Part)
    }

    fn begin_list(&mut self) {
        let host = peer_list::order_number(self.settings.address);
        let servers = self.directory.iter().cloned().collect();
        let list = ServerList::of_servers(host, self.revision, servers, self.as_of);
        self.previous_list = mem::replace(&mut self.server_list, list);
    }

    /// Whether this host has already received a part that the host of `query` lacks.
    pub(super) fn has_part_for(&self, query: &PeerQuery) -> bool {
        let part = self
            .server_list
            .part_after(query.list, self.settings.max_part_servers);
        part.is_some_and(|part| !part.servers.is_empty())
    }

    /// Whether the host of `query` has a slot here to receive the full list. Gives it one
    /// if there is a free one.
    pub(super) fn has_slot_for(&mut self, query: &PeerQuery, now: Timestamp) -> bool {
        self.transfer_slots.choose(query.host.address, now) == TransferChoice::Send
    }

    /// Answers a query. Also records that the peer exists.
    pub fn answer_query(&mut self, now: Timestamp, query: &PeerQuery) -> PeerAnswer {
        if self.peers.note_query(query.host, &query.hosts) {
            let peer = query.host.address;
            self.changes.push(DiscoveryChange::PeerRegained { peer });
        }
        let starting = !query.knows_left_servers;
        let extent = self.extent_for(now, query);
        let same_domain = query.host.domain == Some(self.settings.domain);
        let hosts = if starting {
            self.peers.hosts()
        } else if query.hosts.is_empty() {
            Vec::new()
        } else {
            let domain = query.host.domain;
            domain.map_or_else(Vec::new, |domain| self.peers.hosts_in(domain))
        };
        let includes_routes = extent.includes_routes();
        let evacuations = self.directory.evacuations().iter();
        let sent = evacuations.filter(|one| match extent {
            AnswerExtent::Nothing { .. } => false,
            AnswerExtent::Part(_) => includes_routes,
            AnswerExtent::Difference => one.changed > query.revision,
        });
        let evacuations = sent
            .map(|one| PeerEvacuation::from_record(one, now))
            .collect();
        let (reports, reports_serial) = if same_domain {
            let known = self.reports_received_by(query);
            (self.describe_reports(known, now), self.reports.serial())
        } else {
            (Vec::new(), query.reports_received)
        };
        let routes = includes_routes
            .then(|| self.routes.difference(query.version))
            .flatten();
        let mut answer = PeerAnswer {
            revision: StoreRevision::ZERO,
            waited: time::Duration::ZERO,
            age: now.since(self.as_of),
            store_failed_ago: self.store_failed_at.map(|at| now.since(at)),
            routes,
            servers: Vec::new(),
            list: None,
            all_servers: false,
            evacuations,
            reports,
            reports_serial,
            hosts_digest: same_domain.then(|| self.peers.digest()),
            hosts,
            query_instead: None,
            listing_age: self.listing_age(now),
        };
        let shares_token = |server: &ServerRecord| self.directory.shares_token(server.id);
        let describe = |server: &ServerRecord| PeerServer {
            registered: shares_token(server).then_some(server.registered),
            ..PeerServer::from_record(server, now)
        };
        match extent {
            AnswerExtent::Nothing { query_instead } => answer.query_instead = query_instead,
            AnswerExtent::Difference => {
                let sent = |server: &&ServerRecord| {
                    server.changed > query.revision || (starting && !server.is_listed())
                };
                answer.revision = self.revision;
                answer.servers = self.directory.iter().filter(sent).map(describe).collect();
            }
            AnswerExtent::Part(part) => {
                if part.is_last {
                    answer.revision = part.begin.revision;
                }
                answer.all_servers = part.is_last;
                answer.list = Some(part.begin);
                answer.age = now.since(part.as_of);
                answer.servers = part.servers.iter().map(describe).collect();
            }
        }
        answer
    }

    /// How long ago a host was known to make progress with a listing of the store, while this one
    /// waits for it. If this host is the one: since it requested the current page. A page that
    /// does not arrive is no progress, and its call takes seconds to time out.
    pub(super) fn listing_age(&mut self, now: Timestamp) -> Option<time::Duration> {
        let lists = !self.reader.is_watching() && !self.waits_for_server_list(now);
        let reads = lists && self.store_failing_since.is_none();
        let requested_at = self.page_requested_at.filter(|_| reads);
        let own = requested_at.and_then(|at| startup::recent_listing_age(at, now));
        own.or_else(|| self.startup_plan.listing_age(now))
    }
}
