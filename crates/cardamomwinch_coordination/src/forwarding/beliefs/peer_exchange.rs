//! Queries to other hosts, the handling of their answers, and the answers to their queries.

use std::mem;
use std::net;
use std::sync;
use std::time;

use cardamomwinch_state::prelude::Timestamp;

use crate::forwarding::beliefs::peer_word::{
    PeerEvacuation, PeerHost, PeerQuestion, PeerServer, PeerWord,
};
use crate::forwarding::beliefs::start::TellingChoice;
use crate::forwarding::beliefs::start_list::{ListPart, StartList};
use crate::forwarding::beliefs::store_call::StoreRevision;
use crate::forwarding::beliefs::{BeliefChange, BeliefEngine, peer_book};
use crate::forwarding::directory::{ServerPhase, ServerRecord};
use crate::forwarding::evacuations::EvacuationRecord;

/// How long a query may wait at another host for something new. A reader has contact with
/// the store at least every two seconds, and passes that on at once.
const QUESTION_WAIT: time::Duration = time::Duration::from_millis(2_300);
/// The pause between two queries, during which changes accumulate.
const QUESTION_PAUSE: time::Duration = time::Duration::from_millis(20);
/// The data of an answer counts as new if it is later than the known data by at least this.
const LEAST_ADVANCE: time::Duration = time::Duration::from_millis(100);
/// The pause after an answer that had only new reports about servers, during which further
/// reports accumulate.
const REPORT_PAUSE: time::Duration = time::Duration::from_millis(100);
/// The pause after an answer that says only that some host is listing the store.
const READER_PAUSE: time::Duration = time::Duration::from_millis(100);
/// The pause after a useless answer, before another host is queried.
const MISS_PAUSE: time::Duration = time::Duration::from_millis(100);
/// The pause when the last answer had nothing new, or there is no host to query.
pub(super) const IDLE_PAUSE: time::Duration = time::Duration::from_millis(400);
/// How often a host may exchange lists of known hosts with another one. A list takes up to
/// three kilobytes. It is sent only if the two know different hosts; readers check at this
/// interval whether they do.
const HOSTS_PERIOD: time::Duration = time::Duration::from_secs(3);

/// How long a query of a host without data may wait at a peer that has just started, too.
/// The host can query no other peer meanwhile.
const START_WAIT: time::Duration = time::Duration::from_millis(300);
/// The pause between two queries of a host without data that was not redirected.
const START_PAUSE: time::Duration = time::Duration::from_millis(10);
/// How often hosts exchange lists of known hosts while the last queried peer knows other
/// hosts. Until the lists agree, too many hosts act as readers.
const DIFFERING_HOSTS_PERIOD: time::Duration = time::Duration::from_millis(800);
/// The same in the first seconds after a start, when all hosts are finding their source.
const YOUNG_HOSTS_PERIOD: time::Duration = time::Duration::from_millis(300);

/// How much an answer contains.
#[derive(Debug)]
enum WordExtent {
    /// Neither routes nor servers.
    Nothing {
        /// Another host to query instead, if this one knows any.
        ask_instead: Option<net::SocketAddr>,
    },
    /// What changed after the revision of the querying host.
    Difference,
    /// A part of the full server list. The last part comes with everything else.
    Part(ListPart),
}

impl WordExtent {
    /// Whether the answer includes routes and evacuations.
    const fn tells_rest(&self) -> bool {
        match self {
            Self::Nothing { .. } => false,
            Self::Difference => true,
            Self::Part(part) => part.is_last,
        }
    }
}

impl BeliefEngine {
    /// The next query and the host to send it to, if there is one: the host that this one
    /// learns from; any host while the store fails; and any host after the start, because
    /// peers remember servers that were removed from the store with flows still on them.
    /// Readers also query from time to time to learn of other hosts.
    pub fn next_peer(&mut self, now: Timestamp) -> Option<(net::SocketAddr, PeerQuestion)> {
        self.choose_source(now);
        let hosts_due = self.hosts_are_due(now);
        let (peer, wait) = self.peer_to_ask(now, hosts_due)?;
        let hosts = if hosts_due {
            self.told_hosts_at = Some(now);
            self.hosts_to_tell()
        } else {
            Vec::new()
        };
        self.asked_revision = self.revision;
        self.asked_at = Some(now);
        let question = PeerQuestion {
            revision: self.revision,
            version: self.routes.version(),
            knows_left: self.knows_left,
            store_silent: self.silent_since.is_some(),
            age: now.since(self.heard_at),
            wait,
            reports_known: self.reports_known_of(peer),
            list: self.list.end(),
            hosts,
            host: PeerHost {
                address: self.settings.address,
                domain: Some(self.settings.domain),
            },
        };
        Some((peer, question))
    }

