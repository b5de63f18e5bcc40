//! Servers whose identifiers end alike, so that they share their preferred token.
#![allow(clippy::unwrap_used, missing_docs)]

mod forwarding_support;

use cardamomwinch_coordination::forwarding::directory::{ServerDirectory, ServerRecord};
use cardamomwinch_coordination::forwarding::discovery::DiscoveryEngine;
use cardamomwinch_coordination::forwarding::discovery::store_call::{
    ServerEntry, StoreChange, StoreOutcome, StoreRevision,
};
use cardamomwinch_coordination::forwarding::packet::{FlowPacket, FlowToken, PacketKind};
use cardamomwinch_state::prelude::*;
use forwarding_support::*;

/// The server with the identifier `id`, whose entry `registered` created.
fn server(id: u64, registered: u64) -> ServerRecord {
    ServerRecord {
        id: BackendId::new(id),
        registered: StoreRevision::new(registered),
        changed: StoreRevision::new(registered),
        ..near_server(1)
    }
}

/// Two servers with the same low half; the later one has the lower identifier.
fn earlier() -> ServerRecord {
    server(0xc1_e52f_91d3, 5)
}

fn later() -> ServerRecord {
    server(0x4b_e52f_91d3, 9)
}

fn note(host: &mut TestHost, server: ServerRecord) {
    host.change(|directory| directory.note(server));
}

/// Opens the flow from `port`, and returns its server and the token that its caller gets.
fn open(host: &mut TestHost, moment: u64, port: u16) -> (BackendId, FlowToken) {
    host.handle(at(moment), &opening(port, 0)).sent[0]
}

/// Sends data of the flow from `port`, and returns where they are sent, with which token.
fn send(
    host: &mut TestHost,
    moment: u64,
    port: u16,
    token: FlowToken,
) -> Option<(BackendId, FlowToken)> {
    let packet = FlowPacket {
        kind: PacketKind::Data,
        token,
        length: 50,
        ..opening(port, 0)
    };
    host.handle(at(moment), &packet).sent.first().copied()
}

/// Guards against resets of open flows when a server is added whose identifier ends like that
/// of their own server.
#[test]
fn open_flows_stay_when_a_server_with_the_same_token_is_added() {
    let mut hosts = [1, 2].map(|_| TestHost::new(vec![earlier()]));
    let (id, token) = open(&mut hosts[0], 100, 1);
    assert_eq!(id, earlier().id);
    for host in &mut hosts {
        note(host, later());
        let sent = send(host, 500, 1, token);
        assert_eq!(sent.map(|(id, _)| id), Some(earlier().id));
    }
}

/// Guards against new flows that no token leads to the later of two such servers.
#[test]
fn new_flows_on_servers_that_share_a_token_reach_their_own_server() {
    let mut hosts = [1, 2].map(|_| TestHost::new(vec![earlier(), later()]));
    let mut chosen = Vec::new();
    for port in 1..=40 {
        let (id, token) = open(&mut hosts[0], 100 * u64::from(port), port);
        for host in &mut hosts {
            let sent = send(host, 100 * u64::from(port) + 20, port, token);
            assert_eq!(sent, Some((id, token)));
        }
        chosen.push(id);
    }
    for server in [earlier(), later()] {
        assert!(chosen.contains(&server.id));
    }
}

/// Guards against an unknown token at hosts that have not learned of the later server yet.
#[test]
fn a_host_that_knows_one_of_the_servers_knows_its_further_tokens() {
    let newer = TestHost::new(vec![earlier(), later()]);
    let mut older = TestHost::new(vec![earlier()]);
    let token = newer.view.directory.token_of(earlier().id);
    assert_ne!(token, FlowToken::of_server(earlier().id));
    assert_eq!(
        send(&mut older, 100, 1, token).map(|(id, _)| id),
        Some(earlier().id)
    );
}

