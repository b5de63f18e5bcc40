//! Reports of a host as text for people.

use std::fmt;

use cardamomwinch_protocol::administration::{
    BackendReport, DiscoveryReport, ExplainReport, FlowsReport, MemberReport, StatusReport,
};

use crate::text_table::{TextTable, or_dash, printable};

const LABEL_WIDTH: usize = 18;

fn write_label(
    formatter: &mut fmt::Formatter<'_>,
    label: &str,
    value: impl fmt::Display,
) -> fmt::Result {
    let value = value.to_string();
    writeln!(formatter, "{label:LABEL_WIDTH$}{}", printable(&value))
}

/// The status of a host.
pub(crate) struct StatusText<'r>(pub(crate) &'r StatusReport);

impl fmt::Display for StatusText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let report = self.0;
        let platform = if report.platform.reachable {
            "reachable"
        } else {
            "not reachable"
        };
        write_label(formatter, "host", &report.host)?;
        write_label(formatter, "domain", &report.domain)?;
        write_label(formatter, "phase", report.phase)?;
        write_label(formatter, "version", or_dash(report.version))?;
        write_label(formatter, "preset", or_dash(report.preset.as_ref()))?;
        write_label(formatter, "host list", or_dash(report.host_list_version))?;
        write_label(formatter, "platform", platform)?;
        write_label(formatter, "stale answers", report.platform.stale_answers)?;
        write_label(formatter, "flows", report.flows)?;
        write_label(formatter, "pending requests", report.pending_requests)?;
        write_label(formatter, "incarnation", report.incarnation)?;
        write_label(
            formatter,
            "uptime",
            format!("{} s", report.uptime_ms / 1000),
        )?;
        if report.refused_fragments.is_empty() {
            return Ok(());
        }
        let mut table = TextTable::new(&["refused team", "revision", "reason"]);
        for refused in &report.refused_fragments {
            table.push(vec![
                refused.team.clone(),
                refused.revision.to_string(),
                refused.reason.clone(),
            ]);
        }
        write!(formatter, "\n{table}")
    }
}

/// The hosts that a host knows.
pub(crate) struct MembersText<'r>(pub(crate) &'r [MemberReport]);

impl fmt::Display for MembersText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = TextTable::new(&[
            "host",
            "domain",
            "published",
            "reachability",
            "heard ms ago",
            "version",
            "incarnation",
        ]);
        for member in self.0 {
            table.push(vec![
                member.host.clone(),
                member.domain.clone(),
                or_dash(member.published_phase),
                member.reachability.to_string(),
                or_dash(member.last_received_ms),
                or_dash(member.configuration_version),
                or_dash(member.incarnation),
            ]);
        }
        table.fmt(formatter)
    }
}

/// The backend servers that a host knows.
pub(crate) struct BackendsText<'r>(pub(crate) &'r [BackendReport]);

impl fmt::Display for BackendsText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = TextTable::new(&[
            "service",
            "backend server",
            "domain",
            "address",
            "phase",
            "weight",
            "health",
            "slots",
            "connections",
            "shard",
            "home host",
            "id",
        ]);
        for backend in self.0 {
            table.push(vec![
                backend.service.clone(),
                backend.backend.clone(),
                backend.domain.clone(),
                backend.address.clone(),
                backend.phase.to_string(),
                backend.weight.to_string(),
                backend.health.to_string(),
                format!("{}/{}", backend.busy_slots, backend.slots),
                backend.connections.to_string(),
                backend.shard.to_string(),
                or_dash(backend.home_host.as_ref()),
                backend.id.clone(),
            ]);
        }
        table.fmt(formatter)
    }
}

/// The flows that a host holds.
pub(crate) struct FlowsText<'r>(pub(crate) &'r FlowsReport);

impl fmt::Display for FlowsText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let report = self.0;
        let mut table = TextTable::new(&["flow", "backend server", "since s"]);
        for flow in &report.flows {
            let seconds = flow.since_ms / 1000;
            table.push(vec![
                flow.flow.clone(),
                flow.backend.clone(),
                seconds.to_string(),
            ]);
        }
        write!(formatter, "{table}")?;
        writeln!(
            formatter,
            "{} of {} flows",
            report.flows.len(),
            report.total
        )
    }
}

/// Where a datagram of a flow would go, and why.
pub(crate) struct ExplainText<'r>(pub(crate) &'r ExplainReport);

impl fmt::Display for ExplainText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let report = self.0;
        write_label(formatter, "service", or_dash(report.service.as_ref()))?;
        write_label(
            formatter,
            "backend server",
            or_dash(report.backend.as_ref()),
        )?;
        write_label(formatter, "home host", or_dash(report.home_host.as_ref()))?;
        write_label(formatter, "reason", &report.reason)?;
        write_label(formatter, "version", or_dash(report.version))?;
        if report.candidates.is_empty() {
            return Ok(());
        }
        write_label(formatter, "one of", report.candidates.join(" "))
    }
}

/// What a forwarding host knows, and from which source.
pub(crate) struct DiscoveryText<'r>(pub(crate) &'r DiscoveryReport);

impl fmt::Display for DiscoveryText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let report = self.0;
        let complete = if report.complete { "yes" } else { "no" };
        let age = format!("{} ms", report.view_age_ms);
        write_label(formatter, "source", &report.source)?;
        write_label(formatter, "age", age)?;
        write_label(formatter, "complete", complete)?;
        write_label(formatter, "version", report.version)?;
        write_label(formatter, "routes", report.routes)?;
        write_label(formatter, "store era", report.store_era)?;
        write_label(formatter, "revision", report.revision)?;
        if !report.evacuated_domains.is_empty() {
            write_label(formatter, "evacuated", report.evacuated_domains.join(" "))?;
        }
        write_label(formatter, "hosts known", report.peers.len())?;
        let mut table = TextTable::new(&["server", "address", "service", "own domain", "phase"]);
        for server in &report.servers {
            let own_domain = if server.own_domain { "yes" } else { "no" };
            table.push(vec![
                server.server.clone(),
                server.address.to_string(),
                server.service.clone(),
                own_domain.to_owned(),
                server.phase.clone(),
            ]);
        }
        write!(formatter, "\n{table}")
    }
}
