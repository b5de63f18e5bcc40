//! The two deployments: their failure domains, services, backend servers,
//! entry hosts and delays. Each of them has an index, which determines its
//! address.

use std::fmt;
use std::net;
use std::str;
use std::time;

use cardamomwinch_state::prelude::{DomainId, FlowKey, HostId};
use snafu::Snafu;

/// Requests that a backend server runs at the same time.
pub const SLOTS: u32 = 2;
/// The number of flows that may be open at a backend server.
pub const CONNECTIONS: u32 = 2000;

const SERVICE_PORT: u16 = 7000;
const SERVER_PORT: u16 = 9000;
const HOST_PORT: u16 = 20_000;

/// The deployment that a run simulates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeploymentName {
    /// The deployment with three failure domains.
    Budapest,
    /// The deployment with four failure domains.
    Bavaria,
}

/// Text that names no deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("expected budapest or bavaria, found {found:?}"))]
pub struct DeploymentParseError {
    /// The rejected text.
    pub found: String,
}

impl fmt::Display for DeploymentName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Budapest => "budapest",
            Self::Bavaria => "bavaria",
        })
    }
}

impl str::FromStr for DeploymentName {
    type Err = DeploymentParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "budapest" => Ok(Self::Budapest),
            "bavaria" => Ok(Self::Bavaria),
            _ => Err(DeploymentParseError {
                found: text.to_owned(),
            }),
        }
    }
}

/// A service with its backend servers.
#[derive(Debug, Clone, Copy)]
pub struct ServicePlan {
    /// The name of the service and of its team.
    pub name: &'static str,
    /// The number of its backend servers.
    pub server_count: usize,
}

/// The parts of a deployment.
#[derive(Debug, Clone)]
pub struct DeploymentPlan {
    /// The deployment.
    pub name: DeploymentName,
    /// The failure domains.
    pub domains: &'static [&'static str],
    /// The services.
    pub services: [ServicePlan; 2],
    /// The number of entry hosts at the start.
    pub host_count: usize,
    /// The one-way delay between callers and hosts.
    pub caller_delay: time::Duration,
}

impl DeploymentPlan {
    /// The deployment `name` with `host_count` hosts.
    pub const fn new(name: DeploymentName, host_count: usize) -> Self {
        match name {
            DeploymentName::Budapest => Self {
                name,
                domains: &["bud-angyal", "bud-csepel", "bud-budaors"],
                services: services("benchmark-desk", "docvault"),
                host_count,
                caller_delay: time::Duration::from_millis(1),
            },
            DeploymentName::Bavaria => Self {
                name,
                domains: &["muc-nord", "muc-sued", "nbg-ost", "rgb-west"],
                services: services("renewal", "archive"),
                host_count,
                caller_delay: time::Duration::from_millis(3),
            },
        }
    }

    /// The number of backend servers of all services.
    pub fn server_count(&self) -> usize {
        self.services.iter().map(|plan| plan.server_count).sum()
    }

    /// The service of backend server `server`.
    pub const fn service_of_server(&self, server: usize) -> usize {
        (server >= self.services[0].server_count) as usize
    }

    /// The backend servers of `service`.
    pub const fn servers_of(&self, service: usize) -> std::ops::Range<usize> {
        let first = self.services[0].server_count;
        match service {
            0 => 0..first,
            _ => first..first + self.services[1].server_count,
        }
    }

    /// The failure domain of `server`.
    pub const fn domain_of_server(&self, server: usize) -> usize {
        server % self.domains.len()
    }

    /// The failure domain of `host`.
    pub const fn domain_of_host(&self, host: usize) -> usize {
        host % self.domains.len()
    }

    /// The identifier of failure domain `domain`.
    pub fn domain_id(&self, domain: usize) -> DomainId {
        DomainId::from_name(self.domains[domain])
    }

    /// The name of `host`.
    pub fn host_name(&self, host: usize) -> String {
        format!("{}-{}", self.domains[self.domain_of_host(host)], host)
    }

    /// The identifier of `host`.
    pub fn host_id(&self, host: usize) -> HostId {
        HostId::from_name(&self.host_name(host))
    }
}

const fn services(first: &'static str, second: &'static str) -> [ServicePlan; 2] {
    [
        ServicePlan {
            name: first,
            server_count: 14,
        },
        ServicePlan {
            name: second,
            server_count: 4,
        },
    ]
}

fn address(network: u8, port: u16) -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::new(192, 168, network, 1), port))
}

/// The address that callers use for `service`.
pub fn service_address(service: usize) -> net::SocketAddr {
    address(1, SERVICE_PORT + service as u16)
}

/// The address of backend server `server`.
pub fn server_address(server: usize) -> net::SocketAddr {
    address(2, SERVER_PORT + server as u16)
}

/// The backend server at `address`.
pub fn server_at(address: net::SocketAddr) -> usize {
    usize::from(address.port() - SERVER_PORT)
}

/// The address of `host` for datagrams of `kind`: 0 from the fabric, 1 relayed, 2 control.
pub fn host_address(host: usize, kind: u8) -> net::SocketAddr {
    address(10 + kind, HOST_PORT + host as u16)
}

/// The key of the flow with index `flow` to `service`.
pub fn flow_key(flow: usize, service: usize) -> FlowKey {
    let [_, high, middle, low] = (flow as u32).to_be_bytes();
    let caller = net::Ipv4Addr::new(10, high, middle, low);
    let port = 1024 + (flow * 7919 % 60_000) as u16;
    FlowKey {
        caller: net::SocketAddr::from((caller, port)),
        service: service_address(service),
    }
}

/// The index of the flow with key `key`; the inverse of [`flow_key`].
pub fn flow_at(key: &FlowKey) -> usize {
    match key.caller.ip() {
        net::IpAddr::V4(caller) => {
            let [_, high, middle, low] = caller.octets();
            u32::from_be_bytes([0, high, middle, low]) as usize
        }
        net::IpAddr::V6(_) => 0,
    }
}

/// The index of the service in `key`.
pub const fn service_at(key: &FlowKey) -> usize {
    (key.service.port() - SERVICE_PORT) as usize
}