/// A flow that was opened before the later server was known gets a token that nothing else
/// shares with its next packet, and no longer depends on which server registered first.
#[test]
fn open_flows_move_to_a_token_of_their_own() {
    let mut host = TestHost::new(vec![earlier()]);
    let (_, shared) = open(&mut host, 100, 1);
    note(&mut host, later());
    let (id, token) = send(&mut host, 300, 1, shared).unwrap();
    assert_eq!(id, earlier().id);
    assert_ne!(token, shared);
    assert_eq!(send(&mut host, 500, 1, token), Some((earlier().id, token)));
}

/// Guards against resets by a host that learns of both servers at the same time and takes the
/// wrong one for the earlier one.
#[test]
fn a_host_that_lists_both_servers_knows_which_one_came_first() {
    let rewritten = ServerRecord {
        changed: StoreRevision::new(20),
        ..earlier()
    };
    for servers in [vec![rewritten.clone(), later()], vec![later(), rewritten]] {
        let token = FlowToken::of_server(later().id);
        let directory = directory(servers);
        assert_eq!(directory.find(token).unwrap().id, earlier().id);
    }
}

/// The entry of `server` in a listing.
fn entry(server: &ServerRecord) -> StoreChange {
    StoreChange::Server(ServerEntry {
        id: server.id,
        started: server.started,
        address: server.address,
        service: server.service,
        domain: server.domain,
        slots: server.slots,
        draining: false,
        cold_left: millis(0),
        registered: server.registered,
        revision: server.changed,
    })
}

/// The engine of host `number`, which has read `servers` from the store.
fn engine_with(number: u8, servers: &[ServerRecord]) -> DiscoveryEngine {
    let mut engine = discovery_engine(number);
    let page = StoreOutcome::Page {
        items: servers.iter().map(entry).collect(),
        revision: StoreRevision::new(30),
        next: None,
    };
    let _call = engine.next_store_call(at(0));
    engine.handle_store(at(1), page);
    engine
}

/// Guards against the same at a host that starts and learns of both servers from a peer.
#[test]
fn a_host_that_learns_of_both_servers_from_a_peer_knows_which_one_came_first() {
    let rewritten = ServerRecord {
        changed: StoreRevision::new(20),
        ..earlier()
    };
    let mut told = engine_with(1, &[rewritten, later()]);
    let mut asking = discovery_engine(3);
    for moment in 0..10 {
        let now = at(10 + 20 * moment);
        if let Some((peer, query)) = asking.next_query(now) {
            let answer = told.answer_query(now, &query);
            asking.handle_answer(now, peer, Some(answer));
        }
    }
    let view = asking.view();
    assert_eq!(view.directory.len(), 2);
    let token = FlowToken::of_server(earlier().id);
    assert_eq!(view.directory.find(token).unwrap().id, earlier().id);
}

/// An entry that expired during an outage of the store is created again, later than that of the
/// other server. Guards against resets of its flows from then on.
#[test]
fn a_server_whose_entry_is_created_again_stays_the_first() {
    let mut directory = directory(vec![earlier()]);
    directory.note_removed(earlier().id, StoreRevision::new(8), at(0));
    directory.note(later());
    directory.note(server(earlier().id.get(), 12));
    let token = FlowToken::of_server(earlier().id);
    assert_eq!(directory.find(token).unwrap().id, earlier().id);
}

/// Callers without a token send zero. Guards against a server that would get their packets.
#[test]
fn a_server_whose_identifier_ends_in_zeros_has_another_token() {
    let zeros = server(0x12_0000_0000, 5);
    let directory = directory(vec![zeros.clone()]);
    let token = directory.token_of(zeros.id);
    assert_ne!(token, FlowToken::NONE);
    assert_eq!(directory.find(token), Some(&zeros));
    assert_eq!(directory.find(FlowToken::NONE), None);
}

/// Identifiers may be counted in their high half. Guards against servers that are told apart by
/// the low half only.
#[test]
fn thousands_of_servers_with_the_same_low_half_have_tokens_of_their_own() {
    let servers = (1..=5_000).map(|number| server(number << 32 | 7, number));
    let directory: ServerDirectory = directory(servers.collect());
    for server in directory.iter() {
        let token = directory.token_of(server.id);
        assert_eq!(directory.find(token), Some(server));
    }
}
