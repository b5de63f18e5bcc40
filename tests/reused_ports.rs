//! Datagrams to a port that a host no longer uses, and who receives them.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::time;

use async_net::UdpSocket;
use cardamomwinch_protocol::prelude::*;
use cardamomwinch_standin::faults::CutMode;
use cardamomwinch_standin::prelude::*;
use support::network::{self, FaultyDeployment, HOME_LEASE_MS};
use support::requests::RequestLoad;
use support::{LIMIT, pause};

/// The ports to which other hosts send. The fabric's port is left out because the
/// fabric is notified at once when a host is removed.
const PORTS: [&str; 2] = ["peer_address", "relay_address"];
/// How long the test lets hosts send to the killed host, in milliseconds.
const LISTEN_MS: u64 = 3_000;
/// The service with the fewest backend servers, one in each failure domain.
const ARCHIVE: &str = "docvault";
/// Flows to each service: enough for each server of the smaller one to have some.
const FLOWS: usize = 16;

/// Guards against callers that bind a port of a killed host and receive what other
/// hosts still send to it, because they don't know yet that it was removed. The caller
/// would count malformed replies.
#[test]
fn a_caller_on_a_port_of_a_killed_host_reads_nothing_of_what_hosts_send_there() {
    support::run(async |executor| {
        let mut faulty = FaultyDeployment::start(network::small_plan()).await;
        let load = RequestLoad::start(executor, &faulty.deployment, FLOWS);
        load.wait_for_answers(20).await;
        let all = faulty.hosts(None);
        faulty.cut_platform(&all, CutMode::Hold).await;
        let home = faulty.home_of_service(ARCHIVE).await;
        let killed = faulty.unpublish_host(&home).await;
        let ports = PORTS.map(|field| killed.address(field).unwrap());
        drop(killed);
        let mut clients = Vec::new();
        let mut sockets = Vec::new();
        for address in ports {
            clients.push(bind_to_port(executor, &faulty, address.port()).await);
            sockets.push(UdpSocket::bind(address).await.unwrap());
        }
        for client in &clients {
            open_once_decided(client).await;
        }
        pause(LISTEN_MS).await;
        for socket in &sockets {
            assert!(
                has_received(socket).await,
                "nothing is sent there any longer"
            );
        }
        for client in &clients {
            assert_eq!(
                client.counters().malformed,
                0,
                "{:?}",
                client.unexpected_replies()
            );
        }
        faulty
            .cut_platform(&faulty.hosts(None), CutMode::None)
            .await;
        load.finish().await.check(&faulty).await;
    });
}

/// Guards against hosts that take messages of another deployment for their own: a host of
/// the same name got the port of a killed one, to which that one's peers still send.
#[test]
fn hosts_on_a_port_of_a_killed_host_of_another_deployment_agree_on_their_homes() {
    support::run(async |_| {
        let mut first = FaultyDeployment::start(network::small_plan()).await;
        let mut version = 0;
        for preset in ["deadline-peak", "ordinary", "deadline-peak"] {
            first.deployment.preset = preset.to_owned();
            version = first.deployment.publish_root().await.unwrap();
        }
        first.wait_for_version(version).await;
        let all = first.hosts(None);
        first.cut_platform(&all, CutMode::Hold).await;
        let killed = first.unpublish_host(&all[0]).await;
        let freed = PORTS.map(|field| (field, killed.address(field).unwrap()));
        drop(killed);
        let mut second = FaultyDeployment::start_without_hosts(network::small_plan()).await;
        for (field, address) in freed {
            let addresses = &mut second.deployment.next_addresses;
            addresses.insert(field.to_owned(), address);
        }
        second.start_hosts().await;
    });
}

/// Binds a caller to `port`.
async fn bind_to_port(
    executor: &TaskExecutor,
    faulty: &FaultyDeployment,
    port: u16,
) -> CallerClient {
    let fabric = faulty.deployment.fabric_address("callers").unwrap();
    let service = faulty.deployment.plan.services[0].address;
    let mut settings = CallerSettings::new(fabric, service);
    settings.port = port;
    let client = CallerClient::bind(executor, settings).await.unwrap();
    assert_eq!(client.flow().caller.port(), port);
    client
}

/// Opens the flow of `client`. It may be refused only after the lease of the killed
/// host has expired and before another host has become home.
async fn open_once_decided(client: &CallerClient) {
    support::eventually("the flow to be open", async || {
        match client.open(b"", LIMIT).await.unwrap() {
            OpenOutcome::Opened => Some(()),
            OpenOutcome::NotRun {
                reason: RefusalReason::HomeUnreachable,
                retry_after,
            } => {
                assert!(retry_after <= time::Duration::from_millis(HOME_LEASE_MS));
                async_io::Timer::after(retry_after).await;
                None
            }
            other => panic!("{other:?}"),
        }
    })
    .await;
}

/// Whether `socket` receives a datagram within 100 ms.
async fn has_received(socket: &UdpSocket) -> bool {
    let received = async { socket.recv_from(&mut [0; 1]).await.is_ok() };
    let timeout = async {
        async_io::Timer::after(time::Duration::from_millis(100)).await;
        false
    };
    futures_lite::future::or(received, timeout).await
}
