//! Adopts configuration. Versions only rise. A root document is adopted as a
//! whole, once every fragment that it lists has been read or refused; a
//! fragment that is refused leaves its team's last accepted one in force.

use std::time;

use cardamomwinch_configuration::check::CheckReport;
use cardamomwinch_configuration::host_list;
use cardamomwinch_configuration::prelude::{RootDocument, TeamFragment};
use cardamomwinch_configuration::resolve::{self, AcceptedFragment, Resolution};
use cardamomwinch_protocol::peer::configuration::ConfigurationDigest;
use cardamomwinch_state::prelude::{
    ConfigurationVersion, FragmentRevision, HostListVersion, HostTable, SortedVector, Timestamp,
};

use crate::control::event::{
    PlatformAnswer, PlatformFailure, PlatformKey, PlatformOutcome, PlatformRequest,
};

/// How long a watch waits at the platform.
const WATCH_WAIT: time::Duration = time::Duration::from_secs(20);
/// How long a failed call rests before it is made again.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// What became of an answer of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdoptionOutcome {
    /// Nothing that matters.
    Nothing,
    /// A newer configuration was adopted.
    Configuration(Box<Resolution>),
    /// A newer list of hosts was adopted.
    Hosts,
    /// The answer is older than what is accepted, and was ignored.
    Stale,
    /// The call failed.
    Failed,
    /// The document was refused.
    Refused {
        /// The key that holds it.
        key: PlatformKey,
        /// What is wrong with it.
        report: CheckReport,
    },
}

/// A root document on its way into force.
#[derive(Debug)]
struct PendingRoot {
    version: ConfigurationVersion,
    document: RootDocument,
    refused: Vec<String>,
}

/// What this host has accepted, and what it is still reading.
#[derive(Debug, Default)]
pub struct ConfigurationAdoption {
    version: ConfigurationVersion,
    fragments: SortedVector<String, AcceptedFragment>,
    hosts: HostTable,
    pending: Option<PendingRoot>,
    waiting: Vec<DelayedRequest>,
}

#[derive(Debug)]
struct DelayedRequest {
    due: Timestamp,
    request: PlatformRequest,
}

impl ConfigurationAdoption {
    /// The calls that a cold host makes first.
    pub fn first_requests() -> Vec<PlatformRequest> {
        [PlatformKey::Root, PlatformKey::Hosts].map(read).into()
    }

    /// The version in force; zero before the first.
    pub fn version(&self) -> ConfigurationVersion {
        self.version
    }

    /// The list of hosts in force.
    pub fn hosts(&self) -> &HostTable {
        &self.hosts
    }

    /// What this host tells others about what it has accepted.
    pub fn digest(&self) -> ConfigurationDigest {
        ConfigurationDigest {
            version: self.version,
            host_list: self.hosts.version,
            hash: 0,
        }
    }

    /// The calls whose rest is over.
    pub fn due_requests(&mut self, now: Timestamp) -> Vec<PlatformRequest> {
        let (due, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|delayed| delayed.due <= now);
        self.waiting = waiting;
        let due: Vec<DelayedRequest> = due;
        due.into_iter().map(|delayed| delayed.request).collect()
    }

    /// Takes the outcome of a call; pushes the calls to make next to `next`.
    pub fn take(
        &mut self,
        now: Timestamp,
        outcome: PlatformOutcome,
        next: &mut Vec<PlatformRequest>,
    ) -> AdoptionOutcome {
        let PlatformOutcome { request, result } = outcome;
        match result {
            Err(PlatformFailure) | Ok(PlatformAnswer::Missing) => {
                self.repeat_later(now, request);
                AdoptionOutcome::Failed
            }
            Ok(PlatformAnswer::Unchanged) => {
                next.push(request);
                AdoptionOutcome::Nothing
            }
            Ok(PlatformAnswer::Value { revision, text }) => match request.key {
                PlatformKey::Root => self.take_root(now, revision, &text, next),
                PlatformKey::Hosts => self.take_hosts(now, revision, &text, next),
                PlatformKey::Team(team) => self.take_fragment(now, team, revision, &text),
            },
        }
    }

    fn repeat_later(&mut self, now: Timestamp, request: PlatformRequest) {
        let due = now.after(RETRY_INTERVAL);
        self.waiting.push(DelayedRequest { due, request });
    }

