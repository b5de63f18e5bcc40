//! Forged and replayed messages don't change a host's state, and hosts never write
//! to the platform.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::net;
use std::sync;

use async_executor::Task;
use async_net::UdpSocket;
use cardamomwinch_protocol::authentication::CODE_LENGTH;
use cardamomwinch_protocol::codec;
use cardamomwinch_protocol::peer::{PEER_CONTEXT, PeerEnvelope, PeerMessage};
use cardamomwinch_protocol::prelude::{AuthenticationKeys, SecretKey};
use cardamomwinch_protocol::relay::RELAY_CONTEXT;
use cardamomwinch_standin::fabric;
use cardamomwinch_standin::platform::{CallKind, FaultMode};
use cardamomwinch_standin::prelude::*;
use cardamomwinch_standin::runtime;
use serde_json::Value;
use support::network::{self, FaultyDeployment};
use support::pause;
use support::requests::RequestLoad;
use support::sessions::SessionSet;

/// Number of messages that a test records and sends again.
const RECORDED: usize = 50;
const REPLAYED: &str = "cardamomwinch_peer_messages_replayed_total";
const SESSIONS: usize = 2;
const SEARCH: &str = "benchmark-desk";
const CALLERS: usize = 3;
const PROGRESS: usize = 15;

/// Forwards datagrams to one address of a host and records a copy of each.
struct DatagramTap {
    address: net::SocketAddr,
    to: net::SocketAddr,
    socket: UdpSocket,
    recorded: sync::Arc<sync::Mutex<Vec<Vec<u8>>>>,
    _task: Task<()>,
}

impl DatagramTap {
    async fn start(executor: &TaskExecutor, to: net::SocketAddr) -> Self {
        let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let (socket, address) = fabric::bind_datagrams(any).await.unwrap();
        let recorded = sync::Arc::new(sync::Mutex::new(Vec::new()));
        let task = executor.spawn(forward(socket.clone(), to, recorded.clone()));
        Self {
            address,
            to,
            socket,
            recorded,
            _task: task,
        }
    }

    /// Waits for [`RECORDED`] datagrams and returns them.
    async fn recorded(&self) -> Vec<Vec<u8>> {
        support::eventually("datagrams to record", async || {
            let recorded = runtime::locked(&self.recorded);
            (recorded.len() >= RECORDED).then(|| recorded[..RECORDED].to_vec())
        })
        .await
    }

    async fn send(&self, datagram: &[u8]) {
        self.socket.send_to(datagram, self.to).await.unwrap();
    }
}

async fn forward(
    socket: UdpSocket,
    to: net::SocketAddr,
    recorded: sync::Arc<sync::Mutex<Vec<Vec<u8>>>>,
) {
    let mut buffer = vec![0; cardamomwinch_standin::faults::MAX_DATAGRAM_BYTES];
    loop {
        if let Ok((length, _)) = socket.recv_from(&mut buffer).await {
            let datagram = buffer[..length].to_vec();
            socket.send_to(&datagram, to).await.unwrap();
            runtime::locked(&recorded).push(datagram);
        }
    }
}

/// Whether a host drops and counts a replay of `datagram`. Messages about the
/// configuration may arrive out of order, so their copies are merged instead, which
/// changes nothing either.
fn counts_as_replayed(deployment: &Deployment, datagram: &[u8]) -> bool {
    let signing = deployment.keys["signing"].as_str().unwrap();
    let keys = AuthenticationKeys::new(signing.parse().unwrap(), None);
    let envelope: PeerEnvelope = keys.open(PEER_CONTEXT, datagram).unwrap();
    !matches!(envelope.message, PeerMessage::Configuration(_))
}

/// The message in `datagram`, signed with a key that no host accepts.
fn signed_with_other_key(context: u8, datagram: &[u8]) -> Vec<u8> {
    let keys = AuthenticationKeys::new(SecretKey::new([9; 32]), None);
    let body = &datagram[CODE_LENGTH..];
    let mut buffer = [0; CODE_LENGTH];
    let code = codec::encode(&keys.code(context, body), &mut buffer).unwrap();
    [code, body].concat()
}

/// The value of a counter of a host; zero if the host doesn't list it yet.
async fn metric(admin: net::SocketAddr, name: &str) -> u64 {
    let reply = http::request(admin, "GET", "/metrics", "").await.unwrap();
    assert_eq!(reply.status, 200);
    let text = String::from_utf8(reply.body.to_vec()).unwrap();
    let mut lines = text.lines();
    let line = lines.find(|line| line.split([' ', '{']).next() == Some(name));
    line.map_or(0, |line| line.rsplit(' ').next().unwrap().parse().unwrap())
}

async fn wait_for_metric(admin: net::SocketAddr, name: &str, least: u64) {
    support::eventually(name, async || {
        (metric(admin, name).await >= least).then_some(())
    })
    .await;
}

/// A deployment in which taps record the datagrams to one host.
struct TappedDeployment {
    faulty: FaultyDeployment,
    /// The name of that host, which is home of a server.
    name: String,
    admin: net::SocketAddr,
    peer: DatagramTap,
    relay: DatagramTap,
}

