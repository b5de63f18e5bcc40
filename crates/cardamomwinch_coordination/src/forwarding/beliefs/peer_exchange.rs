//! What a host asks other hosts, what it makes of their answers, and what it
//! answers itself.

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

/// How long a question to another host may wait for something new. A reader hears
/// of the store at least every two seconds, and passes that on at once.
const QUESTION_WAIT: time::Duration = time::Duration::from_millis(2_300);
/// The pause between two questions, in which changes gather.
const QUESTION_PAUSE: time::Duration = time::Duration::from_millis(20);
/// What an answer tells must be later than what was known by this.
const LEAST_ADVANCE: time::Duration = time::Duration::from_millis(100);
/// The pause after an answer that brought reports about servers and nothing else, in which
/// further ones gather.
const REPORT_PAUSE: time::Duration = time::Duration::from_millis(100);
/// The pause after an answer that tells only that somebody reads everything from the store.
const READER_PAUSE: time::Duration = time::Duration::from_millis(100);
/// The pause after an answer that was of no use, before another host is asked.
const MISS_PAUSE: time::Duration = time::Duration::from_millis(100);
/// The pause where the last answer told nothing new, or nobody is to be asked.
pub(super) const IDLE_PAUSE: time::Duration = time::Duration::from_millis(400);
/// How often a host may tell another one all hosts that it knows and be told those
/// of the other. A list takes up to three kilobytes. It is told only where the two
/// know different hosts, and readers ask so often whether they do.
const HOSTS_PERIOD: time::Duration = time::Duration::from_secs(3);

/// How long a question of a host that knows nothing yet may wait at another one that has
/// just started, too. Meanwhile it can ask nobody else.
const START_WAIT: time::Duration = time::Duration::from_millis(300);
/// The pause between two questions of a host that knows nothing yet, and was named
/// nobody to ask.
const START_PAUSE: time::Duration = time::Duration::from_millis(10);
/// How often, where the last one that was asked knows other hosts: until lists agree, more
/// hosts than need be take themselves for readers.
const DIFFERING_HOSTS_PERIOD: time::Duration = time::Duration::from_millis(800);
/// And how often in the first seconds after a start, when all are looking for their place.
const YOUNG_HOSTS_PERIOD: time::Duration = time::Duration::from_millis(300);

/// How much an answer tells.
#[derive(Debug)]
enum WordExtent {
    /// Neither routes nor servers.
    Nothing {
        /// A host that is to be asked instead, where this one knows any.
        ask_instead: Option<net::SocketAddr>,
    },
    /// What changed since what the asker knows.
    Difference,
    /// A part of everything; with the last one, all but servers.
    Part(ListPart),
}

impl WordExtent {
    /// Whether routes and evacuations are told.
    const fn tells_rest(&self) -> bool {
        match self {
            Self::Nothing { .. } => false,
            Self::Difference => true,
            Self::Part(part) => part.is_last,
        }
    }
}

impl BeliefEngine {
    /// The host to ask now, if one should be asked: the one that this host learns
    /// from; anyone while the store is silent; and anyone after the start, because
    /// peers remember servers that have left the store's list with flows still on
    /// them. Readers also ask from time to time which hosts there are.
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

    /// Whether it is time to compare which hosts there are.
    fn hosts_are_due(&mut self, now: Timestamp) -> bool {
        let period = match self.knows_other_hosts {
            true if self.start.is_young(now) => YOUNG_HOSTS_PERIOD,
            true => DIFFERING_HOSTS_PERIOD,
            false => HOSTS_PERIOD,
        };
        let told_at = self.told_hosts_at;
        told_at.is_none_or(|at| now.since(at) >= period)
    }

    /// The host to ask now, and how long the question may wait there.
    fn peer_to_ask(
        &mut self,
        now: Timestamp,
        hosts_due: bool,
    ) -> Option<(net::SocketAddr, time::Duration)> {
        if let Some(host) = self.referred_to.take() {
            return Some((host, START_WAIT));
        }
        // Whoever is cut off must not cost a whole wait, in which nothing is learned.
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

    /// How long to wait before the next question to a peer.
    pub const fn peer_pause(&self) -> time::Duration {
        self.pause
    }

    /// Takes the answer of `peer`, or that there was none.
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
        // Who answers at once without anything new has too many questions.
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
            // The next part, what changed since, or all again.
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
                // Who waits at a host that is to be told everything keeps its place there.
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

    /// When an answer whose question `waited` was said at the earliest. It may have been on
    /// its way for seconds, where it is long and a link is full: what it says is as old.
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

    /// Takes over servers that have left, as a peer remembers them. They count as
    /// having left also where their entries vanished: it is long ago for a host
    /// that has not known them.
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

    /// How much to tell whoever asks `question`. Many hosts that start together ask the
    /// few that the settings name, whose links and memory it would fill if each were told
    /// everything at once; the others are told whom else to ask.
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

    /// Whether what changed does not suffice for whoever asks `question`. It may know what
    /// this host never heard of, and the store has lost.
    fn needs_all(&self, question: &PeerQuestion) -> bool {
        question.knows_nothing() || question.revision.era() < self.revision.era()
    }

    /// The next part of the list that whoever asks `question` is being told.
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

    /// Whether there is a part for whoever asks `question`, which this host has been told.
    pub(super) fn has_part_for(&self, question: &PeerQuestion) -> bool {
        let part = self.list.part_after(question.list, self.settings.list_part);
        part.is_some_and(|part| !part.servers.is_empty())
    }

    /// Whether whoever asks `question` may wait here to be told everything.
    pub(super) fn gives_place(&mut self, question: &PeerQuestion, now: Timestamp) -> bool {
        self.places.choose(question.host.address, now) == TellingChoice::Tell
    }

    /// Answers a peer. It also learns that the peer is there.
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

    /// How long ago a host was heard of that reads everything from the store, which this one
    /// waits for: it may be one itself.
    pub(super) fn reader_heard(&mut self, now: Timestamp) -> Option<time::Duration> {
        let lists = !self.reader.is_watching() && !self.leaves_listing(now);
        let reads = lists && self.silent_since.is_none();
        if reads {
            return Some(time::Duration::ZERO);
        }
        self.start.reader_heard(now)
    }
}
