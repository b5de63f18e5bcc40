//! Real host processes whose store comes back from a copy some seconds old: what it
//! acknowledged since is gone, and its revisions are given out again.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::thread;
use std::time;

use support::*;

const LEAVING: &str = "1aaaa0001";
const STAYING: &str = "2aaaa0002";
/// Hosts that went to the store themselves learn from each other again within this.
const SETTLING: time::Duration = time::Duration::from_secs(4);

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
struct Scene {
    store: StandInStore,
    hosts: Vec<HostProcess>,
}

impl Scene {
    fn with_hosts(names: &[&str]) -> Self {
        let store = StandInStore::start();
        let mut scene = Self {
            store,
            hosts: Vec::new(),
        };
        scene.publish(1);
        scene.write_entry(LEAVING, "ready");
        scene.write_entry(STAYING, "ready");
        for name in names {
            let seeds: Vec<_> = scene.hosts.iter().map(|host| host.peer).collect();
            let host = HostProcess::start(name, scene.store.address, &seeds);
            host.wait_until_ready(true);
            scene.hosts.push(host);
        }
        scene
    }

    fn publish(&self, version: u64) {
        self.store.write("op/config", Some(&configuration(version)));
    }

    fn write_entry(&self, id: &str, state: &str) {
        let key = format!("servers/i-{id}");
        self.store.write(&key, Some(&entry(state)));
    }

    fn beliefs(host: &HostProcess) -> String {
        let admin = host.admin.to_string();
        let arguments = ["beliefs", "--admin", &admin].map(str::to_owned);
        let outcome = cardamomwinch_ctl::outcome::run(&arguments);
        assert_eq!(outcome.errors, "");
        outcome.output
    }

    /// Waits until all hosts believe what `text` says.
    fn wait_for_belief(&self, text: &str) {
        for host in &self.hosts {
            wait_until(text, || Self::beliefs(host).contains(text));
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

/// New flows on a leaving server: followers missed changes whose revisions they had seen before.
#[test]
fn followers_learn_of_a_leaving_server_after_the_store_was_restored() {
    let scene = Scene::with_hosts(&["restored-1", "restored-2", "restored-3"]);
    thread::sleep(SETTLING);
    let copy = scene.store.copy();
    for version in [2, 3, 4] {
        scene.publish(version);
    }
    scene.wait_for_version(4);
    scene.store.restore(copy);
    thread::sleep(SETTLING);
    scene.write_entry(LEAVING, "draining");
    scene.wait_for_belief("draining");
}

/// New flows on a leaving server: a watch went on from a number that means a later change now.
#[test]
fn a_host_reads_all_again_where_the_count_of_a_restored_store_has_passed_its_own() {
    let scene = Scene::with_hosts(&["overtaken"]);
    let copy = scene.store.copy();
    scene.publish(2);
    scene.wait_for_version(2);
    scene.store.set_down(true);
    scene.store.restore(copy);
    scene.write_entry(LEAVING, "draining");
    scene.publish(2);
    scene.publish(3);
    scene.store.set_down(false);
    scene.wait_for_version(3);
    scene.wait_for_belief("draining");
}

/// New flows on a leaving server: a record from before the restore had the higher number.
#[test]
fn an_entry_is_believed_although_an_earlier_one_had_a_higher_revision() {
    let scene = Scene::with_hosts(&["outnumbered"]);
    let copy = scene.store.copy();
    for version in [2, 3, 4] {
        scene.publish(version);
    }
    scene.write_entry(LEAVING, "ready");
    scene.publish(5);
    scene.wait_for_version(5);
    scene.store.restore(copy);
    scene.write_entry(LEAVING, "draining");
    scene.wait_for_belief("draining");
}

/// New flows on a leaving server: the copy still says that it is ready.
#[test]
fn a_server_that_said_it_leaves_gets_no_flows_because_of_an_old_copy() {
    let scene = Scene::with_hosts(&["forgetful"]);
    let copy = scene.store.copy();
    scene.write_entry(LEAVING, "draining");
    scene.wait_for_belief("draining");
    scene.store.restore(copy);
    scene.publish(2);
    scene.wait_for_version(2);
    assert!(Scene::beliefs(&scene.hosts[0]).contains("draining"));
}