    /// Whether it is time to exchange lists of known hosts.
    fn hosts_are_due(&mut self, now: Timestamp) -> bool {
        let period = match self.knows_other_hosts {
            true if self.start.is_young(now) => YOUNG_HOSTS_PERIOD,
            true => DIFFERING_HOSTS_PERIOD,
            false => HOSTS_PERIOD,
        };
        let told_at = self.told_hosts_at;
        told_at.is_none_or(|at| now.since(at) >= period)
    }

    /// The host to query now, and how long the query may wait there.
    fn peer_to_ask(
        &mut self,
        now: Timestamp,
        hosts_due: bool,
    ) -> Option<(net::SocketAddr, time::Duration)> {
        if let Some(host) = self.referred_to.take() {
            return Some((host, START_WAIT));
        }
        // A host that is cut off must not use up a whole wait, during which nothing new
        // arrives.
        if let Some(host) = self.peers.silent_predecessor(now) {
            return Some((host, time::Duration::ZERO));
        }
        if self.knows_nothing() {
            return Some((self.peers.take_turn_at_start()?, START_WAIT));
        }
        let starting = !self.knows_left;
        let source = self.choice.host_to_ask(&self.peers, now);
        if let Some(host) = source.filter(|_| !starting) {
            return Some((host, QUESTION_WAIT));
        }
        let host = if starting || self.silent_since.is_some() {
            self.peers.take_turn()
        } else if hosts_due || self.start.is_young(now) {
            self.peers.take_turn_for_hosts()
        } else {
            None
        };
        Some((host?, time::Duration::ZERO))
    }

    fn hosts_to_tell(&self) -> Vec<PeerHost> {
        if self.knows_other_hosts {
            self.peers.own_domain_hosts()
        } else {
            Vec::new()
        }
    }

    /// How long to pause before the next query to a peer.
    pub const fn peer_pause(&self) -> time::Duration {
        self.pause
    }

    /// Handles the answer of `peer`, or its absence.
    pub fn handle_peer(&mut self, now: Timestamp, peer: net::SocketAddr, word: Option<PeerWord>) {
        let follows = self.choice.host_to_ask(&self.peers, now) == Some(peer);
        let is_useful = follows && self.choice.note_word(now, word.as_ref());
        let heard_at = self.heard_at;
        let reported = self.take_told_reports(now, peer, word.as_ref());
        match word {
            Some(word) => self.take_word(now, peer, word),
            None if self.peers.note_silent(peer, now) => {
                self.changes.push(BeliefChange::PeerLost { peer });
            }
            None => {}
        }
        // A peer that answers at once without anything new has too many waiting queries.
        let learned = self.heard_at >= heard_at.after(LEAST_ADVANCE);
        self.pause = match self.choice.host_to_ask(&self.peers, now) {
            _ if self.referred_to.is_some() => time::Duration::ZERO,
            _ if self.knows_nothing() => START_PAUSE,
            None => IDLE_PAUSE,
            Some(_) if is_useful && learned => QUESTION_PAUSE,
            Some(_) if is_useful && reported => REPORT_PAUSE,
            Some(_) if is_useful && self.start.waits_for_reader(now) => READER_PAUSE,
            Some(_) if is_useful => IDLE_PAUSE,
            Some(_) => MISS_PAUSE,
        };
        self.choose_source(now);
    }

