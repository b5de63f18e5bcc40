//! The messages between hosts, as JSON, with servers packed in Base64.
//!
//! Properties that many routes or servers share are sent once as a kind, and each route or
//! server refers to its kind by an index. Hosts with slow links send a configuration to
//! several others; written in full, 1,700 new routes filled a link of 10 Mbit/s for a
//! second, and packets of callers were lost meanwhile.

mod kinds;
mod packed;
pub mod reports;
mod routes;
mod servers;

use std::net;
use std::time;

use cardamomwinch_coordination::forwarding::discovery::peer_messages::{
    PeerAnswer, PeerEvacuation, PeerHost, PeerQuery,
};
use cardamomwinch_coordination::forwarding::discovery::server_list::{ListId, ListPosition};
use cardamomwinch_coordination::forwarding::discovery::store_call::StoreRevision;
use cardamomwinch_coordination::forwarding::routes::RouteDifference;
use cardamomwinch_coordination::forwarding::server_reports::ReportSerial;
use cardamomwinch_state::prelude::{ConfigurationVersion, DomainId};
use serde::{Deserialize, Serialize};

pub use crate::peer_wire::kinds::UnknownKindError;
pub use crate::peer_wire::reports::WireReport;
pub use crate::peer_wire::routes::WireRoutes;
pub use crate::peer_wire::servers::WireServers;

/// A host that can be queried.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub struct WireHost {
    address: net::SocketAddr,
    domain: Option<DomainId>,
}

impl From<PeerHost> for WireHost {
    fn from(host: PeerHost) -> Self {
        Self {
            address: host.address,
            domain: host.domain,
        }
    }
}

impl From<WireHost> for PeerHost {
    fn from(host: WireHost) -> Self {
        Self {
            address: host.address,
            domain: host.domain,
        }
    }
}

/// A position in a list of all servers that is sent in parts.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub struct WirePosition {
    list: u64,
    revision: StoreRevision,
    servers: usize,
}

impl From<ListPosition> for WirePosition {
    fn from(position: ListPosition) -> Self {
        Self {
            list: position.list.get(),
            revision: position.revision,
            servers: position.servers,
        }
    }
}

impl From<WirePosition> for ListPosition {
    fn from(position: WirePosition) -> Self {
        Self {
            list: ListId::new(position.list),
            revision: position.revision,
            servers: position.servers,
        }
    }
}

/// A query, with what the querying host knows already.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct WireQuery {
    revision: StoreRevision,
    version: ConfigurationVersion,
    knows_left: bool,
    store_silent: bool,
    age_ms: u64,
    wait_ms: u64,
    #[serde(default)]
    reports_known: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    list: Option<WirePosition>,
    hosts: Vec<WireHost>,
    host: WireHost,
}

impl From<PeerQuery> for WireQuery {
    fn from(query: PeerQuery) -> Self {
        Self {
            revision: query.revision,
            version: query.version,
            knows_left: query.knows_left_servers,
            store_silent: query.store_fails,
            age_ms: query.age.as_millis() as u64,
            wait_ms: query.wait.as_millis() as u64,
            reports_known: query.reports_received.get(),
            list: query.list.map(WirePosition::from),
            hosts: query.hosts.into_iter().map(WireHost::from).collect(),
            host: query.host.into(),
        }
    }
}

impl From<WireQuery> for PeerQuery {
    fn from(query: WireQuery) -> Self {
        Self {
            revision: query.revision,
            version: query.version,
            knows_left_servers: query.knows_left,
            store_fails: query.store_silent,
            age: time::Duration::from_millis(query.age_ms),
            wait: time::Duration::from_millis(query.wait_ms),
            reports_received: ReportSerial::new(query.reports_known),
            list: query.list.map(ListPosition::from),
            hosts: query.hosts.into_iter().map(PeerHost::from).collect(),
            host: query.host.into(),
        }
    }
}

