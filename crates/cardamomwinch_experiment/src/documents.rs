//! The documents that the operators publish on the platform.

use cardamomwinch_state::prelude::SortedVector;
use serde_json::{Map, Value, json};

use crate::deployment::{self, DeploymentPlan};

/// The preset in force at the start.
pub const ORDINARY_PRESET: &str = "ordinary";
/// The preset that changes weights and phases.
pub const PEAK_PRESET: &str = "peak";

/// The state that the operators publish.
#[derive(Debug, Clone)]
pub struct PublishedState {
    /// The name of the preset.
    pub preset: &'static str,
    /// Backend servers that drain.
    pub draining: Vec<usize>,
    /// Backend servers that were removed from the configuration.
    pub removed: Vec<usize>,
    /// Removed servers whose addresses the first service got.
    pub moved: Vec<usize>,
    /// The listed hosts, each with whether it is leaving.
    pub hosts: SortedVector<usize, bool>,
}

impl PublishedState {
    /// The state at the start.
    pub fn initial(plan: &DeploymentPlan) -> Self {
        Self {
            preset: ORDINARY_PRESET,
            draining: Vec::new(),
            removed: Vec::new(),
            moved: Vec::new(),
            hosts: (0..plan.host_count).map(|host| (host, false)).collect(),
        }
    }

    /// The root document that refers to fragments of these revisions.
    pub fn root(&self, plan: &DeploymentPlan, revisions: [u64; 2]) -> String {
        let names = plan.services.iter().map(|service| service.name.to_owned());
        let teams: Map<String, Value> = names.zip(revisions.map(Value::from)).collect();
        json!({"preset": self.preset, "teams": teams}).to_string()
    }

    /// The fragment of the team of `service`.
    pub fn fragment(&self, plan: &DeploymentPlan, service: usize) -> String {
        let servers = plan.servers_of(service);
        let kept = servers.filter(|server| !self.removed.contains(server));
        let moved = self.moved.iter().copied().filter(|_| service == 0);
        let kept = kept.chain(moved);
        let backends: Map<String, Value> = kept
            .clone()
            .map(|server| (server_name(server), self.server(plan, server)))
            .collect();
        let overrides: Map<String, Value> = kept
            .filter_map(|server| Some((server_name(server), peak_override(plan, server)?)))
            .collect();
        let name = plan.services[service].name;
        let address = deployment::service_address(service);
        json!({
            "team": name,
            "services": {name: {"address": address, "backends": backends}},
            "presets": {PEAK_PRESET: {name: overrides}},
        })
        .to_string()
    }

    fn server(&self, plan: &DeploymentPlan, server: usize) -> Value {
        let phase = match self.draining.contains(&server) {
            true => "draining",
            false => "active",
        };
        json!({
            "domain": plan.domains[plan.domain_of_server(server)],
            "address": deployment::server_address(server),
            "slots": deployment::SLOTS,
            "connections": deployment::CONNECTIONS,
            "phase": phase,
        })
    }

    /// The list of hosts.
    pub fn host_list(&self, plan: &DeploymentPlan) -> String {
        let hosts = self.hosts.iter().map(|(host, leaving)| {
            let entry = json!({
                "domain": plan.domains[plan.domain_of_host(*host)],
                "traffic_address": deployment::host_address(*host, 0),
                "relay_address": deployment::host_address(*host, 1),
                "peer_address": deployment::host_address(*host, 2),
                "phase": if *leaving { "leaving" } else { "live" },
            });
            (plan.host_name(*host), entry)
        });
        let hosts: Map<String, Value> = hosts.collect();
        json!({ "hosts": hosts }).to_string()
    }
}

fn server_name(server: usize) -> String {
    format!("server-{server}")
}

/// The change that the peak preset makes to `server`, if any. The preset halves
/// the weight of every third server of the first service and drains server 1.
fn peak_override(plan: &DeploymentPlan, server: usize) -> Option<Value> {
    match server {
        _ if plan.service_of_server(server) != 0 => None,
        1 => Some(json!({"phase": "draining"})),
        _ if server.is_multiple_of(3) => Some(json!({"weight": 50})),
        _ => None,
    }
}

/// The server that is drained.
pub const DRAINED_SERVER: usize = 2;
/// The server that is moved from the second service to the first.
pub const MOVED_SERVER: usize = 16;
/// The server that is removed from the configuration.
pub const REMOVED_SERVER: usize = 5;

/// Whether the peak preset changes `server`.
pub fn is_changed_by_preset(plan: &DeploymentPlan, server: usize) -> bool {
    peak_override(plan, server).is_some()
}
