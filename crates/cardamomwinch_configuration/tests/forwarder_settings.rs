//! The settings of a forwarding host, and what is wrong in them.
#![allow(clippy::unwrap_used, missing_docs)]

use std::time;

use cardamomwinch_configuration::prelude::{ForwarderSettings, LoadSettings};
use yare::parameterized;

const TEMPLATE: &str = include_str!("../../../deploy/settings.jsonc");

/// The template as the platform fills it in.
fn filled() -> String {
    let values = [
        ("{{node-name}}", "front-bud-angyal-1"),
        ("{{zone}}", "bud-angyal"),
        (
            "{{zones|json}}",
            r#"{"bud-angyal":"bud","pecs-kertvaros":"pecs"}"#,
        ),
        ("{{listen.data-addr}}", "10.1.0.10:8172"),
        ("{{listen.ready-addr}}", "10.1.0.10:8167"),
        ("{{listen.control}}", "10.1.0.10:8166"),
        ("{{bind-ip}}", "10.1.0.10"),
        ("{{port-range.0}}", "7720"),
        ("{{platform.address}}", "10.200.1.7:8169"),
        ("{{seeds|json}}", r#"["10.1.0.10:8166","10.2.0.40:8166"]"#),
        ("{{bounds.flow-ttl-s}}", "60"),
        ("{{bounds.grace-s}}", "6"),
    ];
    let filled = values
        .into_iter()
        .fold(TEMPLATE.to_owned(), |text, (from, to)| {
            text.replace(from, to)
        });
    assert!(!filled.contains("{{"), "a placeholder is left: {filled}");
    filled
}

#[test]
fn the_template_gives_valid_settings() {
    let settings = ForwarderSettings::parse("f", &filled()).unwrap();
    assert_eq!(settings.host, "front-bud-angyal-1");
    assert_eq!(settings.admin_address.port(), 7720);
    assert_eq!(settings.seeds.len(), 2);
    let pairs = [("bud-angyal", "bud"), ("pecs-kertvaros", "pecs")];
    let pairs = pairs.map(|(domain, region)| (domain.to_owned(), region.to_owned()));
    assert_eq!(settings.regions, pairs);
    assert_eq!(settings.stop_within, time::Duration::from_secs(6));
}

#[parameterized(
    unknown_key = { r#""domain""#, r#""domian""#, "domian" },
    port_missing = { "10.1.0.10:8172", "10.1.0.10", "traffic_address" },
    region_malformed = { r#":"pecs""#, r#":"no region""#, "regions.pecs-kertvaros" },
    regions_of_another_type = { r#"{"bud-angyal":"bud","pecs-kertvaros":"pecs"}"#, r#"["bud"]"#, "regions" },
    domain_named_twice = { r#""pecs-kertvaros""#, r#""bud-angyal""#, "regions.bud-angyal" },
    seed_malformed = { r#""10.2.0.40:8166""#, r#""nowhere""#, "seeds" },
    time_out_of_range = { r#""stop_within_s": 6"#, r#""stop_within_s": 0"#, "stop_within_s" },
    address_taken = { "10.1.0.10:8167", "10.1.0.10:8172", "readiness_address" },
    level_unknown = { r#""info""#, r#""loud""#, "log.level" },
    load_switch_of_another_type = { r#""spill": true"#, r#""spill": 1"#, "load.spill" },
    load_switch_unknown = { r#""spill""#, r#""spil""#, "load.spil" },
)]
fn a_wrong_value_is_named(from: &str, to: &str, named: &str) {
    let report = ForwarderSettings::parse("f", &filled().replace(from, to)).unwrap_err();
    let text = report.to_string();
    assert!(text.contains(named), "{text}");
}

/// Guards against a host that decides differently than before although its settings do not ask
/// for it.
#[test]
fn decisions_under_load_are_off_unless_the_settings_switch_them_on() {
    let settings = ForwarderSettings::parse("f", &filled()).unwrap();
    let all = LoadSettings {
        windows: true,
        spill: true,
        priorities: true,
        outliers: true,
    };
    assert_eq!(settings.load, all);
    let text = filled();
    let start = text.find(r#""load""#).unwrap();
    let end = start + text[start..].find('}').unwrap() + 1;
    let without = format!("{}{}", &text[..start], &text[end..]);
    let settings = ForwarderSettings::parse("f", &without).unwrap();
    assert_eq!(settings.load, LoadSettings::default());
}
