//! Reads text files.

use std::fs;
use std::io;
use std::path;
use std::string;

use snafu::{ResultExt, Snafu};

/// A file that can't be read as text.
#[derive(Debug)]
#[derive(Snafu)]
pub enum TextFileError {
    /// The operating system can't read the file.
    #[snafu(display("{}: {source}", file.display()))]
    Unreadable {
        /// The file.
        file: path::PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The bytes are not UTF-8.
    #[snafu(display("{}: not UTF-8 text: {source}", file.display()))]
    NotText {
        /// The file.
        file: path::PathBuf,
        /// The position of the first invalid byte.
        source: string::FromUtf8Error,
    },
}

/// Returns the text in `file`.
///
/// # Errors
/// Fails if the file can't be read or is not UTF-8.
pub fn read(file: &path::Path) -> Result<String, TextFileError> {
    let bytes = fs::read(file).context(UnreadableSnafu { file })?;
    String::from_utf8(bytes).context(NotTextSnafu { file })
}
