//! A whole deployment as real processes: platform, fabric, backend servers and
//! entry hosts (hosts that receive datagrams from the fabric), all on loopback
//! addresses with ports that the system chooses.

mod plan;
mod publishing;
mod waiting;

use std::fs;
use std::net;
use std::path;
use std::process;
use std::sync::atomic;
use std::time;

use cardamomwinch_state::prelude::{HostPhase, SortedVector};
use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt};

use crate::error::{FileSnafu, NotReadySnafu, StandinError, StatusSnafu};
use crate::http;
use crate::process::ChildProcess;

pub use plan::{DeploymentPlan, DomainPlan, ProgramDirectory, ServicePlan};

static DEPLOYMENTS: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// A backend server process.
#[derive(Debug)]
pub struct BackendProcess {
    /// Its name.
    pub name: String,
    /// The name of its service.
    pub service: &'static str,
    /// The name of its failure domain.
    pub domain: &'static str,
    /// Where it receives datagrams and serves its load endpoint.
    pub address: net::SocketAddr,
    /// The address published for it instead of its own, if any: that of a proxy
    /// in front of it.
    pub published: Option<net::SocketAddr>,
    /// Further keys of its definition: weight, phase, slots.
    pub definition: Value,
    /// The process.
    pub process: ChildProcess,
}

/// An entry host process.
#[derive(Debug)]
pub struct HostProcess {
    /// Its name.
    pub name: String,
    /// The name of its failure domain.
    pub domain: &'static str,
    /// Its phase in the published list of hosts.
    pub phase: HostPhase,
    /// Addresses published instead of the host's own, by field: those of proxies
    /// in front of it.
    pub published: SortedVector<String, net::SocketAddr>,
    /// The process.
    pub process: ChildProcess,
}

impl HostProcess {
    /// The address under `field` of the host's ready line.
    ///
    /// # Errors
    /// Fails if the ready line does not have it.
    pub fn address(&self, field: &str) -> Result<net::SocketAddr, StandinError> {
        let binary = &self.name;
        self.process
            .address(field)
            .context(NotReadySnafu { binary })
    }

    fn published(&self, field: &str) -> Result<net::SocketAddr, StandinError> {
        let published = self.published.get(&field.to_owned()).copied();
        published.map_or_else(|| self.address(field), Ok)
    }
}

/// A running deployment. Dropping it ends its processes.
#[derive(Debug)]
pub struct Deployment {
    /// What it was started from.
    pub plan: DeploymentPlan,
    /// The platform.
    pub platform: ChildProcess,
    /// The fabric.
    pub fabric: ChildProcess,
    /// The backend servers.
    pub backends: Vec<BackendProcess>,
    /// The entry hosts.
    pub hosts: Vec<HostProcess>,
    /// The preset that the next root document puts in force.
    pub preset: String,
    /// The presets in the fragment of each service, by the name of the service.
    pub presets: SortedVector<String, Value>,
    /// The keys in the settings of hosts started from now on.
    pub keys: Value,
    /// The platform's address in the settings of hosts.
    pub platform_address: net::SocketAddr,
    /// Addresses of the next host, by field of its settings; the system chooses the others.
    pub next_addresses: SortedVector<String, net::SocketAddr>,
    revisions: SortedVector<String, u64>,
    programs: ProgramDirectory,
    directory: path::PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // Files left behind in the temporary directory do no harm.
        drop(fs::remove_dir_all(&self.directory));
    }
}

impl Deployment {
    /// Starts every process of `plan`, publishes the configuration and waits
    /// until each host is ready.
    ///
    /// # Errors
    /// Fails if a program cannot be started or does not become ready.
    pub async fn start(
        plan: DeploymentPlan,
        programs: ProgramDirectory,
        wait: time::Duration,
    ) -> Result<Self, StandinError> {
        let mut deployment = Self::start_platform_and_fabric(plan, programs)?;
        for service in 0..deployment.plan.services.len() {
            for index in 0..deployment.plan.services[service].backends {
                deployment.start_backend(service, index)?;
            }
        }
        for domain in 0..deployment.plan.domains.len() {
            for index in 0..deployment.plan.domains[domain].hosts {
                deployment.start_host(domain, index)?;
            }
        }
        deployment.publish_everything().await?;
        deployment.wait_until_ready(wait).await?;
        Ok(deployment)
    }

    /// Starts only the platform and the fabric of `plan`, for tests that start
    /// the other processes one by one.
    ///
    /// # Errors
    /// Fails if a program cannot be started or does not become ready.
    pub fn start_platform_and_fabric(
        plan: DeploymentPlan,
        programs: ProgramDirectory,
    ) -> Result<Self, StandinError> {
        let number = DEPLOYMENTS.fetch_add(1, atomic::Ordering::Relaxed);
        let name = format!("cardamomwinch-{}-{number}", process::id());
        let directory = std::env::temp_dir().join(name);
        let action = "make a directory for settings";
        fs::create_dir_all(&directory).context(FileSnafu { action })?;
        let none: [&str; 0] = [];
        let platform = ChildProcess::start(programs.program("standin-platform"), none)?;
        let fabric = ChildProcess::start(programs.program("standin-fabric"), &plan.fabric)?;
        let binary = "standin-platform";
        let platform_address = platform
            .address("public")
            .context(NotReadySnafu { binary })?;
        Ok(Self {
            plan,
            platform,
            fabric,
            backends: Vec::new(),
            hosts: Vec::new(),
            preset: "ordinary".to_owned(),
            presets: SortedVector::new(),
            keys: json!({"signing": signing_key(number)}),
            platform_address,
            next_addresses: SortedVector::new(),
            revisions: SortedVector::new(),
            programs,
            directory,
        })
    }

