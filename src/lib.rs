//! cardamomwinch.
