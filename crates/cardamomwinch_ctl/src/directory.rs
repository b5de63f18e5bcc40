//! A configuration in files: `root.jsonc` and `teams/*.jsonc`.

use std::fs;
use std::io;
use std::path;

use cardamomwinch_configuration::prelude::{
    AcceptedFragment, CheckReport, Resolution, RootDocument, TeamFragment, resolve,
};
use cardamomwinch_state::prelude::{ConfigurationVersion, FragmentRevision};
use snafu::{ResultExt, Snafu};

use crate::text_file::{self, TextFileError};

/// The name of the root document.
pub const ROOT_FILE: &str = "root.jsonc";
/// The name of the directory with the fragments.
pub const TEAMS_DIRECTORY: &str = "teams";
/// The extension of the file of a fragment.
pub const FRAGMENT_EXTENSION: &str = "jsonc";

/// Why a directory can't be read as a configuration.
#[derive(Debug)]
#[derive(Snafu)]
pub enum DirectoryFailure {
    /// The directory of the fragments can't be listed.
    #[snafu(display("{}: {source}", directory.display()))]
    Unlistable {
        /// The directory.
        directory: path::PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A file can't be read.
    #[snafu(transparent)]
    File {
        /// Why the file can't be read.
        source: TextFileError,
    },
    /// A document has errors.
    #[snafu(transparent)]
    Document {
        /// The errors.
        source: CheckReport,
    },
    /// The root document lists a team that has no fragment.
    #[snafu(display("{}: no fragment of the listed team {team}", directory.display()))]
    MissingFragment {
        /// The directory.
        directory: path::PathBuf,
        /// The team.
        team: String,
    },
}

/// The root document and the fragments of a directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigurationDirectory {
    root: RootDocument,
    fragments: Vec<AcceptedFragment>,
}

impl ConfigurationDirectory {
    /// Reads `directory`.
    ///
    /// # Errors
    /// Fails with all errors found: those of the files, or if there are none, the missing
    /// fragments.
    pub fn read(directory: &path::Path) -> Result<Self, Vec<DirectoryFailure>> {
        let mut failures = Vec::new();
        let root = read_document(&directory.join(ROOT_FILE), RootDocument::parse);
        let root = root.map_err(|failure| failures.push(failure)).ok();
        let fragments = read_fragments(&directory.join(TEAMS_DIRECTORY), &mut failures);
        let Some(root) = root.filter(|_| failures.is_empty()) else {
            return Err(failures);
        };
        let fragments: Vec<_> = fragments
            .into_iter()
            .map(|fragment| with_revision(&root, fragment))
            .collect();
        let missing = missing_fragments(directory, &root, &fragments);
        if missing.is_empty() {
            Ok(Self { root, fragments })
        } else {
            Err(missing)
        }
    }

    /// Returns the configuration that would be in force. Its version is zero, because
    /// the files contain no version.
    pub fn resolve(&self) -> Resolution {
        resolve(&self.root, ConfigurationVersion::ZERO, &self.fragments)
    }

    /// Whether a fragment mentions the preset in force. A preset that no fragment
    /// mentions changes nothing, and its name may be misspelt.
    pub fn mentions_preset(&self) -> bool {
        let mut fragments = self.fragments.iter();
        fragments.any(|held| held.fragment.presets.contains_key(&self.root.preset))
    }
}

fn read_document<T>(
    file: &path::Path,
    parse: impl FnOnce(&str, &str) -> Result<T, CheckReport>,
) -> Result<T, DirectoryFailure> {
    let text = text_file::read(file)?;
    Ok(parse(&file.display().to_string(), &text)?)
}

fn read_fragments(
    directory: &path::Path,
    failures: &mut Vec<DirectoryFailure>,
) -> Vec<TeamFragment> {
    let files = match list_fragments(directory).context(UnlistableSnafu { directory }) {
        Ok(files) => files,
        Err(failure) => {
            failures.push(failure);
            return Vec::new();
        }
    };
    let mut fragments = Vec::new();
    for file in files {
        match read_document(&file, TeamFragment::parse) {
            Ok(fragment) => fragments.push(fragment),
            Err(failure) => failures.push(failure),
        }
    }
    fragments
}

/// Returns the files of the fragments in `directory`, sorted by name so that errors are
/// always printed in the same order.
fn list_fragments(directory: &path::Path) -> io::Result<Vec<path::PathBuf>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(directory)? {
        let file = entry?.path();
        if file
            .extension()
            .is_some_and(|found| found == FRAGMENT_EXTENSION)
        {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}

/// Adds the revision that the root document lists for the team. If the root document
/// does not list the team, the revision does not matter: the fragment is refused when
/// the fragments are resolved.
fn with_revision(root: &RootDocument, fragment: TeamFragment) -> AcceptedFragment {
    let revision = root.teams.get(&fragment.team).copied();
    AcceptedFragment {
        team: fragment.team.clone(),
        revision: revision.unwrap_or(FragmentRevision::ZERO),
        fragment,
    }
}

fn missing_fragments(
    directory: &path::Path,
    root: &RootDocument,
    fragments: &[AcceptedFragment],
) -> Vec<DirectoryFailure> {
    let present = |team: &String| fragments.iter().any(|held| held.team == *team);
    let missing = root.teams.keys().filter(|team| !present(team));
    let failures = missing.map(|team| DirectoryFailure::MissingFragment {
        directory: directory.into(),
        team: team.clone(),
    });
    failures.collect()
}
