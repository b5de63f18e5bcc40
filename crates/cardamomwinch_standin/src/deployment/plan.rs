//! What a deployment consists of, and where its programs are.

use std::net;
use std::path;

use serde_json::{Value, json};
use snafu::ResultExt;

use crate::error::{FileSnafu, StandinError};

/// Where the programs are that a deployment starts.
#[derive(Debug, Clone)]
pub struct ProgramDirectory {
    path: path::PathBuf,
}

impl ProgramDirectory {
    /// The directory that Cargo builds programs into, found from the running
    /// program, which is a test, an example or a program of the same build.
    ///
    /// # Errors
    /// Fails where the running program has no path.
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

    /// The program `name`.
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
    /// Its name, which is its team's name too.
    pub name: &'static str,
    /// The public address that callers name; nothing listens there.
    pub address: net::SocketAddr,
    /// The number of its backend servers, spread over the failure domains.
    pub backends: usize,
    /// Further options of `standin-backend`.
    pub options: Vec<String>,
}

/// What a deployment consists of.
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
    /// What the settings of each host say of the log.
    pub log: Value,
}

impl DeploymentPlan {
    /// The association's deployment: three failure domains and two services.
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
