//! The operators' command: check, compare, inspect and stop.
