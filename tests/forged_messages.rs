//! Forged and replayed messages change nothing, and hosts never write to the
//! platform.
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
use support::last;
use support::network::{self, FaultyDeployment};
use support::requests::RequestLoad;
use support::sessions::SessionSet;

/// Recorded messages that are waited for, and of which copies are sent.
const RECORDED: usize = 50;
const REPLAYED: &str = "cardamomwinch_peer_messages_replayed_total";
const SESSIONS: usize = 2;
const SEARCH: &str = "benchmark-desk";
const CALLERS: usize = 3;
const PROGRESS: usize = 15;

/// Stands before one address of a host, and keeps a copy of what passes.
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
        let task = executor.spawn(carry(socket.clone(), to, recorded.clone()));
        Self {
            address,
            to,
            socket,
            recorded,
            _task: task,
        }
    }

    /// Waits until enough was recorded and returns that much.
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

async fn carry(
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

/// Whether a replay of `datagram` is dropped and counted. Messages about the
/// configuration may overtake others, so that their copies are merged instead;
/// that changes nothing either.
fn counts_as_replayed(datagram: &[u8]) -> bool {
    let keys = AuthenticationKeys::new(SecretKey::new([1; 32]), None);
    let envelope: PeerEnvelope = keys.open(PEER_CONTEXT, datagram).unwrap();
    !matches!(envelope.message, PeerMessage::Configuration(_))
}

/// The same message as `datagram`, signed with a key that no host accepts.
fn signed_by_other(context: u8, datagram: &[u8]) -> Vec<u8> {
    let keys = AuthenticationKeys::new(SecretKey::new([9; 32]), None);
    let body = &datagram[CODE_LENGTH..];
    let mut buffer = [0; CODE_LENGTH];
    let code = codec::encode(&keys.code(context, body), &mut buffer).unwrap();
    [code, body].concat()
}

/// The value of a counter of a host; zero where it never counted.
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

/// A deployment one of whose hosts is reached through taps.
struct TappedDeployment {
    faulty: FaultyDeployment,
    /// The name of that host; it is home of a server.
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

/// What a host says of itself that no forged message may change.
async fn beliefs(tapped: &TappedDeployment) -> Vec<Value> {
    let (faulty, name) = (&tapped.faulty, &tapped.name);
    let status = faulty.call(name, "status").await.unwrap();
    let mut beliefs: Vec<_> = ["version", "preset", "host_list_version", "phase"]
        .iter()
        .map(|field| status[field].clone())
        .collect();
    let members = faulty.call(name, "members").await.unwrap();
    for member in members.as_array().unwrap() {
        beliefs.push(member["host"].clone());
        beliefs.push(member["reachability"].clone());
        beliefs.push(member["incarnation"].clone());
    }
    beliefs
}

/// Somebody who can send to a host's own addresses sends noise, and messages
/// of the right shape that are signed with another key. The host counts them
/// and goes on as before.
#[test]
fn messages_that_no_host_signed_are_counted_and_change_nothing() {
    support::run(async |executor| {
        let tapped = start_tapped(executor).await;
        let deployment = &tapped.faulty.deployment;
        let sessions = SessionSet::open(executor, deployment, SESSIONS).await;
        let before = beliefs(&tapped).await;
        for (tap, context) in [(&tapped.peer, PEER_CONTEXT), (&tapped.relay, RELAY_CONTEXT)] {
            for (index, recorded) in tap.recorded().await.iter().enumerate() {
                tap.send(&signed_by_other(context, recorded)).await;
                tap.send(&vec![index as u8; 3 * index]).await;
                // So many at once that the socket loses some would prove less.
                last(1).await;
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
        assert_eq!(beliefs(&tapped).await, before);
        sessions.finish().await;
    });
}

/// Somebody records what other hosts send to a host, and sends all of it
/// again. Control messages are counted as replayed and change nothing; relayed
/// requests do not run again.
#[test]
fn replayed_messages_of_hosts_change_nothing() {
    support::run(async |executor| {
        let tapped = start_tapped(executor).await;
        let load = RequestLoad::start(executor, &tapped.faulty.deployment, CALLERS);
        load.wait_for_answers(PROGRESS).await;
        let before = beliefs(&tapped).await;
        let metric_before = metric(tapped.admin, REPLAYED).await;
        let mut sent = 0;
        for recorded in tapped.peer.recorded().await {
            sent += u64::from(counts_as_replayed(&recorded));
            tapped.peer.send(&recorded).await;
            last(1).await;
        }
        for recorded in tapped.relay.recorded().await {
            tapped.relay.send(&recorded).await;
            last(1).await;
        }
        assert!(sent > 0);
        wait_for_metric(tapped.admin, REPLAYED, metric_before + sent).await;
        load.wait_for_answers(PROGRESS).await;
        assert_eq!(beliefs(&tapped).await, before);
        let finished = load.finish().await;
        finished.check(&tapped.faulty).await;
    });
}

/// Hosts start, learn of changes, meet a platform that refuses them, and stop.
/// Nobody may write to the platform but its operators: all that it counted are
/// reads and watches.
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
