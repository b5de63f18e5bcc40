//! The fabric: the hosts that a datagram reaches, and its form there.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::time;

use async_net::UdpSocket;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_standin::fabric;
use cardamomwinch_standin::prelude::*;
use cardamomwinch_standin::runtime;
use cardamomwinch_state::prelude::*;
use support::{any, service};

fn flow() -> FlowKey {
    FlowKey {
        caller: any(),
        service: service(),
    }
}

async fn start(executor: &TaskExecutor, spray: SprayMode) -> (FabricStandin, [UdpSocket; 2]) {
    let settings = FabricSettings {
        spray,
        ..FabricSettings::default()
    };
    let fabric = FabricStandin::start(executor, settings).await.unwrap();
    let (first, first_address) = fabric::bind_datagrams(any()).await.unwrap();
    let (second, second_address) = fabric::bind_datagrams(any()).await.unwrap();
    fabric.set_hosts(vec![first_address, second_address]);
    (fabric, [first, second])
}

async fn assert_nothing_more(host: &UdpSocket) {
    let limit = time::Instant::now() + time::Duration::from_millis(50);
    let more = runtime::until(limit, host.recv_from(&mut [0; 16])).await;
    assert!(more.is_none());
}

#[test]
fn a_duplicated_datagram_reaches_two_hosts_once_each() {
    support::run(async |executor| {
        let (fabric, hosts) = start(&executor, SprayMode::Random).await;
        fabric.set_faults(DatagramFaults {
            double: 1.0,
            delay_ms: 1,
            ..DatagramFaults::default()
        });
        let (socket, _) = fabric::bind_datagrams(any()).await.unwrap();
        let datagram = CallerDatagram::open(flow(), b"hello");
        support::send(&socket, fabric.caller_address, &datagram).await;
        let mut buffer = [0; codec::DATAGRAM_LIMIT];
        for host in &hosts {
            let (length, _) = host.recv_from(&mut buffer).await.unwrap();
            let received: FabricDatagram<'_> = codec::decode(&buffer[..length]).unwrap();
            assert_eq!(received, FabricDatagram::Caller(datagram));
            assert_nothing_more(host).await;
        }
    });
}

#[test]
fn consecutive_replies_reach_different_hosts_when_rotating() {
    support::run(async |executor| {
        let (fabric, hosts) = start(&executor, SprayMode::Rotate).await;
        let (socket, _) = fabric::bind_datagrams(any()).await.unwrap();
        let reply = BackendReply {
            flow: flow(),
            backend: BackendId::new(1),
            via: HostId::new(2),
            kind: BackendReplyKind::Opened,
        };
        let mut buffer = [0; codec::DATAGRAM_LIMIT];
        for host in hosts.iter().cycle().take(6) {
            support::send(&socket, fabric.return_address, &reply).await;
            let (length, _) = host.recv_from(&mut buffer).await.unwrap();
            let received: FabricDatagram<'_> = codec::decode(&buffer[..length]).unwrap();
            assert_eq!(received, FabricDatagram::Backend(reply));
        }
    });
}

#[test]
fn undecodable_bytes_pass_complete() {
    support::run(async |executor| {
        let (fabric, [host, _]) = start(&executor, SprayMode::Rotate).await;
        let (socket, _) = fabric::bind_datagrams(any()).await.unwrap();
        let oversized = vec![0xff; codec::DATAGRAM_LIMIT + 1];
        socket
            .send_to(&oversized, fabric.caller_address)
            .await
            .unwrap();
        let mut buffer = vec![0; 2 * codec::DATAGRAM_LIMIT];
        let (length, _) = host.recv_from(&mut buffer).await.unwrap();
        assert_eq!(length, oversized.len() + 1);
    });
}
