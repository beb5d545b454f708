//! The template of the users' platform becomes settings that are accepted whole.

use std::time::Duration;

use boragecove_daemon::entry::settings;

const TEMPLATE: &str = include_str!("../../deploy/entry.jsonc");

/// What the platform knows of a machine, by the placeholders that the template uses.
const VALUES: [(&str, &str); 27] = [
    ("{{node_name|json}}", "\"front-a-1\""),
    ("{{zone|json}}", "\"zone-a\""),
    ("{{listen.front_addr|json}}", "\"10.1.0.38:8149\""),
    ("{{listen.ready_addr|json}}", "\"10.1.0.38:8141\""),
    ("{{ip}}", "10.1.0.38"),
    ("{{port_range.0}}", "7380"),
    ("{{platform.address|json}}", "\"10.200.1.7:8142\""),
    ("{{limits.cpu_share}}", "0.12"),
    ("{{limits.link_mbps}}", "10.0"),
    ("{{limits.memory_mb}}", "160"),
    ("{{limits.max_fds}}", "4100"),
    ("{{bounds.grace_s}}", "8"),
    ("{{bounds.drain_ms}}", "3000"),
    ("{{bounds.config_apply_ms}}", "4000"),
    ("{{bounds.retry_budget_ratio}}", "0.2"),
    ("{{bounds.retry_budget_slack}}", "52"),
    ("{{bounds.budget_window_s}}", "10"),
    ("{{bounds.lease_ttl_ms}}", "3000"),
    ("{{bounds.origin_window_s}}", "5"),
    ("{{bounds.revoke_ms}}", "5000"),
    ("{{bounds.quota_slack}}", "7400"),
    ("{{bounds.quota_window_s}}", "8"),
    ("{{bounds.quota_overage}}", "0.1"),
    ("{{bounds.cold_overage}}", "1.5"),
    ("{{bounds.cold_slack}}", "5"),
    ("{{@}}", "zone-a"),
    ("{{.|json}}", "\"north\""),
];
/// Bounds that only some deployments have, each a section of the template.
const SECTIONS: [&str; 4] = ["bounds.strict_revoke", "bounds.quota_window_s", "bounds.cold_overage", "zones"];

/// Fills the template in, as the platform does for the placeholders that it uses, on a deployment that has all bounds.
fn filled() -> String {
    for (placeholder, _) in VALUES {
        assert!(TEMPLATE.contains(placeholder), "{placeholder} is not used");
    }
    filled_from(TEMPLATE)
}

fn filled_from(template: &str) -> String {
    let mut text = template.to_owned();
    for name in SECTIONS {
        let (begin, end) = marks(name);
        assert!(text.contains(&begin) && text.contains(&end), "{name} is no section");
        text = text.replace(&begin, "").replace(&end, "");
        // Of a list there is one entry, which needs no comma.
        text = text.replace("{{,}}", "");
    }
    filled_in(&text)
}

/// The same on a deployment that lacks the bounds of the sections.
fn without_sections() -> String {
    let mut text = TEMPLATE.to_owned();
    for name in SECTIONS {
        let (begin, end) = marks(name);
        let (before, rest) = text.split_once(&begin).expect("it begins");
        let (_left_out, after) = rest.split_once(&end).expect("it ends");
        text = format!("{before}{after}");
    }
    filled_in(&text)
}

fn marks(section: &str) -> (String, String) {
    (format!("{{{{#{section}}}}}"), format!("{{{{/{section}}}}}"))
}

fn filled_in(template: &str) -> String {
    let replace = |text: String, (placeholder, value): &(&str, &str)| text.replace(placeholder, value);
    VALUES.iter().fold(template.to_owned(), replace)
}

#[test]
fn accepted_whole() {
    let text = filled();
    assert!(!text.contains("{{"), "a placeholder is left: {text}");
    let settings = settings::read("entry.jsonc", &text).unwrap_or_else(|problems| panic!("{problems}"));
    assert_eq!(settings.listen.peers, ([10, 1, 0, 38], 7380).into());
    assert_eq!(settings.grace, Duration::from_secs(8));
    assert!(settings.fleet.weak, "a machine of 0.12 cores is no hub if there is a larger one");
    assert_eq!(settings.machine.memory_bytes, 160_000_000);
    assert_eq!(settings.machine.descriptors, 4_100);
    assert_eq!(settings.stop_within(), Duration::from_millis(7_200));
    assert!((settings.fleet.repeat_slack - 52.0).abs() < f64::EPSILON);
    assert_eq!(settings.fleet.departure_bound.0, Duration::from_secs(3));
    assert_eq!(settings.fleet.config_bound.0, Duration::from_secs(4));
    assert_eq!(settings.fleet.order_gap, Duration::from_secs(3));
    assert!((settings.fleet.cold_overage - 1.5).abs() < f64::EPSILON);
    assert!((settings.fleet.cold_slack - 5.0).abs() < f64::EPSILON);
    assert_eq!(settings.fleet.regions.get("zone-a").map(|region| &**region), Some("north"));
}

