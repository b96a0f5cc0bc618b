//! Faults reported for copies of the Inkwick example that were made invalid.

mod fixtures;

use camphorwalk_declare::{MAX_FILE_BYTES, check, load, unbundle};
use fixtures::{config, copy_inkwick};
use insta::assert_snapshot;
use serde_json::json;

const TENANT: &str = "tenants/floor-artists.json";
const OTHER_TENANT: &str = "tenants/meriden-house.json";
const TEMPLATE: &str = "templates/brief-assistant.json";

#[test]
fn all_faults_of_a_tenant_are_reported_at_once() {
    let copy = copy_inkwick();
    copy.set(TENANT, "/rate_per_second", 0);
    copy.set(TENANT, "/burst", 0);
    copy.set(TENANT, "/budget_tokens", 0);
    copy.set(TENANT, "/weight", 0);
    copy.set(TENANT, "/bursts", 4);
    copy.set(TENANT, "/serve_when_cut_off", "yes");
    copy.set(TENANT, "/assistants/0/template", "no-such-template");
    copy.set(TENANT, "/assistants/0/class", "no-such-class");
    copy.set(TENANT, "/keys/0/sha256", "ABCD");
    copy.remove(TENANT, "/name");

    assert_snapshot!(copy.faults(), @r#"
    tenants/floor-artists.json: $: missing field `name`
    tenants/floor-artists.json: $.assistants[0].class: unknown class `no-such-class`
    tenants/floor-artists.json: $.assistants[0].template: unknown template `no-such-template`
    tenants/floor-artists.json: $.budget_tokens: must be at least 1
    tenants/floor-artists.json: $.burst: must be at least 1
    tenants/floor-artists.json: $.bursts: unknown field
    tenants/floor-artists.json: $.keys[0].sha256: is not 64 lower-case hexadecimal digits
    tenants/floor-artists.json: $.rate_per_second: must be above 0
    tenants/floor-artists.json: $.serve_when_cut_off: expected true or false, found "yes"
    tenants/floor-artists.json: $.weight: must be at least 1
    "#);
}

#[test]
fn invalid_rates() {
    let mut config = config("inkwick");
    let rates = [-1.0, f64::NAN, f64::INFINITY, 1e9, 1e-6];
    for (tenant, rate) in config.tenants.iter_mut().zip(rates) {
        tenant.rate_per_second = rate;
    }

    let faults = check(&config).iter().map(|f| format!("{f}\n")).collect::<String>();

    assert_snapshot!(faults, @r#"
    config: $.tenants[0].rate_per_second: must be above 0
    config: $.tenants[1].rate_per_second: must be above 0
    config: $.tenants[2].rate_per_second: must be above 0
    config: $.tenants[3].rate_per_second: must be at most 1000000
    config: $.tenants[4].rate_per_second: is too low to be cut into 16 slices
    "#);
}

// If two tenants' keys had the same secret, a request could run for a tenant other than its
// caller's.
#[test]
fn duplicate_keys() {
    let copy = copy_inkwick();
    let first = config("inkwick").tenants[0].keys[0].clone();
    copy.set(TENANT, "/keys", json!([first, { "id": "x", "sha256": first.sha256 }]));

    assert_snapshot!(copy.faults(), @r#"
    tenants/floor-artists.json: $.keys[0].id: duplicate key `canal-basin-studio-1`, first at tenants/canal-basin-studio.json $.keys[0].id
    tenants/floor-artists.json: $.keys[0].sha256: duplicate digest, also of the key `canal-basin-studio-1`
    tenants/floor-artists.json: $.keys[1].sha256: duplicate digest, also of the key `canal-basin-studio-1`
    "#);
}

#[test]
fn faults_of_the_fleet() {
    let copy = copy_inkwick();
    copy.set("fleet.json", "/partitions", 0);
    copy.set("fleet.json", "/slices", 70_000);
    copy.set("fleet.json", "/zones/1/name", "midlands-a");
    copy.set("fleet.json", "/classes/0/rank", -1);
    copy.set("fleet.json", "/name", "two words");

    assert_snapshot!(copy.faults(), @r#"
    fleet.json: $.classes[0].rank: expected a whole number from 0 to 255, found -1
    fleet.json: $.name: the name holds another character than ASCII letters, digits, `-`, `_`, `.`
    fleet.json: $.partitions: must be at least 1
    fleet.json: $.slices: expected a whole number from 0 to 65535, found 70000
    fleet.json: $.zones[1].name: duplicate availability zone `midlands-a`, first at fleet.json $.zones[0].name
    targets.json: $.targets[10].zone: unknown availability zone `midlands-b`
    targets.json: $.targets[3].zone: unknown availability zone `midlands-b`
    targets.json: $.targets[4].zone: unknown availability zone `midlands-b`
    targets.json: $.targets[5].zone: unknown availability zone `midlands-b`
    "#);
}

#[test]
fn faults_of_targets() {
    let copy = copy_inkwick();
    copy.set("targets.json", "/targets/0/window", 0);
    copy.set("targets.json", "/targets/1/zone", "nowhere");
    copy.set("targets.json", "/targets/2/cache_tokens", 0);
    copy.set("targets.json", "/targets/3/address", "127.0.0.1:21001");
    copy.set("targets.json", "/targets/4/name", "sketch-1");
    copy.set("targets.json", "/targets/5/address", "engine.example:80");
    copy.set("targets.json", "/targets/6/window", 2.5);
    copy.set("targets.json", "/targets/9/checks_fencing", true);
    copy.set("targets.json", "/targets/10/cache_tokens", 5);
    copy.set("targets.json", "/targets/11/address", "0.0.0.0:0");

    assert_snapshot!(copy.faults(), @r#"
    targets.json: $.targets[0].window: must be at least 1
    targets.json: $.targets[10].cache_tokens: is for engines only
    targets.json: $.targets[11].address: duplicate address, also of `sketch-6`
    targets.json: $.targets[11].address: is no address to connect to
    targets.json: $.targets[1].zone: unknown availability zone `nowhere`
    targets.json: $.targets[2].cache_tokens: an engine needs at least 1
    targets.json: $.targets[3].address: duplicate address, also of `sketch-1`
    targets.json: $.targets[4].name: duplicate target `sketch-1`, first at targets.json $.targets[0].name
    targets.json: $.targets[5].address: expected an IP address and port, found "engine.example:80"
    targets.json: $.targets[6].window: expected a whole number from 0 to 4294967295, found 2.5
    targets.json: $.targets[9].checks_fencing: is for engines only
    "#);
}

#[test]
fn a_pool_of_two_kinds() {
    let copy = copy_inkwick();
    copy.set("targets.json", "/targets/9/pool", "sketch-model");

    assert_snapshot!(copy.faults(), @"targets.json: $.targets[9].kind: the pool `sketch-model` has targets of another kind");
}

#[test]
fn faults_of_a_template() {
    let copy = copy_inkwick();
    copy.set(TEMPLATE, "/targets/0/operation", "generate");
    copy.remove(TEMPLATE, "/targets/1/operation");
    copy.set(TEMPLATE, "/targets/2/pool", "no-such-pool");
    copy.set(TEMPLATE, "/targets/3/name", "model");
    copy.set(TEMPLATE, "/max_calls", 0);
    copy.set(TEMPLATE, "/max_depth", 17);
    copy.set(TEMPLATE, "/max_output_tokens", 0);
    copy.set(TEMPLATE, "/max_deadline_ms", 0);
    copy.set("templates/gig-planner.json", "/targets", json!([]));

    assert_snapshot!(copy.faults(), @r#"
    templates/brief-assistant.json: $.max_calls: must be at least 1
    templates/brief-assistant.json: $.max_deadline_ms: must be from 1 to 86400000 ms
    templates/brief-assistant.json: $.max_depth: must be at most 16
    templates/brief-assistant.json: $.max_output_tokens: must be at least 1
    templates/brief-assistant.json: $.targets[0].operation: an engine has no operations
    templates/brief-assistant.json: $.targets[1]: a service needs an `operation`
    templates/brief-assistant.json: $.targets[2].pool: unknown pool `no-such-pool`
    templates/brief-assistant.json: $.targets[3].name: duplicate target `model`
    templates/gig-planner.json: $.targets: needs a target
    "#);
}

// One template allows the operation that takes a deposit to be repeated after a failure, the other
// forbids it. If both were accepted, a deposit could be taken twice.
#[test]
fn an_operation_that_is_idempotent_in_one_template_only() {
    let copy = copy_inkwick();
    copy.set("templates/gig-planner.json", "/targets/4/idempotent", true);

    assert_snapshot!(copy.faults(), @"templates/gig-planner.json: $.targets[4].idempotent: the operation `take-deposit` is declared otherwise elsewhere");
}

#[test]
fn files_that_cannot_be_read() {
    let copy = copy_inkwick();
    copy.write(TENANT, "{\n  \"name\": \"floor-artists\",\n  oops\n}");
    copy.write(OTHER_TENANT, vec![b' '; MAX_FILE_BYTES as usize + 1]);
    copy.write("tenants/notes.txt", "a note");
    copy.write("tenants/latin.json", b"\"\xe9\"");
    copy.write("tenants/list.json", "[]");
    copy.write("templates.json", "{}");
    std::fs::remove_file(copy.file("fleet.json")).unwrap();
    std::os::unix::fs::symlink(copy.file("targets.json"), copy.file("fleet.json")).unwrap();

    assert_snapshot!(copy.faults(), @r#"
    fleet.json: $: is not a plain file
    templates.json: $: no such declaration; is it in a wrong folder?
    tenants/floor-artists.json: $: not valid JSON: key must be a string at line 3 column 3
    tenants/latin.json: $: not valid JSON: invalid unicode code point at line 1 column 2
    tenants/list.json: $: expected an object, found a list
    tenants/meriden-house.json: $: is larger than 524288 bytes
    tenants/notes.txt: $: only files that end in .json belong here
    "#);
}

#[test]
fn an_empty_folder() {
    let empty = tempfile::tempdir().unwrap();

    assert_snapshot!(load(empty.path()).unwrap_err(), @r#"
    fleet.json: $: cannot be read: No such file or directory (os error 2)
    targets.json: $: cannot be read: No such file or directory (os error 2)
    templates: $: cannot be listed: No such file or directory (os error 2)
    tenants: $: cannot be listed: No such file or directory (os error 2)
    "#);
}

// Without this fault the last of two fields would silently apply, while a reader of the file may
// assume that the first one does.
#[test]
fn a_duplicate_field() {
    let copy = copy_inkwick();
    let text = std::fs::read_to_string(copy.file(OTHER_TENANT)).unwrap();
    copy.write(OTHER_TENANT, text.replace("\"burst\"", "\"rate_per_second\": 400, \"burst\""));

    assert_snapshot!(copy.faults(), @"tenants/meriden-house.json: $.rate_per_second: stands twice");
}

// The target of a symbolic link is not under version control with the folder, so declarations could
// change without a change of the folder.
#[test]
fn a_folder_that_is_a_symbolic_link() {
    let copy = copy_inkwick();
    let elsewhere = copy.file("elsewhere");
    std::fs::rename(copy.file("templates"), &elsewhere).unwrap();
    std::os::unix::fs::symlink(elsewhere, copy.file("templates")).unwrap();

    assert_snapshot!(copy.faults(), @"templates: $: is not a plain folder");
}

#[test]
fn two_files_that_declare_the_same_name() {
    let copy = copy_inkwick();
    std::fs::copy(copy.file(TENANT), copy.file("tenants/zz-copy.json")).unwrap();

    assert_snapshot!(copy.faults(), @r#"
    tenants/zz-copy.json: $.keys[0].id: duplicate key `floor-artists-1`, first at tenants/floor-artists.json $.keys[0].id
    tenants/zz-copy.json: $.keys[0].sha256: duplicate digest, also of the key `floor-artists-1`
    tenants/zz-copy.json: $.name: duplicate tenant `floor-artists`, first at tenants/floor-artists.json $.name
    "#);
}

// References from other files to names declared in an unreadable file must not be reported as
// unknown.
#[test]
fn a_fault_in_one_file_causes_none_in_others() {
    let copy = copy_inkwick();
    copy.write(TEMPLATE, "");
    copy.remove("targets.json", "/targets");
    copy.remove("fleet.json", "/classes");

    assert_snapshot!(copy.faults(), @r#"
    fleet.json: $: missing field `classes`
    targets.json: $: missing field `targets`
    templates/brief-assistant.json: $: not valid JSON: EOF while parsing a value at line 1 column 0
    "#);
}

#[test]
fn bundles_that_are_rejected() {
    let mut wrong = serde_json::to_value(config("inkwick")).unwrap();
    wrong["tenants"][0]["burst"] = json!(0);
    let well_formed = wrong.to_string();
    wrong["extra"] = json!(1);

    assert_snapshot!(unbundle(well_formed.as_bytes()).unwrap_err(), @"config: $.tenants[0].burst: must be at least 1");
    assert_snapshot!(unbundle(wrong.to_string().as_bytes()).unwrap_err(), @r#"
    config: $.extra: unknown field
    config: $.tenants[0].burst: must be at least 1
    "#);
    assert_snapshot!(unbundle(b"{}").unwrap_err(), @r#"
    config: $: missing field `fleet`
    config: $: missing field `targets`
    config: $: missing field `templates`
    config: $: missing field `tenants`
    "#);
    assert_snapshot!(unbundle(&vec![b' '; 4 << 20]).unwrap_err(), @"config: $: is larger than 3145728 bytes");
}
