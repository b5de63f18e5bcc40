//! The settings of a forwarding host. They are read when the process starts, and
//! again whenever the file changes.

use std::net;
use std::time;

use cardamomwinch_protocol::prelude::AuthenticationKeys;
use cardamomwinch_state::prelude::{DomainId, RegionId};

use crate::check::CheckReport;
use crate::checker::DocumentChecker;
use crate::document;
use crate::keys;
use crate::node::{ObjectNode, ValueNode};
use crate::rules;
use crate::settings::{self, LogSettings, PlatformSettings};
use crate::taken::TakenAddresses;
use crate::values;

/// The settings of one forwarding host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwarderSettings {
    /// The name of the host.
    pub host: String,
    /// The name of its failure domain.
    pub domain: String,
    /// The name of each failure domain with the name of its region. A failure domain
    /// that is not named gets no flows that are bound to regions.
    pub regions: Vec<(String, String)>,
    /// Where it receives packets from the fabric (UDP). Packets to callers go to
    /// the same port at the callers.
    pub traffic_address: net::SocketAddr,
    /// Where it reports to the fabric whether it is ready (HTTP).
    pub readiness_address: net::SocketAddr,
    /// Where it answers queries of other hosts (TCP).
    pub peer_address: net::SocketAddr,
    /// Where it serves the administration API and metrics (HTTP).
    pub admin_address: net::SocketAddr,
    /// How the platform is reached and read.
    pub platform: PlatformSettings,
    /// Peer addresses of the hosts to query first; they may be out of date.
    pub seeds: Vec<net::SocketAddr>,
    /// The keys that authenticate the hosts to each other.
    pub keys: AuthenticationKeys,
    /// The maximum number of watched flows.
    pub flows: usize,
    /// How long a flow may last.
    pub flow_lifetime: time::Duration,
    /// The time after which a stopping process is terminated.
    pub stop_within: time::Duration,
    /// What is logged.
    pub log: LogSettings,
    /// Which decisions under load the host makes.
    pub load: LoadSettings,
}

/// The decisions under load that a forwarding host makes beyond those of every host. A
/// key that is missing is false.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct LoadSettings {
    /// Whether it opens flows within a small window of the servers of each domain.
    pub windows: bool,
    /// Whether it sends flows to other domains before the queues of its own one fill.
    pub spill: bool,
    /// Whether it refuses less urgent requests first if there is room for too few.
    pub priorities: bool,
    /// Whether it keeps new flows away from servers that do worse than the others.
    pub outliers: bool,
}

impl LoadSettings {
    fn read(checker: &mut DocumentChecker<'_>, node: &ValueNode<'_>) -> Option<Self> {
        let object = node.object(checker)?;
        object.check_keys(checker, keys::LOAD);
        let windows = object.optional(checker, "windows", false, values::boolean);
        let spill = object.optional(checker, "spill", false, values::boolean);
        let priorities = object.optional(checker, "priorities", false, values::boolean);
        let outliers = object.optional(checker, "outliers", false, values::boolean);
        Some(Self {
            windows: windows?,
            spill: spill?,
            priorities: priorities?,
            outliers: outliers?,
        })
    }
}

impl ForwarderSettings {
    /// Reads the settings in `text`, which came from `file`.
    ///
    /// # Errors
    /// Reports every error of the document.
    pub fn parse(file: &str, text: &str) -> Result<Self, CheckReport> {
        document::read_document(file, text, Self::read)
    }

    /// The identifier of the failure domain of the host.
    pub fn domain_id(&self) -> DomainId {
        DomainId::from_name(&self.domain)
    }

    /// The failure domains, each with its region.
    pub fn domain_regions(&self) -> impl Iterator<Item = (DomainId, RegionId)> {
        let names = self.regions.iter();
        names.map(|(domain, region)| (DomainId::from_name(domain), RegionId::from_name(region)))
    }

    fn read(checker: &mut DocumentChecker<'_>, object: &ObjectNode<'_>) -> Option<Self> {
        object.check_keys(checker, keys::FORWARDER);
        let host = object.required(checker, "host", values::name);
        let domain = object.required(checker, "domain", values::name);
        let regions = object.optional(checker, "regions", Vec::new(), read_regions);
        let names = [
            "traffic_address",
            "readiness_address",
            "peer_address",
            "admin_address",
        ];
        let addresses = TakenAddresses::read_local(checker, object, names);
        let platform = object.required(checker, "platform", PlatformSettings::read);
        let seeds = object.optional(checker, "seeds", Vec::new(), read_seeds);
        let keys = object.required(checker, "keys", settings::read_keys);
        let flows = rules::WATCHED_FLOWS.read_usize(checker, object);
        let flow_lifetime = rules::FLOW_LIFETIME.read_seconds(checker, object);
        let stop_within = rules::STOP_WITHIN.read_seconds(checker, object);
        let log = object.optional(checker, "log", LogSettings::default(), LogSettings::read);
        let load = object.optional(checker, "load", LoadSettings::default(), LoadSettings::read);
        let [traffic, readiness, peer, admin] = addresses?;
        Some(Self {
            host: host?,
            domain: domain?,
            regions: regions?,
            traffic_address: traffic,
            readiness_address: readiness,
            peer_address: peer,
            admin_address: admin,
            platform: platform?,
            seeds: seeds?,
            keys: keys?,
            flows: flows?,
            flow_lifetime: flow_lifetime?,
            stop_within: stop_within?,
            log: log?,
            load: load?,
        })
    }
}

fn read_regions(
    checker: &mut DocumentChecker<'_>,
    node: &ValueNode<'_>,
) -> Option<Vec<(String, String)>> {
    let object = node.object(checker)?;
    let entries = object.named_entries(checker);
    let pairs = entries.iter().map(|entry| {
        let region = values::name(checker, &entry.node)?;
        Some((entry.name.to_owned(), region))
    });
    pairs.collect()
}

fn read_seeds(
    checker: &mut DocumentChecker<'_>,
    node: &ValueNode<'_>,
) -> Option<Vec<net::SocketAddr>> {
    let elements = node.elements(checker)?;
    let addresses = elements
        .iter()
        .map(|element| values::reachable_address(checker, element));
    addresses.collect()
}
