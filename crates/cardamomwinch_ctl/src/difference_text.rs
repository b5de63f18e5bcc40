//! A difference between two configurations as lines of a table.

use std::fmt;
use std::time;

use cardamomwinch_configuration::compare::{
    AddressRole, BackendChange, BackendLocation, ConfigurationDifference, ServiceLocation,
    ValueChange,
};
use cardamomwinch_state::prelude::ConfigurationLimits;
use serde::Serialize;

use crate::text_table::{TextTable, or_dash};

/// How dangerous a change is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeSeverity {
    /// The change may cut off or misdirect flows.
    Danger,
    /// The change affects new flows only.
    Change,
}

impl fmt::Display for ChangeSeverity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Danger => "danger",
            Self::Change => "change",
        })
    }
}

/// One change.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct ChangeLine {
    /// How dangerous the change is.
    pub severity: ChangeSeverity,
    /// The service, if the change concerns one.
    pub service: Option<String>,
    /// The backend server, if the change concerns one.
    pub backend: Option<String>,
    /// What changes.
    pub what: &'static str,
    /// The value before.
    pub old: Option<String>,
    /// The value after.
    pub new: Option<String>,
}

impl ChangeLine {
    const fn new(severity: ChangeSeverity, what: &'static str) -> Self {
        Self {
            severity,
            service: None,
            backend: None,
            what,
            old: None,
            new: None,
        }
    }

    fn of_service(mut self, service: &str) -> Self {
        self.service = Some(service.to_owned());
        self
    }

    fn of_backend(mut self, backend: &str) -> Self {
        self.backend = Some(backend.to_owned());
        self
    }

    fn at_service(self, location: &ServiceLocation) -> Self {
        self.of_service(&location.service)
    }

    fn at_backend(self, location: &BackendLocation) -> Self {
        self.of_service(&location.service)
            .of_backend(&location.backend)
    }

    fn before(mut self, old: impl fmt::Display) -> Self {
        self.old = Some(old.to_string());
        self
    }

    fn after(mut self, new: impl fmt::Display) -> Self {
        self.new = Some(new.to_string());
        self
    }

    fn changing<T: fmt::Display>(self, change: &ValueChange<T>) -> Self {
        self.before(&change.old).after(&change.new)
    }
}

/// Returns every change of `difference`, dangers first.
pub(crate) fn change_lines(difference: &ConfigurationDifference) -> Vec<ChangeLine> {
    let mut lines = Vec::new();
    push_general(difference, &mut lines);
    push_services(difference, &mut lines);
    push_backends(difference, &mut lines);
    push_shares(difference, &mut lines);
    // The sort is stable, so changes of the same severity keep their order.
    lines.sort_by_key(|line| line.severity);
    lines
}

fn push_general(difference: &ConfigurationDifference, lines: &mut Vec<ChangeLine>) {
    use ChangeSeverity::{Change, Danger};
    for reassigned in &difference.addresses_reassigned {
        let what = match reassigned.role {
            AddressRole::Service => "service address changes its service",
            AddressRole::BackendServer => "backend server address changes its service",
        };
        let service = &reassigned.service;
        let line = ChangeLine::new(Danger, what).of_service(&service.old);
        let old = format!("{} of {}", reassigned.address, service.old);
        let new = format!("{} of {}", reassigned.address, service.new);
        lines.push(line.before(old).after(new));
    }
    if let Some(preset) = &difference.preset {
        lines.push(ChangeLine::new(Change, "preset").changing(preset));
    }
    if let Some(limits) = &difference.limits {
        push_limits(limits, lines);
    }
}

