//! The documents of a test fleet, and the names of its hosts.

use cardamomwinch_coordination::prelude::*;
use cardamomwinch_protocol::peer::configuration::ConfigurationMessage;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_state::prelude::*;

/// The number of failure domains, and of hosts in each.
#[derive(Debug, Clone, Copy)]
pub struct FleetShape {
    pub domains: usize,
    pub per_domain: usize,
}

impl FleetShape {
    pub const fn count(self) -> usize {
        self.domains * self.per_domain
    }

    pub const fn domain_of(self, host: usize) -> usize {
        host / self.per_domain
    }

    pub fn identity(self, host: usize, started: Timestamp) -> HostIdentity {
        HostIdentity {
            host: HostId::from_name(&host_name(host)),
            domain: DomainId::from_name(&domain_name(self.domain_of(host))),
            incarnation: Incarnation::new(started.get()),
        }
    }

    /// The text of a list of the hosts for which `listed` is true.
    pub fn host_list(self, listed: impl Fn(usize) -> bool) -> String {
        let hosts = (0..self.count()).filter(|host| listed(*host));
        let hosts = hosts.map(|host| {
            let (name, domain) = (host_name(host), domain_name(self.domain_of(host)));
            let address = format!("127.{}.{}", host / 200 + 1, host % 200 + 1);
            format!(
                r#""{name}": {{"domain": "{domain}", "traffic_address": "{address}.1:4000",
                "relay_address": "{address}.1:4001", "peer_address": "{address}.1:4002"}}"#
            )
        });
        format!(
            r#"{{"hosts": {{{}}}}}"#,
            hosts.collect::<Vec<_>>().join(",")
        )
    }
}

pub fn host_name(host: usize) -> String {
    format!("host-{host}")
}

pub fn domain_name(domain: usize) -> String {
    format!("domain-{domain}")
}

/// The text of a root document.
pub fn root(preset: &str, teams: &[(String, u64)]) -> String {
    let teams = teams
        .iter()
        .map(|(team, revision)| format!(r#""{team}": {revision}"#));
    let teams = teams.collect::<Vec<_>>().join(", ");
    format!(r#"{{"preset": "{preset}", "teams": {{{teams}}}}}"#)
}

/// The text of a fragment with one service, which has one backend server.
pub fn fragment(team: &str, service: &str, port: u16, backend: u16) -> String {
    format!(
        r#"{{"team": "{team}", "presets": {{}}, "services": {{"{service}": {{
        "address": "127.0.0.1:{port}", "backends": {{"{service}-1": {{
        "domain": "domain-0", "address": "127.0.0.1:{backend}"}}}}}}}}}}"#
    )
}

/// Checks that `envelope` fits into one message. The transport accepts at most four
/// mebibytes, in which text is escaped.
pub fn expect_deliverable(envelope: &PeerEnvelope) {
    let PeerMessage::Configuration(ConfigurationMessage::Offer(offer)) = &envelope.message else {
        return;
    };
    let root = offer.root.iter();
    let fragments = offer.fragments.iter().map(|offer| &offer.document);
    let documents = root.chain(fragments);
    let bytes: usize = documents.map(|document| document.text.len()).sum();
    assert!(bytes < 2 * 1024 * 1024, "{bytes} bytes in one message");
}
