//! Converts the log level of the settings to that of the log library.

use cardamomwinch_configuration::settings::LogLevel;
use log::LevelFilter;

/// The level filter of the log library for `level`.
pub const fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Off => LevelFilter::Off,
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}
