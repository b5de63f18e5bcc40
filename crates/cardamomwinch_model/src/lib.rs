//! A small specification of the core protocol, and an exhaustive search of the
//! states that it can reach.
//!
//! - [`homes`] specifies which host is home of a shard and how a home handles a
//!   request that must not run twice.
//! - [`adoption`] specifies which version a host has in force and where it
//!   sends the packets of a flow.
//! - [`bounded`] has what both consist of.
//! - [`search`] visits every reachable state of a specification and reports a
//!   property that fails, with a shortest trace.
//!
//! Every rule of a specification can be left out by a switch, called a mistake.
//! The search must then find a violation, which shows that the rule is needed.
//!
//! ```
//! use cardamomwinch_model::prelude::*;
//!
//! let bounds = HomeBounds { lease: 2, hand_overs: 0, ..HomeBounds::leases_only() };
//! let sound = HomeSpecification::new(bounds);
//! let report = search::explore(&sound, StateLimit::new(1_000_000)).unwrap();
//! assert!(report.violation.is_none());
//!
//! let unsound = sound.with_mistake(HomeMistake::MuteOmitted);
//! let report = search::explore(&unsound, StateLimit::new(1_000_000)).unwrap();
//! let violation = report.violation.unwrap();
//! assert_eq!(violation.property, HomeProperty::OneHolder);
//! ```

pub mod adoption;
pub mod bounded;
pub mod homes;
pub mod search;

/// The items that most users of the specifications need.
pub mod prelude {
    pub use crate::adoption::{
        AdoptionBounds, AdoptionMistake, AdoptionProperty, AdoptionSpecification, LastChange,
    };
    pub use crate::homes::{HomeBounds, HomeMistake, HomeProperty, HomeSpecification};
    pub use crate::search::{self, SearchReport, Specification, StateLimit};
}