    fn take_word(&mut self, now: Timestamp, peer: net::SocketAddr, word: PeerWord) {
        if self.peers.note_answer(peer, &word.hosts) {
            self.changes.push(BeliefChange::PeerRegained { peer });
        }
        if let Some(digest) = word.hosts_digest {
            self.knows_other_hosts = digest != self.peers.digest();
        }
        let silent_at = word.store_silent_for.map(|ago| now.before(ago));
        self.silent_at = self.silent_at.max(silent_at);
        let revision = word.revision;
        if let Some(ago) = word.reader_heard {
            self.start.note_reader(now.before(ago));
        }
        let servers = word.servers.into_iter();
        let mut servers: Vec<_> = servers.map(|server| server.into_record(now)).collect();
        if let Some(begin) = word.list {
            let said_at = self.said_at(now, word.waited);
            let fits = self.list.take(ListPart {
                begin,
                servers,
                is_last: word.all_servers,
                heard_at: said_at.before(word.age),
            });
            // The next query asks for the next part, for later changes, or for the whole
            // list again.
            self.referred_to = Some(peer);
            self.start.note_reader(now);
            if !fits {
                self.list = StartList::default();
                return;
            }
            servers = self.list.servers().to_vec();
        }
        if revision == StoreRevision::ZERO {
            if word.list.is_none() {
                // A host that waits for the full list keeps its slot at the host it waits
                // at.
                let keeps_place = self.start.waits_for_reader(now).then_some(peer);
                self.referred_to = word.ask_instead.or(keeps_place);
            }
            return;
        }
        self.knows_left |= word.all_servers || self.asked_revision > StoreRevision::ZERO;
        let newer_routes = word
            .routes
            .filter(|one| one.version > self.routes.version());
        let newer = revision > self.revision || newer_routes.is_some();
        if let Some(difference) = newer_routes {
            sync::Arc::make_mut(&mut self.routes).apply(difference);
            self.note_configuration();
        }
        if revision > self.revision {
            if word.reader_heard.is_none() {
                self.start.forget_reader();
            }
            self.note_era(now, revision);
            let evacuations = word.evacuations.into_iter();
            let evacuations: Vec<_> = evacuations.map(|one| one.into_record(now)).collect();
            self.take_evacuations(now, &evacuations, word.all_servers, revision);
            self.take_servers(now, servers, word.all_servers, revision);
        } else {
            self.remember_left(servers);
        }
        if revision >= self.revision {
            let said_at = self.said_at(now, word.waited);
            self.heard_at = self.heard_at.max(said_at.before(word.age));
        }
        if newer {
            self.changes.push(BeliefChange::PeerBelieved {
                peer,
                revision,
                version: self.routes.version(),
            });
        }
    }

    /// The earliest time at which the answer was sent, for a query that `waited` at the
    /// peer. A long answer over a saturated link may take seconds to arrive, and its
    /// content is as old as this.
    pub(super) fn said_at(&self, now: Timestamp, waited: time::Duration) -> Timestamp {
        let asked_at = self.asked_at.unwrap_or(now);
        asked_at.after(waited).min(now)
    }

