//! The commands without a host (`check`, `diff` and `id`), run as a process.
#![allow(clippy::unwrap_used, missing_docs)]

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use yare::parameterized;

const FRAGMENT: &str = r#"{"team": "search", "services": {"benchmark-desk": {"address": "127.0.0.1:7001", "backends": {
  "bd-1": {"domain": "bud-angyal", "address": "127.0.0.1:9001"},
  "bd-2": {"domain": "bud-csepel", "address": "127.0.0.1:9002"}}}},
  "presets": {"ordinary": {}, "deadline-peak": {"benchmark-desk": {"bd-2": {"weight": 300}}}}}"#;
const ROOT: &str = r#"{"preset": "ordinary", "teams": {"search": 1}}"#;

/// Creates an empty directory for the test `name`.
fn directory(name: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&directory);
    fs::create_dir_all(&directory).unwrap();
    directory
}

fn write(directory: &Path, file: &str, text: &str) {
    let file = directory.join(file);
    fs::create_dir_all(file.parent().unwrap()).unwrap();
    fs::write(file, text).unwrap();
}

fn run(directory: &Path, arguments: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_cardamomwinchctl");
    Command::new(program)
        .current_dir(directory)
        .args(arguments)
        .output()
        .unwrap()
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap()
}

#[track_caller]
fn expect(output: &Output, code: i32, expected: &str) {
    assert_eq!(
        text(&output.stdout),
        expected,
        "errors: {}",
        text(&output.stderr)
    );
    assert_eq!(output.status.code(), Some(code));
}

#[parameterized(
    good = { "good", FRAGMENT, &["check", "f"], 0, "f: fragment: no error\n" },
    good_root = { "good_root", ROOT, &["check", "f"], 0, "f: root: no error\n" },
    broken = { "broken", "{\"hosts\": {\n  \"h 1\": 3}}", &["check", "f"], 1,
        "f:2:3: hosts.h 1: found name \"h 1\", allowed are 1 to 64 ASCII letters, digits, '-' and '_'\nf:2:10: hosts.h 1: found a number, allowed is an object\n" },
    syntax = { "syntax", "{\n  \"preset\": }", &["check", "f"], 1,
        "f:2:13: .: not JSON with comments: Unexpected close brace\n" },
    kind_given = { "kind_given", "{}", &["check", "--kind", "hosts", "f"], 1,
        "f:1:1: hosts: the key is required and missing\n" },
    kind_unknown = { "kind_unknown", "{}", &["check", "f"], 1,
        "f: no key tells the kind of the document; give it by --kind\n" },
    one_of_two = { "one_of_two", ROOT, &["check", "f", "absent"], 1,
        "f: root: no error\nabsent: No such file or directory (os error 2)\n" },
    json = { "json", "{\"preset\": 1, \"teams\": {}}", &["check", "--json", "f"], 1,
        "[\n  {\n    \"file\": \"f\",\n    \"kind\": null,\n    \"passed\": false,\n    \"failure\": null,\n    \"errors\": [\n      {\n        \"line\": 1,\n        \"column\": 12,\n        \"key\": \"preset\",\n        \"problem\": \"found a number, allowed is a string\"\n      }\n    ]\n  }\n]\n" },
)]
fn check_prints_each_error(
    name: &str,
    document: &str,
    arguments: &[&str],
    code: i32,
    expected: &str,
) {
    let directory = directory(name);
    write(&directory, "f", document);
    expect(&run(&directory, arguments), code, expected);
}

#[test]
fn text_that_is_not_utf8_is_refused() {
    let directory = directory("not_utf8");
    fs::write(directory.join("f"), [b'{', 0xff]).unwrap();
    let output = run(&directory, &["check", "f"]);
    assert!(text(&output.stdout).starts_with("f: not UTF-8 text"));
    assert_eq!(output.status.code(), Some(1));
}

/// Writes the directories `old` and `new`, the latter with the given root document and
/// fragment.
fn configurations(name: &str, new_root: &str, new_fragment: &str) -> PathBuf {
    let directory = directory(name);
    write(&directory, "old/root.jsonc", ROOT);
    write(&directory, "old/teams/search.jsonc", FRAGMENT);
    write(&directory, "new/root.jsonc", new_root);
    write(&directory, "new/teams/search.jsonc", new_fragment);
    directory
}

#[test]
fn a_preset_moves_shares_of_new_flows() {
    let root = ROOT.replace("ordinary", "deadline-peak");
    let directory = configurations("preset", &root, FRAGMENT);
    let expected = "\
SEVERITY  WHAT                SERVICE         BACKEND SERVER  OLD       NEW
change    preset              -               -               ordinary  deadline-peak
change    weight              benchmark-desk  bd-2            100       300
change    share of new flows  benchmark-desk  bd-1            50.00%    25.00%
change    share of new flows  benchmark-desk  bd-2            50.00%    75.00%
";
    expect(&run(&directory, &["diff", "old", "new"]), 0, expected);
}

#[test]
fn equal_directories_change_nothing() {
    let directory = configurations("equal", ROOT, FRAGMENT);
    expect(
        &run(&directory, &["diff", "old", "new"]),
        0,
        "nothing in force would change\n",
    );
}

