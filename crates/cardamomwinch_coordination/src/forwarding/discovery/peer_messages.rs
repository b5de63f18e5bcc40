//! Messages about routes and servers between hosts.

use std::net;
use std::time;

use cardamomwinch_state::prelude::{
    BackendId, ConfigurationVersion, DomainId, ServiceId, SlotCount, Timestamp,
};

use crate::forwarding::directory::{ServerPhase, ServerRecord};
use crate::forwarding::discovery::server_list::ListPosition;
use crate::forwarding::discovery::store_call::{ServerStart, StoreRevision};
use crate::forwarding::evacuations::{EvacuationPhase, EvacuationRecord};
use crate::forwarding::routes::RouteDifference;
use crate::forwarding::server_reports::{
    ReportSerial, ReportSubject, ReporterId, ServerReport, ServerSilence,
};

/// A query to another host: what the querying host already knows, and how long the answer
/// may wait.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerQuery {
    /// The revision of its directory.
    pub revision: StoreRevision,
    /// The version of its configuration.
    pub version: ConfigurationVersion,
    /// Whether a peer has sent it the servers that left before it started, which may still
    /// have open flows.
    pub knows_left_servers: bool,
    /// Whether its calls to the store fail.
    pub store_fails: bool,
    /// How old its data is.
    pub age: time::Duration,
    /// How long the answer may wait for something newer.
    pub wait: time::Duration,
    /// The serial up to which it has the reports of the queried host.
    pub reports_received: ReportSerial,
    /// The position up to which it has received a full server list.
    pub list: Option<ListPosition>,
    /// The hosts of its failure domain that it knows, if it asks for others.
    pub hosts: Vec<PeerHost>,
    /// The host itself.
    pub host: PeerHost,
}

/// How long an answer may take in addition to the wait. A healthy peer answers within
/// milliseconds.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(400);

impl PeerQuery {
    /// Whether the querying host has no data yet.
    pub fn has_no_data(&self) -> bool {
        self.revision == StoreRevision::ZERO
    }

    /// How long the querying host waits for the answer.
    pub fn timeout(&self) -> time::Duration {
        self.wait + ANSWER_TIMEOUT
    }
}

/// A host that can be queried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerHost {
    /// The address that it is queried at.
    pub address: net::SocketAddr,
    /// Its failure domain, if known.
    pub domain: Option<DomainId>,
}

/// A server in an answer. Hosts have no common clock, so the times are durations relative
/// to the answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerServer {
    /// Its identifier.
    pub id: BackendId,
    /// When its process started, if published.
    pub started: Option<ServerStart>,
    /// The address that packets are sent to.
    pub address: net::SocketAddr,
    /// The service that it serves.
    pub service: ServiceId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Number of requests that it processes at the same time.
    pub slots: SlotCount,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Whether its entry cannot be parsed.
    pub unreadable: bool,
    /// How long ago it was removed from the store, if it was.
    pub removed_ago: Option<time::Duration>,
    /// Whether its entry vanished without draining first.
    pub vanished: bool,
    /// How much longer it is cold after its start.
    pub cold_left: time::Duration,
    /// The revision that created its entry, if it shares a token with another server.
    pub registered: Option<StoreRevision>,
    /// The revision that changed it last.
    pub changed: StoreRevision,
}

impl PeerServer {
    /// Describes `server` as known at `now`, without its registration.
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
            removed_ago: match server.phase {
                ServerPhase::Active | ServerPhase::Draining | ServerPhase::Unreadable => None,
                ServerPhase::Vanished { since } | ServerPhase::Left { since } => {
                    Some(now.since(since))
                }
            },
            vanished: matches!(server.phase, ServerPhase::Vanished { .. }),
            cold_left: server.warm_at.since(now),
            registered: None,
            changed: server.changed,
        }
    }

    /// Converts into a record received at `now`.
    pub fn into_record(self, now: Timestamp) -> ServerRecord {
        let since = self.removed_ago.map(|age| now.before(age));
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
            registered: self.registered.unwrap_or(self.changed),
            changed: self.changed,
        }
    }
}