#[test]
fn bounds_of_some() {
    let read = |text: &str| {
        settings::read("entry.jsonc", text).unwrap_or_else(|problems| panic!("{problems}")).fleet.revocation
    };
    assert_eq!(read(&filled()), Some(Duration::from_secs(5)));
    assert_eq!(read(&without_sections()), None, "nothing is to be proved");
}

/// Each bound on time in the template, whole in [`VALUES`].
const TIMES: [&str; 8] = [
    "bounds.grace_s",
    "bounds.drain_ms",
    "bounds.config_apply_ms",
    "bounds.budget_window_s",
    "bounds.lease_ttl_ms",
    "bounds.origin_window_s",
    "bounds.revoke_ms",
    "bounds.quota_window_s",
];

/// The template with another value for one bound.
fn with_bound(name: &str, value: &str) -> String {
    let placeholder = format!("{{{{{name}}}}}");
    let (_, whole) = VALUES.iter().find(|(each, _)| *each == placeholder).expect("it is used");
    let template = TEMPLATE.replace(&placeholder, &value.replace("WHOLE", whole));
    filled_from(&template)
}

/// Guards against an outage: a bound that is a fraction was refused, and no process of any VM could start again.
#[test]
fn bounds_as_fractions() {
    let whole = settings::read("entry.jsonc", &filled()).expect("valid");
    for name in TIMES {
        for form in ["WHOLE.0", "WHOLE.00", "WHOLEe0", "WHOLE.0E+0"] {
            let read = settings::read("entry.jsonc", &with_bound(name, form));
            assert_eq!(read.as_ref(), Ok(&whole), "{name} as {form}");
        }
        let read = settings::read("entry.jsonc", &with_bound(name, "WHOLE.5"));
        assert!(read.as_ref().is_ok_and(|read| *read != whole), "{name} with a half more: {read:?}");
    }
}

/// The reducer's clock counts whole microseconds: what must be done in time is rounded down to them, and a window
/// over which something is counted up, so that no bound is exceeded by the rounding.
#[test]
fn bounds_rounded_safely() {
    const BETWEEN: &str = "1234.5678ms";
    let text = TIMES.iter().fold(filled(), |text, name| {
        let placeholder = format!("{{{{{name}}}}}");
        let (_, whole) = VALUES.iter().find(|(each, _)| *each == placeholder).expect("it is used");
        let unit = if name.ends_with("_ms") { "ms" } else { "s" };
        text.replace(&format!("\"{whole}{unit}\""), &format!("\"{BETWEEN}\""))
    });
    let settings = settings::read("entry.jsonc", &text).unwrap_or_else(|problems| panic!("{problems}"));
    let fleet = &settings.fleet;
    let down = Duration::from_micros(1_234_567);
    let up = Duration::from_micros(1_234_568);
    assert_eq!(settings.grace, down);
    assert_eq!([fleet.departure_bound.0, fleet.config_bound.0], [down; 2]);
    assert_eq!(fleet.revocation, Some(down));
    assert_eq!([fleet.repeat_window, fleet.quota_window, fleet.order_gap, fleet.load_window], [up; 4]);
}

/// A bound on changes that nobody could keep is refused with its reason.
#[test]
fn bounds_too_short() {
    let text = filled().replace("\"3000ms\"", "\"200ms\"");
    let problems = settings::read("entry.jsonc", &text).expect_err("too short").to_string();
    assert!(problems.contains("changes.departures-within") && problems.contains("too short"), "{problems}");
}

#[test]
fn every_error_at_once() {
    let text =
        filled().replace("\"8s\"", "\"soon\"").replace("10.200.1.7:8142", "store").replace("0.2,", "-1,");
    let problems = settings::read("entry.jsonc", &text).expect_err("three errors").to_string();
    for member in ["grace", "store", "repeats.ratio"] {
        assert!(problems.contains(member), "{member}: {problems}");
    }
}

/// Mechanisms are switched off by their names, in experiments; the template switches none off.
#[test]
fn mechanisms_switched_off() {
    use boragecove_fleet::settings::Mechanism;
    let read = |text: &str| settings::read("entry.jsonc", text);
    assert!(read(&filled()).expect("valid").fleet.disabled.is_empty());
    for mechanism in Mechanism::ALL {
        let member = format!("{{ \"without\": [\"{}\"], \"vm\"", mechanism.label());
        let text = filled().replacen("{\n  \"vm\"", &member, 1);
        let settings = read(&text).unwrap_or_else(|problems| panic!("{problems}"));
        assert!(!settings.fleet.is_enabled(mechanism), "{mechanism:?} in {text}");
    }
    let wrong = filled().replacen("{\n  \"vm\"", "{ \"without\": [\"everything\"], \"vm\"", 1);
    let problems = read(&wrong).expect_err("no mechanism has that name").to_string();
    assert!(problems.contains("without[0]"), "{problems}");
}