    fn take_evacuations(
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
            let lasting = evacuations.iter().filter(|one| one.is_lasting());
            let lasting: Vec<_> = lasting.copied().collect();
            changed.extend(directory.replace_evacuations(&lasting, revision, now));
        }
        self.tell_evacuations(changed);
    }

    fn take_servers(
        &mut self,
        now: Timestamp,
        servers: Vec<ServerRecord>,
        all: bool,
        revision: StoreRevision,
    ) {
        if !all {
            let changed = servers.iter().cloned();
            let changes = changed.map(|server| BeliefChange::ServerChanged { server });
            self.changes.extend(changes);
        }
        let directory = sync::Arc::make_mut(&mut self.directory);
        directory.merge(servers, all, revision, now);
        self.review_own_servers();
        if self.knows_nothing() {
            self.places.free_waiting();
        }
        self.revision = revision;
        self.reader.skip_to(revision);
    }

    /// Adds servers that have left, as a peer remembers them. Servers whose entries
    /// vanished count as having left, too: for a host that never knew them, that is long
    /// ago.
    fn remember_left(&mut self, servers: Vec<ServerRecord>) {
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

    /// How much to send to the host of `question`. Many hosts that start at the same time
    /// query the few that the settings name. Sending everything to all of them at once
    /// would saturate their links and memory, so the others are redirected.
    fn extent_for(&mut self, now: Timestamp, question: &PeerQuestion) -> WordExtent {
        let knows_changes =
            || self.directory.changed_after(question.revision).is_some() && !self.knows_nothing();
        if !self.needs_all(question) && knows_changes() {
            return WordExtent::Difference;
        }
        if self.knows_nothing() && !question.knows_nothing() {
            return WordExtent::Nothing { ask_instead: None };
        }
        match self.places.choose(question.host.address, now) {
            TellingChoice::Tell => self.part_for(now, question),
            TellingChoice::Refer(host) => WordExtent::Nothing {
                ask_instead: Some(host),
            },
        }
    }

    /// Whether the host of `question` needs the full list. A host with data of an earlier
    /// era may know entries that the store has lost and this host has never seen.
    fn needs_all(&self, question: &PeerQuestion) -> bool {
        question.knows_nothing() || question.revision.era() < self.revision.era()
    }

    /// The next part of the list for the host of `question`.
    fn part_for(&mut self, now: Timestamp, question: &PeerQuestion) -> WordExtent {
        let limit = self.settings.list_part;
        let is_earlier = question.list.is_some_and(|from| self.last_list.holds(from));
        let is_known = question.list.is_some_and(|from| self.list.holds(from));
        let part = if is_earlier {
            self.last_list.part_after(question.list, limit)
        } else {
            if !self.knows_nothing() && !is_known && !self.list.may_begin(self.revision, now) {
                self.begin_list();
            }
            self.list.part_after(question.list, limit)
        };
        if let Some(part) = &part {
            self.places.note_told(question.host.address, part.is_last);
        }
        let nothing = WordExtent::Nothing { ask_instead: None };
        part.map_or(nothing, WordExtent::Part)
    }

    fn begin_list(&mut self) {
        let host = peer_book::order_number(self.settings.address);
        let servers = self.directory.iter().cloned().collect();
        let list = StartList::of_servers(host, self.revision, servers, self.heard_at);
        self.last_list = mem::replace(&mut self.list, list);
    }

    /// Whether this host has already received a part that the host of `question` lacks.
    pub(super) fn has_part_for(&self, question: &PeerQuestion) -> bool {
        let part = self.list.part_after(question.list, self.settings.list_part);
        part.is_some_and(|part| !part.servers.is_empty())
    }

    /// Whether the host of `question` has a slot here to receive the full list.
    pub(super) fn gives_place(&mut self, question: &PeerQuestion, now: Timestamp) -> bool {
        self.places.choose(question.host.address, now) == TellingChoice::Tell
    }

    /// Answers a query. Also records that the peer exists.
    pub fn answer_peer(&mut self, now: Timestamp, question: &PeerQuestion) -> PeerWord {
        if self.peers.note_question(question.host, &question.hosts) {
            let peer = question.host.address;
            self.changes.push(BeliefChange::PeerRegained { peer });
        }
        let starting = !question.knows_left;
        let extent = self.extent_for(now, question);
        let same_domain = question.host.domain == Some(self.settings.domain);
        let hosts = if starting {
            self.peers.hosts()
        } else if question.hosts.is_empty() {
            Vec::new()
        } else {
            let domain = question.host.domain;
            domain.map_or_else(Vec::new, |domain| self.peers.hosts_in(domain))
        };
        let tells_rest = extent.tells_rest();
        let evacuations = self.directory.evacuations().iter();
        let told = evacuations.filter(|one| match extent {
            WordExtent::Nothing { .. } => false,
            WordExtent::Part(_) => tells_rest,
            WordExtent::Difference => one.changed > question.revision,
        });
        let evacuations = told
            .map(|one| PeerEvacuation::from_record(one, now))
            .collect();
        let (reports, reports_serial) = if same_domain {
            let known = self.reports_known_by(question);
            (self.describe_reports(known, now), self.reports.serial())
        } else {
            (Vec::new(), question.reports_known)
        };
        let routes = tells_rest
            .then(|| self.routes.difference(question.version))
            .flatten();
        let mut word = PeerWord {
            revision: StoreRevision::ZERO,
            waited: time::Duration::ZERO,
            age: now.since(self.heard_at),
            store_silent_for: self.silent_at.map(|at| now.since(at)),
            routes,
            servers: Vec::new(),
            list: None,
            all_servers: false,
            evacuations,
            reports,
            reports_serial,
            hosts_digest: same_domain.then(|| self.peers.digest()),
            hosts,
            ask_instead: None,
            reader_heard: self.reader_heard(now),
        };
        let describe = |server: &ServerRecord| PeerServer::from_record(server, now);
        match extent {
            WordExtent::Nothing { ask_instead } => word.ask_instead = ask_instead,
            WordExtent::Difference => {
                let told = |server: &&ServerRecord| {
                    server.changed > question.revision || (starting && !server.is_listed())
                };
                word.revision = self.revision;
                word.servers = self.directory.iter().filter(told).map(describe).collect();
            }
            WordExtent::Part(part) => {
                if part.is_last {
                    word.revision = part.begin.revision;
                }
                word.all_servers = part.is_last;
                word.list = Some(part.begin);
                word.age = now.since(part.heard_at);
                word.servers = part.servers.iter().map(describe).collect();
            }
        }
        word
    }

    /// How long ago a host was known to be listing the store, while this one waits for it.
    /// Zero if this host is the one.
    pub(super) fn reader_heard(&mut self, now: Timestamp) -> Option<time::Duration> {
        let lists = !self.reader.is_watching() && !self.leaves_listing(now);
        let reads = lists && self.silent_since.is_none();
        if reads {
            return Some(time::Duration::ZERO);
        }
        self.start.reader_heard(now)
    }
}