/// An evacuation of a failure domain in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerEvacuation {
    /// The domain.
    pub domain: DomainId,
    /// How long ago it ended, if it did.
    pub ended_ago: Option<time::Duration>,
    /// How long the store has lacked it since it was restored from a backup, if it does.
    pub missing_for: Option<time::Duration>,
    /// The revision that began or ended it.
    pub changed: StoreRevision,
}

impl PeerEvacuation {
    /// Describes `record` as known at `now`.
    pub fn from_record(record: &EvacuationRecord, now: Timestamp) -> Self {
        Self {
            domain: record.domain,
            ended_ago: match record.phase {
                EvacuationPhase::Active | EvacuationPhase::Missing { .. } => None,
                EvacuationPhase::Ended { at } => Some(now.since(at)),
            },
            missing_for: match record.phase {
                EvacuationPhase::Active | EvacuationPhase::Ended { .. } => None,
                EvacuationPhase::Missing { since } => Some(now.since(since)),
            },
            changed: record.changed,
        }
    }

    /// Converts into a record received at `now`.
    pub fn into_record(self, now: Timestamp) -> EvacuationRecord {
        let phase = match (self.ended_ago, self.missing_for) {
            (Some(ago), _) => EvacuationPhase::Ended {
                at: now.before(ago),
            },
            (None, Some(ago)) => EvacuationPhase::Missing {
                since: now.before(ago),
            },
            (None, None) => EvacuationPhase::Active,
        };
        EvacuationRecord {
            domain: self.domain,
            phase,
            changed: self.changed,
        }
    }
}

/// A report about a server in a message. Hosts have no common clock, so the times are
/// durations relative to the message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerReport {
    /// The server.
    pub server: BackendId,
    /// What the report is about.
    pub subject: ReportSubject,
    /// The host that made the observation.
    pub reporter: ReporterId,
    /// Rises with each report of the reporter.
    pub number: u64,
    /// How long ago the observation was made.
    pub age: time::Duration,
    /// Number of flows without an answer, and for how long they have waited; `None` if the
    /// server responds.
    pub silence: Option<(u32, time::Duration)>,
}

impl PeerReport {
    /// Describes `report` as known at `now`.
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

    /// Converts into a report received at `now`.
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

/// The answer to a [`PeerQuery`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAnswer {
    /// The revision of its directory; zero if the answer has no data.
    pub revision: StoreRevision,
    /// How long the query waited for this answer.
    pub waited: time::Duration,
    /// How long ago its data was current with the store.
    pub age: time::Duration,
    /// How long ago a call to the store last failed, as far as it knows.
    pub store_failed_ago: Option<time::Duration>,
    /// The routes that are newer than the configuration of the querying host.
    pub routes: Option<RouteDifference>,
    /// The servers that changed after the revision of the querying host, or a part of all
    /// servers.
    pub servers: Vec<PeerServer>,
    /// The position of the servers in a full list that is sent in parts, if it is.
    pub list: Option<ListPosition>,
    /// Whether these are, together with earlier parts of the list, all servers that it
    /// knows, and the evacuations are complete.
    pub all_servers: bool,
    /// The evacuations that changed after the revision of the querying host, or all.
    pub evacuations: Vec<PeerEvacuation>,
    /// Its reports about servers that it has not sent to the querying host yet.
    pub reports: Vec<PeerReport>,
    /// The serial up to which it has sent its reports, including these.
    pub reports_serial: ReportSerial,
    /// A digest of the hosts of its failure domain that it knows, if the querying host is
    /// in the same domain.
    pub hosts_digest: Option<u64>,
    /// Hosts that it knows, if the querying host knows different ones.
    pub hosts: Vec<PeerHost>,
    /// A host to query instead, if the querying host has no data and this one is already
    /// sending the full list to the maximum of hosts, or has that many waiting.
    pub query_instead: Option<net::SocketAddr>,
    /// How long ago a host was known to be listing the store, if this one has no data yet.
    pub listing_age: Option<time::Duration>,
}
