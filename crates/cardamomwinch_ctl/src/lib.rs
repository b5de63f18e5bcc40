//! The command of operators: it checks and compares documents, inspects hosts and
//! stops them.
//!
//! The library runs a command and returns the text to print; the program
//! `cardamomwinchctl` prints it. No command writes to the platform.
//!
//! ```
//! use cardamomwinch_ctl::prelude::*;
//!
//! let outcome = run(&["status".to_owned()]);
//! assert_eq!(outcome.exit, CommandExit::Usage);
//! assert!(outcome.errors.contains("--admin"));
//! ```

pub mod arguments;
pub mod check_command;
pub mod client;
pub mod diff_command;
mod difference_text;
pub mod directory;
pub mod exit;
pub mod host_command;
pub mod identify_command;
pub mod outcome;
mod report_text;
pub mod rpc;
pub mod text_file;
pub mod text_table;

/// What users of this crate need most often.
pub mod prelude {
    pub use crate::arguments::{CommandArguments, OperatorCommand};
    pub use crate::client::{AdministrationClient, ClientError};
    pub use crate::directory::ConfigurationDirectory;
    pub use crate::exit::CommandExit;
    pub use crate::outcome::{CommandOutcome, run};
    pub use crate::text_table::TextTable;
}
