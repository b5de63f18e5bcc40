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
    /// The operating system refuses.
    #[snafu(display("{}: {source}", file.display()))]
    Unreadable {
        /// The file.
        file: path::PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The bytes are not UTF-8.
    #[snafu(display("{}: not UTF-8 text: {source}", file.display()))]
    NotText {
        /// The file.
        file: path::PathBuf,
        /// Where.
        source: string::FromUtf8Error,
    },
}

/// The text in `file`.
///
/// # Errors
/// Fails where the file can't be read or is not UTF-8.
pub fn read(file: &path::Path) -> Result<String, TextFileError> {
    let bytes = fs::read(file).context(UnreadableSnafu { file })?;
    String::from_utf8(bytes).context(NotTextSnafu { file })
}