/// An evacuation of a failure domain.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub struct WireEvacuation {
    domain: DomainId,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    ended_for_ms: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    missing_for_ms: Option<u64>,
    changed: StoreRevision,
}

impl From<PeerEvacuation> for WireEvacuation {
    fn from(evacuation: PeerEvacuation) -> Self {
        Self {
            domain: evacuation.domain,
            ended_for_ms: evacuation.ended_ago.map(|ago| ago.as_millis() as u64),
            missing_for_ms: evacuation.missing_for.map(|ago| ago.as_millis() as u64),
            changed: evacuation.changed,
        }
    }
}

impl From<WireEvacuation> for PeerEvacuation {
    fn from(evacuation: WireEvacuation) -> Self {
        Self {
            domain: evacuation.domain,
            ended_ago: evacuation.ended_for_ms.map(time::Duration::from_millis),
            missing_for: evacuation.missing_for_ms.map(time::Duration::from_millis),
            changed: evacuation.changed,
        }
    }
}

/// The answer to a query.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct WireAnswer {
    revision: StoreRevision,
    waited_ms: u64,
    age_ms: u64,
    store_silent_for_ms: Option<u64>,
    routes: Option<WireRoutes>,
    servers: WireServers,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    list: Option<WirePosition>,
    all_servers: bool,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    evacuations: Vec<WireEvacuation>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    reports: Vec<WireReport>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    outliers: Vec<WireReport>,
    #[serde(default)]
    reports_serial: u64,
    hosts_digest: Option<u64>,
    hosts: Vec<WireHost>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    ask_instead: Option<net::SocketAddr>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    reader_heard_ms: Option<u64>,
}

impl From<PeerAnswer> for WireAnswer {
    fn from(answer: PeerAnswer) -> Self {
        let (reports, outliers) = reports::split(answer.reports);
        Self {
            revision: answer.revision,
            waited_ms: answer.waited.as_millis() as u64,
            age_ms: answer.age.as_millis() as u64,
            store_silent_for_ms: answer.store_failed_ago.map(|ago| ago.as_millis() as u64),
            routes: answer.routes.map(WireRoutes::from),
            servers: answer.servers.into(),
            list: answer.list.map(WirePosition::from),
            all_servers: answer.all_servers,
            evacuations: answer.evacuations.into_iter().map(Into::into).collect(),
            reports,
            outliers,
            reports_serial: answer.reports_serial.get(),
            hosts_digest: answer.hosts_digest,
            hosts: answer.hosts.into_iter().map(WireHost::from).collect(),
            ask_instead: answer.query_instead,
            reader_heard_ms: answer.listing_age.map(|ago| ago.as_millis() as u64),
        }
    }
}

impl TryFrom<WireAnswer> for PeerAnswer {
    type Error = UnknownKindError;

    fn try_from(answer: WireAnswer) -> Result<Self, Self::Error> {
        Ok(Self {
            revision: answer.revision,
            waited: time::Duration::from_millis(answer.waited_ms),
            age: time::Duration::from_millis(answer.age_ms),
            store_failed_ago: answer.store_silent_for_ms.map(time::Duration::from_millis),
            routes: answer.routes.map(RouteDifference::try_from).transpose()?,
            servers: answer.servers.try_into()?,
            list: answer.list.map(ListPosition::from),
            all_servers: answer.all_servers,
            evacuations: answer.evacuations.into_iter().map(Into::into).collect(),
            reports: {
                let reports = answer.reports.into_iter().chain(answer.outliers);
                reports.map(Into::into).collect()
            },
            reports_serial: ReportSerial::new(answer.reports_serial),
            hosts_digest: answer.hosts_digest,
            hosts: answer.hosts.into_iter().map(PeerHost::from).collect(),
            query_instead: answer.ask_instead,
            listing_age: answer.reader_heard_ms.map(time::Duration::from_millis),
        })
    }
}
