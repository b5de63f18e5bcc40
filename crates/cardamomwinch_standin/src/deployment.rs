//! A whole deployment as real processes: platform, fabric, backend servers and
//! entry hosts, all on loopback addresses that the system chooses.

use std::fs;
use std::net;
use std::path;
use std::process;
use std::sync::atomic;
use std::time;

use cardamomwinch_state::prelude::{HostPhase, SortedVector};
use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt};

use crate::error::{FileSnafu, JsonSnafu, NotReadySnafu, StandinError, StatusSnafu, TimeoutSnafu};
use crate::http;
use crate::process::ChildProcess;

/// How often a condition is looked at while it is waited for.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// The signing key of all hosts of a deployment; it guards nothing but tests.
const SIGNING_KEY: &str = "0101010101010101010101010101010101010101010101010101010101010101";

static DEPLOYMENTS: atomic::AtomicU32 = atomic::AtomicU32::new(0);

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

/// A backend server process.
#[derive(Debug)]
pub struct BackendProcess {
    /// Its name.
    pub name: String,
    /// The name of its service.
    pub service: &'static str,
    /// The name of its failure domain.
    pub domain: &'static str,
    /// Where it takes datagrams and answers about its load.
    pub address: net::SocketAddr,
    /// The address that its team publishes instead of its own, if any, so that
    /// a proxy can stand between.
    pub published: Option<net::SocketAddr>,
    /// What its team says of it besides: weight, phase, slots.
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
    /// What the published list says of it.
    pub phase: HostPhase,
    /// Addresses that the published list gives instead of the host's own, by
    /// field, so that a proxy can stand between.
    pub published: SortedVector<String, net::SocketAddr>,
    /// The process.
    pub process: ChildProcess,
}

impl HostProcess {
    /// An address from the ready line of the host.
    ///
    /// # Errors
    /// Fails where the host did not say it.
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
    /// The preset in force.
    pub preset: String,
    /// What the presets of each service change, by the name of the service.
    pub presets: SortedVector<String, Value>,
    /// The keys in the settings of hosts that are started from now on.
    pub keys: Value,
    /// Where hosts find the platform.
    pub platform_address: net::SocketAddr,
    revisions: SortedVector<String, u64>,
    programs: ProgramDirectory,
    directory: path::PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        // What is left in the temporary directory harms nobody.
        drop(fs::remove_dir_all(&self.directory));
    }
}

