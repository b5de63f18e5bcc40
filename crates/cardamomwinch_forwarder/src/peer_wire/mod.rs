//! What hosts say to each other, as JSON, with servers in a shorter form.
//!
//! What many routes or servers have in common is told once, and each refers to it by
//! its place. Hosts with narrow links pass a configuration on to several others; told
//! in full, 1,700 new routes filled a link of 10 Mbit/s for a second, and packets of
//! callers were lost meanwhile.

mod kinds;
mod packed;
mod reports;
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

/// A host that can be asked.
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

/// A place in a list of all servers that is told in parts.
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

/// What a host that asks knows already.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct WireQuestion {
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

impl From<PeerQuery> for WireQuestion {
    fn from(question: PeerQuery) -> Self {
        Self {
            revision: question.revision,
            version: question.version,
            knows_left: question.knows_left_servers,
            store_silent: question.store_fails,
            age_ms: question.age.as_millis() as u64,
            wait_ms: question.wait.as_millis() as u64,
            reports_known: question.reports_received.get(),
            list: question.list.map(WirePosition::from),
            hosts: question.hosts.into_iter().map(WireHost::from).collect(),
            host: question.host.into(),
        }
    }
}

impl From<WireQuestion> for PeerQuery {
    fn from(question: WireQuestion) -> Self {
        Self {
            revision: question.revision,
            version: question.version,
            knows_left_servers: question.knows_left,
            store_fails: question.store_silent,
            age: time::Duration::from_millis(question.age_ms),
            wait: time::Duration::from_millis(question.wait_ms),
            reports_received: ReportSerial::new(question.reports_known),
            list: question.list.map(ListPosition::from),
            hosts: question.hosts.into_iter().map(PeerHost::from).collect(),
            host: question.host.into(),
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

/// What a host answers.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct WireWord {
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
    #[serde(default)]
    reports_serial: u64,
    hosts_digest: Option<u64>,
    hosts: Vec<WireHost>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    ask_instead: Option<net::SocketAddr>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    reader_heard_ms: Option<u64>,
}

impl From<PeerAnswer> for WireWord {
    fn from(word: PeerAnswer) -> Self {
        Self {
            revision: word.revision,
            waited_ms: word.waited.as_millis() as u64,
            age_ms: word.age.as_millis() as u64,
            store_silent_for_ms: word.store_failed_ago.map(|ago| ago.as_millis() as u64),
            routes: word.routes.map(WireRoutes::from),
            servers: word.servers.into(),
            list: word.list.map(WirePosition::from),
            all_servers: word.all_servers,
            evacuations: word.evacuations.into_iter().map(Into::into).collect(),
            reports: word.reports.into_iter().map(Into::into).collect(),
            reports_serial: word.reports_serial.get(),
            hosts_digest: word.hosts_digest,
            hosts: word.hosts.into_iter().map(WireHost::from).collect(),
            ask_instead: word.query_instead,
            reader_heard_ms: word.listing_age.map(|ago| ago.as_millis() as u64),
        }
    }
}

impl TryFrom<WireWord> for PeerAnswer {
    type Error = UnknownKindError;

    fn try_from(word: WireWord) -> Result<Self, Self::Error> {
        Ok(Self {
            revision: word.revision,
            waited: time::Duration::from_millis(word.waited_ms),
            age: time::Duration::from_millis(word.age_ms),
            store_failed_ago: word.store_silent_for_ms.map(time::Duration::from_millis),
            routes: word.routes.map(RouteDifference::try_from).transpose()?,
            servers: word.servers.try_into()?,
            list: word.list.map(ListPosition::from),
            all_servers: word.all_servers,
            evacuations: word.evacuations.into_iter().map(Into::into).collect(),
            reports: word.reports.into_iter().map(Into::into).collect(),
            reports_serial: ReportSerial::new(word.reports_serial),
            hosts_digest: word.hosts_digest,
            hosts: word.hosts.into_iter().map(PeerHost::from).collect(),
            query_instead: word.ask_instead,
            listing_age: word.reader_heard_ms.map(time::Duration::from_millis),
        })
    }
}