#[test]
fn an_unmentioned_preset_is_noted() {
    let root = ROOT.replace("ordinary", "ordinry");
    let directory = configurations("unmentioned", &root, FRAGMENT);
    let output = run(&directory, &["diff", "old", "new"]);
    assert!(text(&output.stdout).starts_with("note: no fragment mentions preset ordinry"));
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn dangers_come_first() {
    let fragment = FRAGMENT.replace("benchmark-desk", "desk");
    let directory = configurations("dangers", ROOT, &fragment);
    let output = run(&directory, &["diff", "old", "new"]);
    let lines: Vec<_> = text(&output.stdout).lines().skip(1).collect();
    let reassigned = "service address changes its service";
    assert!(
        lines[0].starts_with("danger") && lines[0].contains(reassigned),
        "{lines:?}"
    );
    let first_change = lines
        .iter()
        .position(|line| line.starts_with("change"))
        .unwrap();
    assert!(
        lines[first_change..]
            .iter()
            .all(|line| line.starts_with("change"))
    );
}

#[test]
fn a_conflict_of_teams_fails_and_names_the_refused_fragment() {
    let root = ROOT.replace("1}", "1, \"vault\": 2}");
    let directory = configurations("clash", &root, FRAGMENT);
    let vault = r#"{"team": "vault", "services": {"docvault": {"address": "127.0.0.1:7001", "backends": {}}}}"#;
    write(&directory, "new/teams/vault.jsonc", vault);
    let expected = "\
nothing in force would change

REFUSED TEAM  REVISION  REASON
vault         2         address 127.0.0.1:7001 of docvault is taken already by team search
";
    expect(&run(&directory, &["diff", "old", "new"]), 1, expected);
}

#[test]
fn all_errors_of_both_directories_are_printed() {
    let root = "{\"preset\": 1, \"teams\": {}}";
    let directory = configurations("wrong", root, "[]");
    write(
        &directory,
        "old/root.jsonc",
        "{\"preset\": \"ordinary\", \"teams\": {\"search\": 1, \"vault\": 1}}",
    );
    let output = run(&directory, &["diff", "old", "new"]);
    let expected = "\
old: no fragment of the listed team vault
new/root.jsonc:1:12: preset: found a number, allowed is a string
new/teams/search.jsonc:1:1: .: found an array, allowed is an object
";
    assert_eq!(text(&output.stderr), expected);
    assert_eq!(output.status.code(), Some(1));
}

#[parameterized(
    nothing = { &[], "no command is given" },
    unknown_command = { &["chekc"], "unknown command \"chekc\"" },
    unknown_option = { &["status", "--adm", "x"], "Unrecognized option: 'adm'" },
    no_file = { &["check"], "check takes at least one file, found 0" },
    one_directory = { &["diff", "old"], "diff takes two directories, found 1" },
    kind = { &["check", "--kind", "preset", "f"], "--kind: unknown kind \"preset\"" },
    no_address = { &["status"], "status needs --admin ADDRESS" },
    address = { &["status", "--admin", "localhost"], "--admin: expected an IP number with a port, found \"localhost\"" },
    operand = { &["stop", "now", "--admin", "127.0.0.1:1"], "stop takes no operand, found 1" },
    flow = { &["explain", "127.0.0.1:1", "--admin", "127.0.0.1:1"], "expected CALLER->SERVICE" },
    unused_option = { &["check", "f", "--admin", "127.0.0.1:1"], "check does not use --admin" },
    limit = { &["flows", "--limit", "-1", "--admin", "127.0.0.1:1"], "--limit: expected a whole number, found \"-1\"" },
)]
fn a_wrong_command_line_exits_with_2(arguments: &[&str], expected: &str) {
    let output = run(Path::new(env!("CARGO_TARGET_TMPDIR")), arguments);
    let errors = text(&output.stderr);
    assert!(
        errors.starts_with(&format!("cardamomwinchctl: {expected}")),
        "{errors}"
    );
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn help_and_version_are_printed() {
    let anywhere = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let help = run(anywhere, &["--help"]);
    for expected in [
        "check FILE...",
        "--admin ADDRESS",
        "3  the host gave no answer in time",
    ] {
        assert!(
            text(&help.stdout).contains(expected),
            "{}",
            text(&help.stdout)
        );
    }
    assert_eq!(help.status.code(), Some(0));
    let version = concat!("cardamomwinchctl ", env!("CARGO_PKG_VERSION"), "\n");
    expect(&run(anywhere, &["--version"]), 0, version);
}

/// The log of a forwarding host contains the identifiers of services. With `id` an
/// operator who knows a name finds the lines of its service.
#[test]
fn identifiers_of_names_are_printed() {
    let directory = directory("identifiers");
    let id = cardamomwinch_state::prelude::ServiceId::from_name("docvault");
    let expected = format!("NAME      ID\ndocvault  {id}\n");
    expect(&run(&directory, &["id", "docvault"]), 0, &expected);
    let json = run(&directory, &["id", "docvault", "--json"]);
    assert!(text(&json.stdout).contains(&format!("\"id\": \"{id}\"")));
    assert_eq!(run(&directory, &["id"]).status.code(), Some(2));
}