impl Deployment {
    /// Starts every process of `plan`, publishes the configuration and waits
    /// until each host is ready.
    ///
    /// # Errors
    /// Fails where a program cannot be started or does not get ready.
    pub async fn start(
        plan: DeploymentPlan,
        programs: ProgramDirectory,
        wait: time::Duration,
    ) -> Result<Self, StandinError> {
        let mut deployment = Self::start_surroundings(plan, programs)?;
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

    /// Starts the platform and the fabric of `plan` and nothing else, for
    /// tests that start the rest step by step.
    ///
    /// # Errors
    /// Fails where a program cannot be started or does not get ready.
    pub fn start_surroundings(
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
            keys: json!({"signing": SIGNING_KEY}),
            platform_address,
            revisions: SortedVector::new(),
            programs,
            directory,
        })
    }

    /// Starts the backend server `index` of a service; it is published with
    /// the next [`Self::publish_team`].
    ///
    /// # Errors
    /// Fails where it does not get ready.
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

    /// Starts host `index` of a failure domain, and returns its position; it
    /// is published with the next [`Self::publish_hosts`].
    ///
    /// # Errors
    /// Fails where it does not get ready.
    pub fn start_host(&mut self, domain: usize, index: usize) -> Result<usize, StandinError> {
        let domain = self.plan.domains[domain].name;
        let name = format!("{domain}-{index}");
        let settings = json!({
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
    /// Fails where the fabric did not say it.
    pub fn fabric_address(&self, field: &str) -> Result<net::SocketAddr, StandinError> {
        let binary = "standin-fabric";
        self.fabric.address(field).context(NotReadySnafu { binary })
    }

    /// Publishes every team, the root document and the hosts, and tells the
    /// fabric of the hosts.
    ///
    /// # Errors
    /// Fails where the platform or the fabric does not take them.
    pub async fn publish_everything(&mut self) -> Result<(), StandinError> {
        for service in 0..self.plan.services.len() {
            let name = self.plan.services[service].name;
            self.publish_team(name).await?;
        }
        self.publish_root().await?;
        self.publish_hosts().await?;
        self.tell_fabric().await
    }

    /// Publishes the fragment of the team that owns `service`. It comes into
    /// force with the next [`Self::publish_root`].
    ///
    /// # Errors
    /// Fails where the platform does not take it.
    pub async fn publish_team(&mut self, service: &'static str) -> Result<(), StandinError> {
        let backends = self.backends.iter().filter(|held| held.service == service);
        let mut definitions = serde_json::Map::new();
        for backend in backends {
            let mut definition = backend.definition.clone();
            definition["domain"] = json!(backend.domain);
            definition["address"] = json!(backend.published.unwrap_or(backend.address));
            definitions.insert(backend.name.clone(), definition);
        }
        let address = self.plan.services.iter().find(|plan| plan.name == service);
        let address = address.map(|plan| plan.address);
        let presets = self.presets.get(&service.to_owned());
        let presets = presets.cloned().unwrap_or_else(|| json!({}));
        let fragment = json!({
            "team": service,
            "services": {service: {"address": address, "backends": definitions}},
            "presets": presets,
        });
        let key = format!("teams/{service}");
        let revision = self.put(&key, &fragment.to_string()).await?;
        self.revisions.insert(service.to_owned(), revision);
        Ok(())
    }

    /// Publishes the root document and returns its version.
    ///
    /// # Errors
    /// Fails where the platform does not take it.
    pub async fn publish_root(&mut self) -> Result<u64, StandinError> {
        let root = self.root_document(&self.preset);
        self.put("root", &root.to_string()).await
    }

    /// The root document that puts `preset` in force, with the latest fragment
    /// of each team.
    pub fn root_document(&self, preset: &str) -> Value {
        let mut teams = serde_json::Map::new();
        for (team, revision) in self.revisions.iter() {
            teams.insert(team.clone(), json!(revision));
        }
        json!({"preset": preset, "teams": teams, "limits": self.plan.limits})
    }

    /// Lets the next root document name `revision` of a team's fragment that
    /// was put by other means.
    pub fn set_revision(&mut self, team: &str, revision: u64) {
        self.revisions.insert(team.to_owned(), revision);
    }

    /// Publishes the list of hosts.
    ///
    /// # Errors
    /// Fails where the platform does not take it.
    pub async fn publish_hosts(&self) -> Result<u64, StandinError> {
        let mut hosts = serde_json::Map::new();
        for host in &self.hosts {
            let entry = json!({
                "domain": host.domain,
                "traffic_address": host.published("traffic_address")?,
                "relay_address": host.published("relay_address")?,
                "peer_address": host.published("peer_address")?,
                "phase": host.phase,
            });
            hosts.insert(host.name.clone(), entry);
        }
        self.put("hosts", &json!({"hosts": hosts}).to_string())
            .await
    }

    /// Tells the fabric which hosts to hand datagrams to: all that run.
    ///
    /// # Errors
    /// Fails where the fabric does not take them.
    pub async fn tell_fabric(&self) -> Result<(), StandinError> {
        let mut addresses = Vec::new();
        for host in &self.hosts {
            addresses.push(host.published("traffic_address")?);
        }
        let body = serde_json::to_vec(&addresses).context(JsonSnafu)?;
        let control = self.fabric_address("control")?;
        let reply = http::request(control, "PUT", "/v1/hosts", body).await?;
        expect_success(reply.status)
    }

    /// Puts `value` under `key` on the platform and returns its revision.
    ///
    /// # Errors
    /// Fails where the platform does not take it.
    pub async fn put(&self, key: &str, value: &str) -> Result<u64, StandinError> {
        let binary = "standin-platform";
        let operator = self.platform.address("operator");
        let operator = operator.context(NotReadySnafu { binary })?;
        let path = format!("/v1/keys/{key}");
        let reply = http::request(operator, "PUT", &path, value.to_owned()).await?;
        expect_success(reply.status)?;
        Ok(reply.json()?["revision"].as_u64().unwrap_or_default())
    }

    /// Waits until every host says that it is ready.
    ///
    /// # Errors
    /// Fails where one does not within `wait`.
    pub async fn wait_until_ready(&self, wait: time::Duration) -> Result<(), StandinError> {
        for host in &self.hosts {
            let admin = host.address("admin_address")?;
            let limit = time::Instant::now() + wait;
            loop {
                let reply = http::request(admin, "GET", "/readyz", "").await;
                if reply.is_ok_and(|reply| reply.status == 200) {
                    break;
                }
                let binary = &host.name;
                snafu::ensure!(time::Instant::now() < limit, NotReadySnafu { binary });
                async_io::Timer::after(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Waits until all hosts name the same home for every backend server.
    ///
    /// # Errors
    /// Fails where they do not within `wait`.
    pub async fn wait_until_homes_agree(&self, wait: time::Duration) -> Result<(), StandinError> {
        let limit = time::Instant::now() + wait;
        while !self.homes_agree().await? {
            let condition = "an agreement on homes";
            snafu::ensure!(time::Instant::now() < limit, TimeoutSnafu { condition });
            async_io::Timer::after(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn homes_agree(&self) -> Result<bool, StandinError> {
        let mut agreed: Option<Vec<Value>> = None;
        let mut holders = vec![0; self.backends.len()];
        for position in 0..self.hosts.len() {
            let backends = self.call(position, "backends", json!([])).await?;
            let held = backends.as_array().map(Vec::as_slice).unwrap_or_default();
            let homes: Vec<Value> = held.iter().map(|held| held["home_host"].clone()).collect();
            let known = homes.iter().all(Value::is_string) && homes.len() == self.backends.len();
            if !known || agreed.as_ref().is_some_and(|agreed| *agreed != homes) {
                return Ok(false);
            }
            for (count, held) in holders.iter_mut().zip(held) {
                *count += u32::from(held["holds_home"] == json!(true));
            }
            agreed = Some(homes);
        }
        Ok(holders.iter().all(|count| *count == 1))
    }

    /// Calls `method` of the administration API of the host at `position`.
    ///
    /// # Errors
    /// Fails where the host does not answer.
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

    /// Waits until `holds` is true of the status of every host.
    ///
    /// # Errors
    /// Fails where it is not within `wait`.
    pub async fn wait_for_status(
        &self,
        wait: time::Duration,
        mut holds: impl FnMut(&Value) -> bool,
    ) -> Result<(), StandinError> {
        for position in 0..self.hosts.len() {
            let limit = time::Instant::now() + wait;
            loop {
                let status = self.call(position, "status", json!([])).await;
                if status.is_ok_and(|status| holds(&status)) {
                    break;
                }
                let condition = "the status of a host";
                snafu::ensure!(time::Instant::now() < limit, TimeoutSnafu { condition });
                async_io::Timer::after(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// What every backend server says of the requests it ran.
    ///
    /// # Errors
    /// Fails where one does not answer.
    pub async fn run_reports(&self) -> Result<Vec<Value>, StandinError> {
        let mut reports = Vec::new();
        for backend in &self.backends {
            let reply = http::request(backend.address, "GET", "/runs", "").await?;
            reports.push(reply.json()?);
        }
        Ok(reports)
    }
}

fn expect_success(status: u16) -> Result<(), StandinError> {
    snafu::ensure!((200..300).contains(&status), StatusSnafu { status });
    Ok(())
}
