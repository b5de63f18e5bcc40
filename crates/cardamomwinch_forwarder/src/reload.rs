//! Reloads the settings on a signal, or when the file has changed.

use std::fs;
use std::io;
use std::path;
use std::time;

use cardamomwinch_configuration::check::CheckReport;
use cardamomwinch_configuration::prelude::ForwarderSettings;
use cardamomwinch_daemon::log_level;
use snafu::{ResultExt, Snafu};

/// Why settings cannot be used.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ReadError {
    /// The file cannot be read.
    #[snafu(display("cannot read {}", path.display()))]
    Read {
        /// The file.
        path: path::PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The settings are not valid.
    #[snafu(display("{report}"))]
    Invalid {
        /// All errors in the file.
        report: CheckReport,
    },
}

/// Reads the settings in the file `path`.
///
/// # Errors
/// Fails if the file cannot be read or is not valid.
pub fn read(path: &path::Path) -> Result<ForwarderSettings, ReadError> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let name = path.display().to_string();
    ForwarderSettings::parse(&name, &text).map_err(|report| ReadError::Invalid { report })
}

/// The settings in force, and the file that they were read from.
#[derive(Debug)]
pub struct SettingsFile {
    path: path::PathBuf,
    settings: ForwarderSettings,
    modified: Option<time::SystemTime>,
}

impl SettingsFile {
    /// Starts with `settings`, which were read from the file `path`.
    pub fn new(path: path::PathBuf, settings: ForwarderSettings) -> Self {
        let modified = modification_time(&path);
        Self {
            path,
            settings,
            modified,
        }
    }

    /// Reloads the file if it has changed since it was read.
    pub fn reload_if_changed(&mut self) {
        if modification_time(&self.path) != self.modified {
            self.reload();
        }
    }

    /// Reloads the file. Invalid settings are ignored, because a serving host must not stop
    /// because of a mistake in the file.
    pub fn reload(&mut self) {
        self.modified = modification_time(&self.path);
        match read(&self.path) {
            Ok(settings) => self.apply(settings),
            Err(error) => log::error!("the settings are not reloaded: {error}"),
        }
    }

    fn apply(&mut self, settings: ForwarderSettings) {
        log::set_max_level(log_level::level_filter(settings.log.level));
        let with_same_log = ForwarderSettings {
            log: self.settings.log,
            ..settings.clone()
        };
        if with_same_log == self.settings {
            log::info!("settings were reloaded; level {:?}", settings.log.level);
        } else {
            log::warn!("settings were reloaded; changes other than the log level need a restart");
        }
        self.settings = settings;
    }
}

fn modification_time(path: &path::Path) -> Option<time::SystemTime> {
    let modified = fs::metadata(path).and_then(|metadata| metadata.modified());
    match modified {
        Ok(at) => Some(at),
        Err(error) => {
            log::warn!(
                "cannot find out when {} was changed: {error}",
                path.display()
            );
            None
        }
    }
}