async fn start_tapped(executor: &TaskExecutor) -> TappedDeployment {
    let mut plan = network::small_plan();
    for service in &mut plan.services {
        service.options = vec!["--notice-ms".to_owned(), "100".to_owned()];
    }
    let mut faulty = FaultyDeployment::start(plan).await;
    let name = faulty.home_of_service(SEARCH).await;
    let position = faulty.position(&name);
    let host = &mut faulty.deployment.hosts[position];
    let admin = host.address("admin_address").unwrap();
    let peer = DatagramTap::start(executor, host.address("peer_address").unwrap()).await;
    let relay = DatagramTap::start(executor, host.address("relay_address").unwrap()).await;
    host.published
        .insert("peer_address".to_owned(), peer.address);
    host.published
        .insert("relay_address".to_owned(), relay.address);
    faulty.deployment.publish_hosts().await.unwrap();
    TappedDeployment {
        faulty,
        name,
        admin,
        peer,
        relay,
    }
}

/// The state in a host's administration API that no forged message may change.
async fn known_state(tapped: &TappedDeployment) -> Vec<Value> {
    let (faulty, name) = (&tapped.faulty, &tapped.name);
    let status = faulty.call(name, "status").await.unwrap();
    let mut state: Vec<_> = ["version", "preset", "host_list_version", "phase"]
        .iter()
        .map(|field| status[field].clone())
        .collect();
    let members = faulty.call(name, "members").await.unwrap();
    for member in members.as_array().unwrap() {
        state.push(member["host"].clone());
        state.push(member["reachability"].clone());
        state.push(member["incarnation"].clone());
    }
    state
}

/// Guards against a host that handles messages of an attacker who can send to its
/// addresses. The attacker sends noise, and valid messages that are signed with another
/// key. The host counts them and its state stays the same.
#[test]
fn messages_that_no_host_signed_are_counted_and_change_nothing() {
    support::run(async |executor| {
        let tapped = start_tapped(executor).await;
        let deployment = &tapped.faulty.deployment;
        let sessions = SessionSet::open(executor, deployment, SESSIONS).await;
        let before = known_state(&tapped).await;
        for (tap, context) in [(&tapped.peer, PEER_CONTEXT), (&tapped.relay, RELAY_CONTEXT)] {
            for (index, recorded) in tap.recorded().await.iter().enumerate() {
                tap.send(&signed_with_other_key(context, recorded)).await;
                tap.send(&vec![index as u8; 3 * index]).await;
                // A burst could overflow the socket, and the host wouldn't count all.
                pause(1).await;
            }
        }
        let sent = 2 * RECORDED as u64;
        wait_for_metric(
            tapped.admin,
            "cardamomwinch_forged_peer_messages_total",
            sent,
        )
        .await;
        wait_for_metric(tapped.admin, "cardamomwinch_forged_relays_total", sent).await;
        sessions.wait_for_progress(PROGRESS as u64).await;
        assert_eq!(known_state(&tapped).await, before);
        sessions.finish().await;
    });
}

/// Guards against replays. An attacker records what other hosts send to a host, and
/// sends all of it again. Control messages are counted as replayed and change nothing;
/// relayed requests don't run again.
#[test]
fn replayed_messages_of_hosts_change_nothing() {
    support::run(async |executor| {
        let tapped = start_tapped(executor).await;
        let load = RequestLoad::start(executor, &tapped.faulty.deployment, CALLERS);
        load.wait_for_answers(PROGRESS).await;
        let before = known_state(&tapped).await;
        let metric_before = metric(tapped.admin, REPLAYED).await;
        let mut sent = 0;
        for recorded in tapped.peer.recorded().await {
            sent += u64::from(counts_as_replayed(&tapped.faulty.deployment, &recorded));
            tapped.peer.send(&recorded).await;
            pause(1).await;
        }
        for recorded in tapped.relay.recorded().await {
            tapped.relay.send(&recorded).await;
            pause(1).await;
        }
        assert!(sent > 0);
        wait_for_metric(tapped.admin, REPLAYED, metric_before + sent).await;
        load.wait_for_answers(PROGRESS).await;
        assert_eq!(known_state(&tapped).await, before);
        let finished = load.finish().await;
        finished.check(&tapped.faulty).await;
    });
}

/// Hosts start, receive changes, retry while the platform refuses calls, and stop. Only
/// operators may write to the platform: all calls that it counted are reads and watches.
#[test]
fn hosts_only_read_from_the_platform() {
    support::run(async |executor| {
        let mut faulty = FaultyDeployment::start(network::small_plan()).await;
        let load = RequestLoad::start(executor, &faulty.deployment, CALLERS);
        for mode in [FaultMode::Refuse, FaultMode::Broken, FaultMode::None] {
            faulty.set_platform_fault(mode, 0).await;
            faulty.deployment.publish_root().await.unwrap();
            load.wait_for_answers(PROGRESS).await;
        }
        let name = faulty.hosts(None)[0].clone();
        faulty.stop_hosts(&[name]).await;
        load.wait_for_answers(PROGRESS).await;
        let finished = load.finish().await;
        let statistics = faulty.platform_statistics().await;
        assert!(statistics.total > 0);
        assert_eq!(statistics.refused, 0);
        let reads = [CallKind::Read, CallKind::Watch];
        assert!(
            statistics
                .calls
                .iter()
                .all(|call| reads.contains(&call.kind))
        );
        finished.check(&faulty).await;
    });
}
