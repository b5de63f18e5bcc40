//! Publishes the documents of a deployment on the platform, and its hosts to
//! the fabric.

use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt};

use crate::deployment::{self, Deployment};
use crate::error::{JsonSnafu, NotReadySnafu, StandinError};
use crate::http;

impl Deployment {
    /// Publishes every team, the root document and the hosts, and sends the hosts
    /// to the fabric.
    ///
    /// # Errors
    /// Fails if the platform or the fabric does not accept them.
    pub async fn publish_everything(&mut self) -> Result<(), StandinError> {
        for service in 0..self.plan.services.len() {
            let name = self.plan.services[service].name;
            self.publish_team(name).await?;
        }
        self.publish_root().await?;
        self.publish_hosts().await?;
        self.send_hosts_to_fabric().await
    }

    /// Publishes the fragment of the team that owns `service`. It comes into
    /// force with the next [`Self::publish_root`].
    ///
    /// # Errors
    /// Fails if the platform does not accept it.
    pub async fn publish_team(&mut self, service: &'static str) -> Result<(), StandinError> {
        let backends = self
            .backends
            .iter()
            .filter(|backend| backend.service == service);
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
    /// Fails if the platform does not accept it.
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

    /// Sets the revision of a team's fragment for the next root document; for
    /// fragments published without [`Self::publish_team`].
    pub fn set_revision(&mut self, team: &str, revision: u64) {
        self.revisions.insert(team.to_owned(), revision);
    }

    /// Publishes the list of hosts.
    ///
    /// # Errors
    /// Fails if the platform does not accept it.
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

    /// Sends the addresses of all hosts to the fabric, which distributes datagrams
    /// among them.
    ///
    /// # Errors
    /// Fails if the fabric does not accept them.
    pub async fn send_hosts_to_fabric(&self) -> Result<(), StandinError> {
        let mut addresses = Vec::new();
        for host in &self.hosts {
            addresses.push(host.published("traffic_address")?);
        }
        let body = serde_json::to_vec(&addresses).context(JsonSnafu)?;
        let control = self.fabric_address("control")?;
        let reply = http::request(control, "PUT", "/v1/hosts", body).await?;
        deployment::expect_success(reply.status)
    }

    /// Puts `value` under `key` on the platform and returns its revision.
    ///
    /// # Errors
    /// Fails if the platform does not accept it.
    pub async fn put(&self, key: &str, value: &str) -> Result<u64, StandinError> {
        let binary = "standin-platform";
        let operator = self.platform.address("operator");
        let operator = operator.context(NotReadySnafu { binary })?;
        let path = format!("/v1/keys/{key}");
        let reply = http::request(operator, "PUT", &path, value.to_owned()).await?;
        deployment::expect_success(reply.status)?;
        Ok(reply.json()?["revision"].as_u64().unwrap_or_default())
    }
}