    fn take_root(
        &mut self,
        now: Timestamp,
        revision: u64,
        text: &str,
        next: &mut Vec<PlatformRequest>,
    ) -> AdoptionOutcome {
        let version = ConfigurationVersion::new(revision);
        if version <= self.version {
            // Guards against a platform that goes back: its older answer
            // carries a lower revision than the one in force.
            self.repeat_later(now, watch(PlatformKey::Root, self.version.get()));
            let same = version == self.version;
            return if same {
                AdoptionOutcome::Nothing
            } else {
                AdoptionOutcome::Stale
            };
        }
        next.push(watch(PlatformKey::Root, revision));
        let key = PlatformKey::Root;
        match RootDocument::parse("root", text) {
            Err(report) => AdoptionOutcome::Refused { key, report },
            Ok(document) => self.begin(version, document, next),
        }
    }

    fn begin(
        &mut self,
        version: ConfigurationVersion,
        document: RootDocument,
        next: &mut Vec<PlatformRequest>,
    ) -> AdoptionOutcome {
        for (team, revision) in document.teams.iter() {
            if !self.holds(team, *revision) {
                next.push(read(PlatformKey::Team(team.clone())));
            }
        }
        self.pending = Some(PendingRoot {
            version,
            document,
            refused: Vec::new(),
        });
        self.adopt_if_complete()
    }

    fn holds(&self, team: &String, revision: FragmentRevision) -> bool {
        let accepted = self.fragments.get(team);
        accepted.is_some_and(|accepted| accepted.revision >= revision)
    }

    fn take_fragment(
        &mut self,
        now: Timestamp,
        team: String,
        revision: u64,
        text: &str,
    ) -> AdoptionOutcome {
        let revision = FragmentRevision::new(revision);
        let wanted = self.wanted_revision(&team);
        if wanted.is_none_or(|wanted| self.holds(&team, wanted)) {
            return AdoptionOutcome::Nothing;
        }
        if wanted.is_some_and(|wanted| revision < wanted) {
            self.repeat_later(now, read(PlatformKey::Team(team)));
            return AdoptionOutcome::Stale;
        }
        let parsed = TeamFragment::parse(&format!("teams/{team}"), text);
        match parsed {
            Ok(fragment) => {
                let accepted = AcceptedFragment {
                    team: team.clone(),
                    revision,
                    fragment,
                };
                self.fragments.insert(team, accepted);
                self.adopt_if_complete()
            }
            Err(report) => {
                if let Some(pending) = &mut self.pending {
                    pending.refused.push(team.clone());
                }
                // The tick resolves a root that only waited for this fragment,
                // so that the refusal can be reported now.
                AdoptionOutcome::Refused {
                    key: PlatformKey::Team(team),
                    report,
                }
            }
        }
    }

    fn wanted_revision(&self, team: &String) -> Option<FragmentRevision> {
        self.pending.as_ref()?.document.teams.get(team).copied()
    }

    /// Adopts the pending root document where nothing is missing any more.
    pub fn adopt_if_complete(&mut self) -> AdoptionOutcome {
        let Some(pending) = &self.pending else {
            return AdoptionOutcome::Nothing;
        };
        let complete =
            pending.document.teams.iter().all(|(team, revision)| {
                self.holds(team, *revision) || pending.refused.contains(team)
            });
        if !complete {
            return AdoptionOutcome::Nothing;
        }
        let listed = |team: &String| pending.document.teams.contains_key(team);
        let fragments: Vec<AcceptedFragment> = self
            .fragments
            .iter()
            .filter(|(team, _)| listed(team))
            .map(|(_, accepted)| accepted.clone())
            .collect();
        let resolution = resolve::resolve(&pending.document, pending.version, &fragments);
        self.version = pending.version;
        self.pending = None;
        AdoptionOutcome::Configuration(Box::new(resolution))
    }

    fn take_hosts(
        &mut self,
        now: Timestamp,
        revision: u64,
        text: &str,
        next: &mut Vec<PlatformRequest>,
    ) -> AdoptionOutcome {
        let version = HostListVersion::new(revision);
        if version <= self.hosts.version {
            self.repeat_later(now, watch(PlatformKey::Hosts, self.hosts.version.get()));
            let same = version == self.hosts.version;
            return if same {
                AdoptionOutcome::Nothing
            } else {
                AdoptionOutcome::Stale
            };
        }
        next.push(watch(PlatformKey::Hosts, revision));
        match host_list::parse("hosts", text, version) {
            Ok(hosts) => {
                self.hosts = hosts;
                AdoptionOutcome::Hosts
            }
            Err(report) => AdoptionOutcome::Refused {
                key: PlatformKey::Hosts,
                report,
            },
        }
    }
}

const fn read(key: PlatformKey) -> PlatformRequest {
    PlatformRequest {
        key,
        after: None,
        wait: time::Duration::ZERO,
    }
}

const fn watch(key: PlatformKey, after: u64) -> PlatformRequest {
    PlatformRequest {
        key,
        after: Some(after),
        wait: WATCH_WAIT,
    }
}
