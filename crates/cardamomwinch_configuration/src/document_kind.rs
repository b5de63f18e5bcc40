//! The kinds of documents, and a guess at the kind of a text.

use std::fmt;
use std::str;

use cardamomwinch_state::prelude::HostListVersion;
use snafu::Snafu;

use crate::check::CheckReport;
use crate::document;
use crate::forwarder_settings::ForwarderSettings;
use crate::fragment::TeamFragment;
use crate::host_list;
use crate::keys;
use crate::root::RootDocument;
use crate::settings::HostSettings;

/// A kind of document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DocumentKind {
    /// The settings of a host.
    Settings,
    /// The settings of a forwarding host.
    Forwarder,
    /// The root document.
    Root,
    /// A team's fragment.
    Fragment,
    /// The list of hosts.
    Hosts,
}

/// Text that is not the name of a kind of document.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("unknown kind {found:?}, allowed are settings, forwarder, root, fragment, hosts"))]
pub struct KindParseError {
    /// The rejected text.
    pub found: String,
}

impl fmt::Display for DocumentKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::Settings => "settings",
            Self::Forwarder => "forwarder",
            Self::Root => "root",
            Self::Fragment => "fragment",
            Self::Hosts => "hosts",
        })
    }
}

impl str::FromStr for DocumentKind {
    type Err = KindParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let kind = Self::ALL.into_iter().find(|kind| kind.to_string() == text);
        kind.ok_or_else(|| KindParseError {
            found: text.to_owned(),
        })
    }
}

impl DocumentKind {
    /// Every kind.
    pub const ALL: [Self; 5] = [
        Self::Settings,
        Self::Forwarder,
        Self::Root,
        Self::Fragment,
        Self::Hosts,
    ];

    /// The keys at the top level of such a document.
    pub const fn keys(self) -> &'static [&'static str] {
        match self {
            Self::Settings => keys::SETTINGS,
            Self::Forwarder => keys::FORWARDER,
            Self::Root => keys::ROOT,
            Self::Fragment => keys::FRAGMENT,
            Self::Hosts => keys::HOST_LIST,
        }
    }

    /// Returns the kind that shares the most top-level keys with `text`, which
    /// came from `file`, or `None` if no kind shares any.
    ///
    /// # Errors
    /// Reports a text that is not an object in JSON with comments.
    pub fn guess(file: &str, text: &str) -> Result<Option<Self>, CheckReport> {
        document::read_document(file, text, |_, object| {
            let known = |kind: Self| {
                let names = object.names();
                names.filter(|name| kind.keys().contains(name)).count()
            };
            let best = Self::ALL.into_iter().max_by_key(|kind| known(*kind));
            Some(best.filter(|kind| known(*kind) > 0))
        })
    }

    /// Checks `text`, which came from `file`, as a document of this kind.
    ///
    /// # Errors
    /// Reports every error of the document.
    pub fn check(self, file: &str, text: &str) -> Result<(), CheckReport> {
        match self {
            Self::Settings => HostSettings::parse(file, text).map(drop),
            Self::Forwarder => ForwarderSettings::parse(file, text).map(drop),
            Self::Root => RootDocument::parse(file, text).map(drop),
            Self::Fragment => TeamFragment::parse(file, text).map(drop),
            Self::Hosts => host_list::parse(file, text, HostListVersion::ZERO).map(drop),
        }
    }
}
