//! Documents as this host holds them: the published text, its parsed content, and
//! the stamp that orders it.

use std::sync;

use cardamomwinch_configuration::check::CheckReport;
use cardamomwinch_configuration::prelude::{RootDocument, TeamFragment};
use cardamomwinch_protocol::peer::configuration::{DocumentStamp, PublishedText};

/// The first eight bytes of the BLAKE3 hash of `bytes`.
pub(crate) fn content_hash(bytes: &[u8]) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(bytes).as_bytes()[..8]);
    u64::from_le_bytes(first)
}

fn stamp(published: &PublishedText) -> DocumentStamp {
    DocumentStamp {
        revision: published.revision,
        hash: content_hash(published.text.as_bytes()),
    }
}

/// A root document without errors.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldRoot {
    /// Orders root documents.
    pub stamp: DocumentStamp,
    /// The published text.
    pub published: PublishedText,
    /// The parsed document.
    pub document: RootDocument,
}

impl HeldRoot {
    /// Parses a published root document.
    ///
    /// # Errors
    /// Reports every error of the document.
    pub fn read(published: PublishedText) -> Result<Self, CheckReport> {
        let document = RootDocument::parse("root", &published.text)?;
        Ok(Self {
            stamp: stamp(&published),
            published,
            document,
        })
    }
}

/// A fragment of a team, with or without errors. Cheap to clone.
#[derive(Debug, Clone)]
pub struct HeldFragment {
    /// Orders the fragments of a team.
    pub stamp: DocumentStamp,
    /// The published text.
    pub published: sync::Arc<PublishedText>,
    /// The parsed fragment, or its errors.
    pub content: sync::Arc<Result<TeamFragment, CheckReport>>,
}

impl HeldFragment {
    /// Parses a published fragment of `team`.
    pub fn read(team: &str, published: PublishedText) -> Self {
        let content = TeamFragment::parse(&format!("teams/{team}"), &published.text);
        Self {
            stamp: stamp(&published),
            published: sync::Arc::new(published),
            content: sync::Arc::new(content),
        }
    }

    /// Whether the fragment was parsed without errors.
    pub fn is_well_formed(&self) -> bool {
        self.content.is_ok()
    }
}

impl PartialEq for HeldFragment {
    fn eq(&self, other: &Self) -> bool {
        self.stamp == other.stamp
    }
}

impl Eq for HeldFragment {}
