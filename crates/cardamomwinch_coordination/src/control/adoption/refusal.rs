//! Documents that are not in force although the platform publishes them.

use cardamomwinch_configuration::check::CheckReport;
use cardamomwinch_configuration::resolve::FragmentRefusal;
use cardamomwinch_state::prelude::FragmentRevision;
use snafu::Snafu;

use crate::control::event::PlatformKey;

/// Why a document is not in force.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
pub enum RefusalReason {
    /// It has errors of its own.
    #[snafu(display("{report}"))]
    Malformed {
        /// What is wrong with it.
        report: CheckReport,
    },
    /// It clashes with the fragment of another team.
    #[snafu(display("{refusal}"))]
    Conflict {
        /// The clash.
        refusal: FragmentRefusal,
    },
    /// The root document lists a revision that the platform does not give.
    #[snafu(display("the platform gives no fragment of revision {listed} or above"))]
    Missing {
        /// The revision that the root document lists.
        listed: FragmentRevision,
    },
}

/// A document that is not in force, and why. What was in force under its key
/// before stays in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedDocument {
    /// The key that holds it.
    pub key: PlatformKey,
    /// Its revision; the revision listed, where it is missing.
    pub revision: u64,
    /// Why.
    pub reason: RefusalReason,
}
