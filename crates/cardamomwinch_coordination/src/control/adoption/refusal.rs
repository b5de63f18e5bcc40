//! Documents that are published but not in force.

use cardamomwinch_configuration::check::CheckReport;
use cardamomwinch_configuration::resolve::FragmentRefusal;
use cardamomwinch_state::prelude::FragmentRevision;
use snafu::Snafu;

use crate::control::event::PlatformKey;

/// Why a document is not in force.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
pub enum RefusalReason {
    /// The document has errors of its own.
    #[snafu(display("{report}"))]
    Malformed {
        /// The errors.
        report: CheckReport,
    },
    /// The fragment conflicts with that of another team.
    #[snafu(display("{refusal}"))]
    Conflict {
        /// The conflict.
        refusal: FragmentRefusal,
    },
    /// The root document lists a revision that the platform does not have.
    #[snafu(display("the platform has no fragment of revision {listed} or above"))]
    Missing {
        /// The revision that the root document lists.
        listed: FragmentRevision,
    },
}

/// A document that is not in force. The document that was in force under its key
/// before stays in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedDocument {
    /// The key of the document.
    pub key: PlatformKey,
    /// Its revision, or the listed revision if the document is missing.
    pub revision: u64,
    /// Why it is refused.
    pub reason: RefusalReason,
}
