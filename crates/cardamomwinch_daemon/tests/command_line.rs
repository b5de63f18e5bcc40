//! The command line of the daemon, run as a process.
#![allow(clippy::unwrap_used, missing_docs)]

use std::env;
use std::fs;
use std::process;

use yare::parameterized;

fn run(options: &[&str]) -> process::Output {
    process::Command::new(env!("CARGO_BIN_EXE_cardamomwinchd"))
        .args(options)
        .output()
        .unwrap()
}

#[parameterized(
    help = { &["--help"], 0, "Usage: cardamomwinchd" },
    version = { &["--version"], 0, "cardamomwinchd 0." },
)]
fn help_and_version_are_printed_to_standard_output(options: &[&str], code: i32, text: &str) {
    let output = run(options);
    assert_eq!(output.status.code(), Some(code));
    assert!(String::from_utf8(output.stdout).unwrap().contains(text));
}

#[parameterized(
    no_settings = { &[], "--settings FILE is required" },
    unknown_option = { &["--nothing"], "nothing" },
    unexpected_argument = { &["--settings", "a", "b"], "unexpected argument \"b\"" },
)]
fn an_invalid_command_line_is_a_usage_error(options: &[&str], text: &str) {
    let output = run(options);
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8(output.stderr).unwrap();
    assert!(errors.contains(text), "{errors}");
}

/// An operator mistypes one key of the settings and omits another. The daemon must report both
/// errors, with line and column, instead of only the first.
#[test]
fn every_error_of_the_settings_is_reported_with_line_and_column() {
    let name = format!("cardamomwinchd-{}.jsonc", process::id());
    let file = env::temp_dir().join(name);
    fs::write(
        &file,
        "{\n  // the name\n  \"host\": \"a\",\n  \"hots\": 1\n}",
    )
    .unwrap();
    let output = run(&["--settings", file.to_str().unwrap()]);
    fs::remove_file(&file).unwrap();
    assert_eq!(output.status.code(), Some(3));
    let errors = String::from_utf8(output.stderr).unwrap();
    assert!(errors.contains(":4:3: hots:"), "{errors}");
    assert!(errors.contains("domain"), "{errors}");
}
