//! Settings, team fragments and presets: parsing, checking and comparing.
//!
//! Documents are JSON with comments. Each is checked as a whole: the report
//! holds every error with line, column, key, what was found and what is
//! allowed.
//!
//! ```
//! use cardamomwinch_configuration::prelude::*;
//!
//! let text = "{\n  // Two keys are wrong here.\n  \"preset\": 1,\n  \"team\": {}\n}";
//! let report = RootDocument::parse("root.jsonc", text).unwrap_err();
//! assert_eq!(
//!     report.to_string().lines().next(),
//!     Some("root.jsonc:1:1: teams: the key is required and missing"),
//! );
//! assert_eq!(report.errors.len(), 3);
//! ```

pub mod check;
mod checker;
mod claims;
pub mod collision;
pub mod compare;
pub mod document;
pub mod document_kind;
pub mod flow_share;
pub mod forwarder_settings;
pub mod fragment;
pub mod host_list;
pub mod keys;
mod nearest;
mod node;
pub mod preset;
pub mod problem;
pub mod resolve;
pub mod root;
pub mod rules;
pub mod settings;
mod taken;
pub mod values;

/// The items that most users of this crate need.
pub mod prelude {
    pub use crate::check::{CheckError, CheckReport};
    pub use crate::compare::{ConfigurationDifference, ValueChange, compare};
    pub use crate::document_kind::DocumentKind;
    pub use crate::flow_share::FlowShare;
    pub use crate::forwarder_settings::{ForwarderSettings, LoadSettings};
    pub use crate::fragment::{BackendDefinition, ServiceDefinition, TeamFragment};
    pub use crate::host_list;
    pub use crate::preset::{BackendOverride, PresetOverrides};
    pub use crate::problem::{AddressFault, CheckProblem, ReferenceKind, ValueKind};
    pub use crate::resolve::{
        AcceptedFragment, FragmentRefusal, RefusedFragment, Resolution, resolve,
    };
    pub use crate::root::RootDocument;
    pub use crate::settings::{
        BoundSettings, HostSettings, LogLevel, LogSettings, PlatformSettings,
    };
}
