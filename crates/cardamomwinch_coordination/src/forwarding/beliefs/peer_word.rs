//! What hosts tell each other about routes and servers.

use std::net;
use std::time;

use cardamomwinch_state::prelude::{
    BackendId, ConfigurationVersion, DomainId, ServiceId, SlotCount, Timestamp,
};

use crate::forwarding::beliefs::start_list::ListPosition;
use crate::forwarding::beliefs::store_call::{ServerStart, StoreRevision};
use crate::forwarding::directory::{ServerPhase, ServerRecord};
use crate::forwarding::evacuations::{EvacuationPhase, EvacuationRecord};
use crate::forwarding::routes::RouteDifference;
use crate::forwarding::server_reports::{
    ReportSerial, ReportSubject, ReporterId, ServerReport, ServerSilence,
};

/// What a host that asks knows already.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerQuestion {
    /// The revision of its directory.
    pub revision: StoreRevision,
    /// The version of its configuration.
    pub version: ConfigurationVersion,
    /// Whether a peer has told it of servers that left before it started.
    pub knows_left: bool,
    /// Whether it cannot read the store.
    pub store_silent: bool,
    /// How old what it knows is.
    pub age: time::Duration,
    /// How long the answer may wait for something newer.
    pub wait: time::Duration,
    /// How far the asked host has told its reports about servers.
    pub reports_known: ReportSerial,
    /// What it has of a list of all servers that it is being told.
    pub list: Option<ListPosition>,
    /// The hosts of its failure domain that it knows, where it asks for others.
    pub hosts: Vec<PeerHost>,
    /// The host itself.
    pub host: PeerHost,
}

/// How long an answer may take beyond the time that it may wait. A peer that is up
/// answers within milliseconds.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(400);

impl PeerQuestion {
    /// Whether the asker knows nothing yet.
    pub fn knows_nothing(&self) -> bool {
        self.revision == StoreRevision::ZERO
    }

    /// How long the asker waits for the whole answer.
    pub fn timeout(&self) -> time::Duration {
        self.wait + ANSWER_TIMEOUT
    }
}

/// A host that can be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerHost {
    /// Where it can be asked.
    pub address: net::SocketAddr,
    /// The failure domain that it stands in, where that is known.
    pub domain: Option<DomainId>,
}

/// A server as a peer knows it. Hosts do not agree on the time, so that ages
/// are told instead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerServer {
    /// Its identifier.
    pub id: BackendId,
    /// When its process started, where it says so.
    pub started: Option<ServerStart>,
    /// Where it takes packets.
    pub address: net::SocketAddr,
    /// The service that it serves.
    pub service: ServiceId,
    /// The failure domain that it stands in.
    pub domain: DomainId,
    /// Requests that it runs at the same time.
    pub slots: SlotCount,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Whether its entry cannot be understood.
    pub unreadable: bool,
    /// How long ago it was taken off the store's list, if it was.
    pub unlisted_for: Option<time::Duration>,
    /// Whether its entry vanished without a word before.
    pub vanished: bool,
    /// How much longer it is slow because it has just started.
    pub cold_left: time::Duration,
    /// The revision that changed it last.
    pub changed: StoreRevision,
}

impl PeerServer {
    /// Describes `server` as it is known at `now`.
    pub fn from_record(server: &ServerRecord, now: Timestamp) -> Self {
        Self {
            id: server.id,
            started: server.started,
            address: server.address,
            service: server.service,
            domain: server.domain,
            slots: server.slots,
            draining: server.phase == ServerPhase::Draining,
            unreadable: server.phase == ServerPhase::Unreadable,
            unlisted_for: match server.phase {
                ServerPhase::Active | ServerPhase::Draining | ServerPhase::Unreadable => None,
                ServerPhase::Vanished { since } | ServerPhase::Left { since } => {
                    Some(now.since(since))
                }
            },
            vanished: matches!(server.phase, ServerPhase::Vanished { .. }),
            cold_left: server.warm_at.since(now),
            changed: server.changed,
        }
    }

    /// The server as it is known at `now`.
    pub fn into_record(self, now: Timestamp) -> ServerRecord {
        let since = self.unlisted_for.map(|age| now.before(age));
        let phase = match since {
            Some(since) if self.vanished => ServerPhase::Vanished { since },
            Some(since) => ServerPhase::Left { since },
            None if self.unreadable => ServerPhase::Unreadable,
            None if self.draining => ServerPhase::Draining,
            None => ServerPhase::Active,
        };
        ServerRecord {
            id: self.id,
            started: self.started,
            address: self.address,
            service: self.service,
            domain: self.domain,
            slots: self.slots,
            phase,
            warm_at: now.after(self.cold_left),
            changed: self.changed,
        }
    }
}