fn push_limits(limits: &ValueChange<ConfigurationLimits>, lines: &mut Vec<ChangeLine>) {
    use ChangeSeverity::{Change, Danger};
    let ValueChange { old, new } = limits;
    let mut push = |severity, what, old: u128, new: u128| {
        if old != new {
            lines.push(ChangeLine::new(severity, what).before(old).after(new));
        }
    };
    let millis = |duration: time::Duration| duration.as_millis();
    push(
        Change,
        "limit request_lifetime_ms",
        millis(old.request_lifetime),
        millis(new.request_lifetime),
    );
    push(
        Change,
        "limit clock_skew_ms",
        millis(old.clock_skew),
        millis(new.clock_skew),
    );
    push(
        Change,
        "limit home_lease_ms",
        millis(old.home_lease),
        millis(new.home_lease),
    );
    // Hosts compute the shard and the hash of a flow from these limits. While hosts
    // use different values, they look for the same flow in different places.
    push(
        Danger,
        "limit shards_per_domain",
        old.shards_per_domain.into(),
        new.shards_per_domain.into(),
    );
    push(
        Danger,
        "limit flow_hash_seed",
        old.flow_hash_seed.into(),
        new.flow_hash_seed.into(),
    );
    push(
        Change,
        "limit retry_percent",
        old.retry_percent.into(),
        new.retry_percent.into(),
    );
}

fn push_services(difference: &ConfigurationDifference, lines: &mut Vec<ChangeLine>) {
    use ChangeSeverity::{Change, Danger};
    for removed in &difference.services_removed {
        let line = ChangeLine::new(Danger, "service removed").at_service(removed);
        lines.push(line.before(removed.address));
    }
    for moved in &difference.services_moved {
        let line = ChangeLine::new(Danger, "service moved").of_service(&moved.service);
        lines.push(line.changing(&moved.address));
    }
    for service in &difference.services_without_backends {
        let what = "no backend server takes new flows";
        lines.push(ChangeLine::new(Danger, what).of_service(service));
    }
    for added in &difference.services_added {
        let line = ChangeLine::new(Change, "service added").at_service(added);
        lines.push(line.after(added.address));
    }
}

fn push_backends(difference: &ConfigurationDifference, lines: &mut Vec<ChangeLine>) {
    use ChangeSeverity::{Change, Danger};
    for moved in &difference.backends_moved {
        let line = ChangeLine::new(Danger, "backend server moved").of_service(&moved.service);
        lines.push(line.of_backend(&moved.backend).changing(&moved.address));
    }
    for removed in &difference.backends_removed {
        let line = if removed.accepts_new_flows {
            ChangeLine::new(Danger, "backend server removed without draining")
        } else {
            ChangeLine::new(Change, "backend server removed")
        };
        lines.push(
            line.at_backend(&removed.location)
                .before(removed.location.address),
        );
    }
    for added in &difference.backends_added {
        let line = ChangeLine::new(Change, "backend server added").at_backend(added);
        lines.push(line.after(added.address));
    }
    for change in &difference.backends_changed {
        push_backend_change(change, lines);
    }
}

fn push_backend_change(change: &BackendChange, lines: &mut Vec<ChangeLine>) {
    let line = |what| {
        let line = ChangeLine::new(ChangeSeverity::Change, what).of_service(&change.service);
        line.of_backend(&change.backend)
    };
    let phase = change
        .phase
        .iter()
        .map(|phase| line("phase").changing(phase));
    let weight = change
        .weight
        .iter()
        .map(|weight| line("weight").changing(weight));
    let slots = change
        .slots
        .iter()
        .map(|slots| line("slots").changing(slots));
    let connections = change.connections.iter();
    let connections = connections.map(|connections| line("connections").changing(connections));
    lines.extend(phase.chain(weight).chain(slots).chain(connections));
    if change.changes_domain {
        lines.push(line("failure domain changes"));
    }
}

fn push_shares(difference: &ConfigurationDifference, lines: &mut Vec<ChangeLine>) {
    for service in &difference.shares {
        for backend in &service.backends {
            let line = ChangeLine::new(ChangeSeverity::Change, "share of new flows");
            let line = line
                .of_service(&service.service)
                .of_backend(&backend.backend);
            lines.push(line.changing(&backend.share));
        }
    }
}

/// Returns `lines` as a table.
pub(crate) fn change_table(lines: &[ChangeLine]) -> TextTable {
    let mut table = TextTable::new(&[
        "severity",
        "what",
        "service",
        "backend server",
        "old",
        "new",
    ]);
    for line in lines {
        table.push(vec![
            line.severity.to_string(),
            line.what.to_owned(),
            or_dash(line.service.as_ref()),
            or_dash(line.backend.as_ref()),
            or_dash(line.old.as_ref()),
            or_dash(line.new.as_ref()),
        ]);
    }
    table
}
