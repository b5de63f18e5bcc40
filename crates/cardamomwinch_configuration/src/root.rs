//! The root document: the preset in force, the revision of each team's
//! fragment, and the limits that all hosts apply alike. The revision under
//! which the platform stores it is the version of the configuration.

use cardamomwinch_state::prelude::{ConfigurationLimits, FragmentRevision, SortedVector};

use crate::check::CheckReport;
use crate::checker::DocumentChecker;
use crate::document;
use crate::keys;
use crate::node::{ObjectNode, ValueNode};
use crate::problem::CheckProblem;
use crate::rules;
use crate::values;

/// The root document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RootDocument {
    /// The name of the preset in force.
    pub preset: String,
    /// The revision of each team's fragment, by the name of the team.
    pub teams: SortedVector<String, FragmentRevision>,
    /// Limits that all hosts apply alike.
    pub limits: ConfigurationLimits,
}

impl RootDocument {
    /// Reads the root document in `text`, which came from `file`.
    ///
    /// # Errors
    /// Reports every error of the document.
    pub fn parse(file: &str, text: &str) -> Result<Self, CheckReport> {
        document::read_document(file, text, Self::read)
    }

    fn read(checker: &mut DocumentChecker<'_>, object: &ObjectNode<'_>) -> Option<Self> {
        object.check_keys(checker, keys::ROOT);
        let preset = object.required(checker, "preset", values::name);
        let teams = object.required(checker, "teams", read_teams);
        let limits = ConfigurationLimits::default();
        let limits = object.optional(checker, "limits", limits, read_limits);
        Some(Self {
            preset: preset?,
            teams: teams?,
            limits: limits?,
        })
    }
}

fn read_teams(
    checker: &mut DocumentChecker<'_>,
    node: &ValueNode<'_>,
) -> Option<SortedVector<String, FragmentRevision>> {
    let object = node.object(checker)?;
    let entries = object.named_entries(checker);
    let teams = entries.iter().filter_map(|entry| {
        let revision = values::whole_number(checker, &entry.node, 0, u64::MAX)?;
        Some((entry.name.to_owned(), FragmentRevision::new(revision)))
    });
    Some(teams.collect())
}

fn read_limits(
    checker: &mut DocumentChecker<'_>,
    node: &ValueNode<'_>,
) -> Option<ConfigurationLimits> {
    let object = node.object(checker)?;
    object.check_keys(checker, keys::LIMITS);
    let request_lifetime = rules::REQUEST_LIFETIME.read_millis(checker, &object);
    let clock_skew = rules::CLOCK_SKEW.read_millis(checker, &object);
    let home_lease = rules::HOME_LEASE.read_millis(checker, &object);
    let shards_per_domain = rules::SHARDS_PER_DOMAIN.read(checker, &object);
    let flow_hash_seed = rules::FLOW_HASH_SEED.read(checker, &object);
    let retry_percent = rules::RETRY_PERCENT.read_u32(checker, &object);
    let limits = ConfigurationLimits {
        request_lifetime: request_lifetime?,
        clock_skew: clock_skew?,
        home_lease: home_lease?,
        shards_per_domain: shards_per_domain?.try_into().ok()?,
        flow_hash_seed: flow_hash_seed?,
        retry_percent: retry_percent?,
    };
    check_lease(checker, &object, &limits)?;
    Some(limits)
}

/// Checks that the lease is longer than the clock skew. Otherwise a lease could
/// end by one host's clock before it begins by another's, and no home host
/// could ever act.
fn check_lease(
    checker: &mut DocumentChecker<'_>,
    object: &ObjectNode<'_>,
    limits: &ConfigurationLimits,
) -> Option<()> {
    if limits.home_lease > limits.clock_skew {
        return Some(());
    }
    let problem = CheckProblem::NotAbove {
        found: limits.home_lease.as_millis() as u64,
        limit: limits.clock_skew.as_millis() as u64,
        other: rules::CLOCK_SKEW.key,
    };
    let lease = object.get(rules::HOME_LEASE.key);
    match lease.or_else(|| object.get(rules::CLOCK_SKEW.key)) {
        Some(node) => node.report(checker, problem),
        None => checker.report(object.start(), &object.path, problem),
    }
    None
}
