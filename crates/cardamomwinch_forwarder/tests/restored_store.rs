//! Real host processes whose store is restored from a backup some seconds old: the writes
//! that it acknowledged since are lost, and their revisions are assigned again.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::thread;
use std::time;

use support::*;

const DRAINING: &str = "1aaaa0001";
const STAYING: &str = "2aaaa0002";
/// The time within which hosts that read the store themselves follow each other again.
const SETTLING_TIME: time::Duration = time::Duration::from_secs(4);

fn configuration(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r","host":"198.18.0.1","prefix":"/443/",
           "type":"safe","service":"desk"}}],"limits":{{}}}}"#
    )
}

fn entry(state: &str) -> String {
    format!(
        r#"{{"service":"desk","address":"127.0.0.1:9","zone":"near","version":"v1",
           "concurrency":2,"state":"{state}","cold-left-ms":0,"sequence":1}}"#
    )
}

/// A store with a configuration and two servers, and the hosts that read it.
struct Setup {
    store: StandInStore,
    hosts: Vec<HostProcess>,
}

impl Setup {
    fn with_hosts(names: &[&str]) -> Self {
        let store = StandInStore::start();
        let mut setup = Self {
            store,
            hosts: Vec::new(),
        };
        setup.publish(1);
        setup.write_entry(DRAINING, "ready");
        setup.write_entry(STAYING, "ready");
        for name in names {
            let seeds: Vec<_> = setup.hosts.iter().map(|host| host.peer).collect();
            let host = HostProcess::start(name, setup.store.address, &seeds);
            host.wait_until_ready(true);
            setup.hosts.push(host);
        }
        setup
    }

    fn publish(&self, version: u64) {
        self.store.write("op/config", Some(&configuration(version)));
    }

    fn write_entry(&self, id: &str, state: &str) {
        let key = format!("servers/i-{id}");
        self.store.write(&key, Some(&entry(state)));
    }

    fn report(host: &HostProcess) -> String {
        let admin = host.admin.to_string();
        let arguments = ["beliefs", "--admin", &admin].map(str::to_owned);
        let outcome = cardamomwinch_ctl::outcome::run(&arguments);
        assert_eq!(outcome.errors, "");
        outcome.output
    }

    /// Waits until the reports of all hosts contain `text`.
    fn wait_for_report(&self, text: &str) {
        for host in &self.hosts {
            wait_until(text, || Self::report(host).contains(text));
        }
    }

    fn wait_for_version(&self, version: u64) {
        let line = format!("cardamomwinch_configuration_version {version}\n");
        for host in &self.hosts {
            wait_until(&line, || {
                let (_, metrics) = HostProcess::get(host.admin, "/metrics").unwrap();
                metrics.contains(&line)
            });
        }
    }
}

/// Guards against new flows on a draining server: followers missed changes whose revisions
/// they had seen before the restore.
#[test]
fn followers_know_of_a_draining_server_after_the_store_was_restored() {
    let setup = Setup::with_hosts(&["restored-1", "restored-2", "restored-3"]);
    thread::sleep(SETTLING_TIME);
    let backup = setup.store.backup();
    for version in [2, 3, 4] {
        setup.publish(version);
    }
    setup.wait_for_version(4);
    setup.store.restore(backup);
    thread::sleep(SETTLING_TIME);
    setup.write_entry(DRAINING, "draining");
    setup.wait_for_report("draining");
}

/// Guards against new flows on a draining server: a watch continued from a revision number
/// that belongs to a newer change after the restore.
#[test]
fn a_host_lists_again_if_the_revision_of_a_restored_store_exceeds_its_own() {
    let setup = Setup::with_hosts(&["overtaken"]);
    let backup = setup.store.backup();
    setup.publish(2);
    setup.wait_for_version(2);
    setup.store.set_down(true);
    setup.store.restore(backup);
    setup.write_entry(DRAINING, "draining");
    setup.publish(2);
    setup.publish(3);
    setup.store.set_down(false);
    setup.wait_for_version(3);
    setup.wait_for_report("draining");
}

/// Guards against new flows on a draining server: its entry from before the restore had the
/// higher revision number.
#[test]
fn an_entry_is_applied_although_an_older_one_had_a_higher_revision() {
    let setup = Setup::with_hosts(&["outnumbered"]);
    let backup = setup.store.backup();
    for version in [2, 3, 4] {
        setup.publish(version);
    }
    setup.write_entry(DRAINING, "ready");
    setup.publish(5);
    setup.wait_for_version(5);
    setup.store.restore(backup);
    setup.write_entry(DRAINING, "draining");
    setup.wait_for_report("draining");
}

/// Guards against new flows on a draining server: the backup still contains its entry as
/// ready.
#[test]
fn a_draining_server_stays_draining_after_a_restore_from_an_older_backup() {
    let setup = Setup::with_hosts(&["forgetful"]);
    let backup = setup.store.backup();
    setup.write_entry(DRAINING, "draining");
    setup.wait_for_report("draining");
    setup.store.restore(backup);
    setup.publish(2);
    setup.wait_for_version(2);
    assert!(Setup::report(&setup.hosts[0]).contains("draining"));
}