    /// Starts backend server `index` of a service; the next
    /// [`Self::publish_team`] publishes it.
    ///
    /// # Errors
    /// Fails if it does not become ready.
    pub fn start_backend(&mut self, service: usize, index: usize) -> Result<(), StandinError> {
        let binary = "standin-backend";
        let returns = self.fabric_address("returns")?.to_string();
        let plan = &self.plan.services[service];
        let domain = &self.plan.domains[index % self.plan.domains.len()];
        let name = format!("{}-{index}", plan.name);
        let mut options = vec!["--fabric".to_owned(), returns];
        options.extend(["--service".to_owned(), plan.address.to_string()]);
        options.extend(["--name".to_owned(), name.clone()]);
        options.extend(plan.options.iter().cloned());
        let process = ChildProcess::start(self.programs.program(binary), &options)?;
        let address = process
            .address("address")
            .context(NotReadySnafu { binary })?;
        self.backends.push(BackendProcess {
            name,
            service: plan.name,
            domain: domain.name,
            address,
            published: None,
            definition: json!({}),
            process,
        });
        Ok(())
    }

    /// Starts host `index` of a failure domain and returns its position in
    /// [`Self::hosts`]; the next [`Self::publish_hosts`] publishes it.
    ///
    /// # Errors
    /// Fails if it does not become ready.
    pub fn start_host(&mut self, domain: usize, index: usize) -> Result<usize, StandinError> {
        let domain = self.plan.domains[domain].name;
        let name = format!("{domain}-{index}");
        let mut settings = json!({
            "host": name,
            "domain": domain,
            "traffic_address": "127.0.0.1:0",
            "relay_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
            "admin_address": "127.0.0.1:0",
            "platform": {"addresses": [self.platform_address.to_string()]},
            "keys": self.keys,
            "traffic_threads": self.plan.traffic_threads,
            "log": self.plan.log,
        });
        for (field, address) in std::mem::take(&mut self.next_addresses).iter() {
            settings[field.as_str()] = json!(address);
        }
        let file = self.directory.join(format!("{name}.jsonc"));
        let action = "write the settings of a host";
        fs::write(&file, settings.to_string()).context(FileSnafu { action })?;
        let options = [path::Path::new("--settings"), file.as_path()];
        let process = ChildProcess::start(self.programs.program("cardamomwinchd"), options)?;
        self.hosts.push(HostProcess {
            name,
            domain,
            phase: HostPhase::Live,
            published: SortedVector::new(),
            process,
        });
        Ok(self.hosts.len() - 1)
    }

    /// An address of the fabric: `callers`, `returns` or `control`.
    ///
    /// # Errors
    /// Fails if the fabric's ready line does not have it.
    pub fn fabric_address(&self, field: &str) -> Result<net::SocketAddr, StandinError> {
        let binary = "standin-fabric";
        self.fabric.address(field).context(NotReadySnafu { binary })
    }

    /// Calls `method` of the administration API of the host at `position`.
    ///
    /// # Errors
    /// Fails if the host does not answer, or answers with an HTTP error.
    pub async fn call(
        &self,
        position: usize,
        method: &str,
        params: Value,
    ) -> Result<Value, StandinError> {
        let admin = self.hosts[position].address("admin_address")?;
        let body = json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": params});
        let reply = http::request(admin, "POST", "/", body.to_string()).await?;
        expect_success(reply.status)?;
        let mut answer = reply.json()?;
        Ok(answer["result"].take())
    }

    /// The answer of every backend server to `GET /runs`.
    ///
    /// # Errors
    /// Fails if one does not answer.
    pub async fn run_reports(&self) -> Result<Vec<Value>, StandinError> {
        let mut reports = Vec::new();
        for backend in &self.backends {
            let reply = http::request(backend.address, "GET", "/runs", "").await?;
            reports.push(reply.json()?);
        }
        Ok(reports)
    }
}

/// The signing key of deployment `number` of this process.
///
/// Each has a key of its own: hosts of different deployments have the same names, and a port
/// of a host that ended may become that of a host of another deployment, which would take
/// what the peers of the former still send for messages of its own peers.
fn signing_key(number: u32) -> String {
    format!("{:032x}{number:032x}", process::id())
}

fn expect_success(status: u16) -> Result<(), StandinError> {
    snafu::ensure!((200..300).contains(&status), StatusSnafu { status });
    Ok(())
}
