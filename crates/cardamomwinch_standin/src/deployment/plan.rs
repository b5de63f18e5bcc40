//! The parts of a deployment, and the directory of its programs.

use std::net;
use std::path;

use serde_json::{Value, json};
use snafu::ResultExt;

use crate::error::{FileSnafu, StandinError};

/// The directory of the programs that a deployment starts.
#[derive(Debug, Clone)]
pub struct ProgramDirectory {
    path: path::PathBuf,
}

impl ProgramDirectory {
    /// The directory into which Cargo builds programs. It is derived from the path
    /// of the running test, example or program, which is of the same build.
    ///
    /// # Errors
    /// Fails if the path of the running program cannot be found.
    pub fn of_this_build() -> Result<Self, StandinError> {
        let running = std::env::current_exe().context(FileSnafu {
            action: "find the running program",
        })?;
        let inner = running.parent().unwrap_or(path::Path::new("."));
        let name = inner.file_name().and_then(|name| name.to_str());
        let path = match name {
            Some("deps" | "examples") => inner.parent().unwrap_or(inner),
            _ => inner,
        };
        Ok(Self {
            path: path.to_owned(),
        })
    }

    /// The path of the program `name`.
    pub fn program(&self, name: &str) -> path::PathBuf {
        self.path.join(name)
    }
}

/// A failure domain and how many entry hosts it has.
#[derive(Debug, Clone)]
pub struct DomainPlan {
    /// Its name.
    pub name: &'static str,
    /// The number of its hosts.
    pub hosts: usize,
}

/// A service and its backend servers.
#[derive(Debug, Clone)]
pub struct ServicePlan {
    /// Its name, which is also the name of its team.
    pub name: &'static str,
    /// The public address that callers put into their datagrams; nothing listens
    /// there.
    pub address: net::SocketAddr,
    /// The number of its backend servers, spread over the failure domains.
    pub backends: usize,
    /// Further options of `standin-backend`.
    pub options: Vec<String>,
}

/// The parts of a deployment.
#[derive(Debug, Clone)]
pub struct DeploymentPlan {
    /// Its failure domains.
    pub domains: Vec<DomainPlan>,
    /// Its services.
    pub services: Vec<ServicePlan>,
    /// The limits of the root document.
    pub limits: Value,
    /// Further options of `standin-fabric`.
    pub fabric: Vec<String>,
    /// Traffic threads of each host.
    pub traffic_threads: usize,
    /// The key `log` in the settings of each host.
    pub log: Value,
}

impl DeploymentPlan {
    /// The deployment in Budapest: three failure domains and two services.
    pub fn budapest(hosts_per_domain: usize) -> Self {
        let domain = |name| DomainPlan {
            name,
            hosts: hosts_per_domain,
        };
        let service = |name, port, backends| ServicePlan {
            name,
            address: net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port)),
            backends,
            options: Vec::new(),
        };
        Self {
            domains: ["bud-angyal", "bud-csepel", "bud-budaors"]
                .map(domain)
                .into(),
            services: vec![
                service("benchmark-desk", 7001, 14),
                service("docvault", 7002, 4),
            ],
            limits: json!({"request_lifetime_ms": 5000, "flow_hash_seed": 7}),
            fabric: vec!["--spray".to_owned(), "rotate".to_owned()],
            traffic_threads: 1,
            log: json!({}),
        }
    }
}