/// An evacuation of a failure domain as a peer knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerEvacuation {
    /// The domain.
    pub domain: DomainId,
    /// How long ago it ended, if it did.
    pub ended_for: Option<time::Duration>,
    /// How long the store has been without it since it came back from a copy.
    pub missing_for: Option<time::Duration>,
    /// The revision that began or ended it.
    pub changed: StoreRevision,
}

impl PeerEvacuation {
    /// Describes `record` as it is known at `now`.
    pub fn from_record(record: &EvacuationRecord, now: Timestamp) -> Self {
        Self {
            domain: record.domain,
            ended_for: match record.phase {
                EvacuationPhase::Lasting | EvacuationPhase::Missing { .. } => None,
                EvacuationPhase::Ended { at } => Some(now.since(at)),
            },
            missing_for: match record.phase {
                EvacuationPhase::Lasting | EvacuationPhase::Ended { .. } => None,
                EvacuationPhase::Missing { since } => Some(now.since(since)),
            },
            changed: record.changed,
        }
    }

    /// The evacuation as it is known at `now`.
    pub fn into_record(self, now: Timestamp) -> EvacuationRecord {
        let phase = match (self.ended_for, self.missing_for) {
            (Some(ago), _) => EvacuationPhase::Ended {
                at: now.before(ago),
            },
            (None, Some(ago)) => EvacuationPhase::Missing {
                since: now.before(ago),
            },
            (None, None) => EvacuationPhase::Lasting,
        };
        EvacuationRecord {
            domain: self.domain,
            phase,
            changed: self.changed,
        }
    }
}

/// A report about a server as it is passed on. Hosts do not agree on the time, so that
/// ages are told instead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerReport {
    /// The server.
    pub server: BackendId,
    /// What it is about.
    pub subject: ReportSubject,
    /// Who saw it.
    pub reporter: ReporterId,
    /// Rises with each statement of the reporter.
    pub number: u64,
    /// How long ago it was seen last.
    pub age: time::Duration,
    /// How many flows wait in vain, and for how long; `None` where the server does well.
    pub silence: Option<(u32, time::Duration)>,
}

impl PeerReport {
    /// Describes `report` as it is told at `now`.
    pub fn from_report(report: &ServerReport, now: Timestamp) -> Self {
        let describe = |silence: ServerSilence| (silence.flows, now.since(silence.since));
        Self {
            server: report.server,
            subject: report.subject,
            reporter: report.reporter,
            number: report.number,
            age: now.since(report.at),
            silence: report.silence.map(describe),
        }
    }

    /// The report as it is known at `now`.
    pub fn into_report(self, now: Timestamp) -> ServerReport {
        let restore = |(flows, age)| ServerSilence {
            flows,
            since: now.before(age),
        };
        ServerReport {
            server: self.server,
            subject: self.subject,
            reporter: self.reporter,
            number: self.number,
            silence: self.silence.map(restore),
            at: now.before(self.age),
        }
    }
}

/// What a host answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerWord {
    /// The revision of its directory; zero where it tells nothing of that.
    pub revision: StoreRevision,
    /// How long the question waited for this answer.
    pub waited: time::Duration,
    /// How long ago it last heard of the store, itself or through others.
    pub age: time::Duration,
    /// How long ago the store was last found silent, if it was.
    pub store_silent_for: Option<time::Duration>,
    /// What is newer in its configuration than what the asker knows.
    pub routes: Option<RouteDifference>,
    /// The servers that changed since the revision of the asker, or all.
    pub servers: Vec<PeerServer>,
    /// Where the servers stand in a list of all that is told in parts, if they do.
    pub list: Option<ListPosition>,
    /// Whether these are, with earlier parts of the list, all servers that it knows, and
    /// the evacuations are all.
    pub all_servers: bool,
    /// The evacuations that changed since the revision of the asker, or all.
    pub evacuations: Vec<PeerEvacuation>,
    /// Its reports about servers that the asker does not know from it.
    pub reports: Vec<PeerReport>,
    /// How far it has told its reports with these.
    pub reports_serial: ReportSerial,
    /// A digest of the hosts of its failure domain that it knows, where the asker
    /// stands there too.
    pub hosts_digest: Option<u64>,
    /// Hosts that it knows, where the asker does not know the same.
    pub hosts: Vec<PeerHost>,
    /// A host to ask instead, where the asker knows nothing and this one has told
    /// everything to too many, or has too many that wait.
    pub ask_instead: Option<net::SocketAddr>,
    /// How long ago a host that reads everything from the store was heard of, where this one
    /// knows nothing yet.
    pub reader_heard: Option<time::Duration>,
}
