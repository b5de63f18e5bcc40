//! The proxy: forwarding and cutting datagrams and connections.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::time;

use cardamomwinch_standin::fabric;
use cardamomwinch_standin::faults::CutMode;
use cardamomwinch_standin::prelude::*;
use cardamomwinch_standin::proxy::{BlockOrder, ProxyRules, RulesOrder};
use cardamomwinch_standin::runtime;
use support::any;

fn cut(forward: CutMode, backward: CutMode) -> RulesOrder {
    let faults = |cut| DatagramFaults {
        cut,
        ..DatagramFaults::default()
    };
    let rules = ProxyRules {
        forward: faults(forward),
        backward: faults(backward),
    };
    RulesOrder {
        listen: None,
        rules,
    }
}

#[test]
fn datagrams_pass_both_ways_until_one_way_is_cut() {
    support::run(async |executor| {
        let (server, to) = fabric::bind_datagrams(any()).await.unwrap();
        let (client, _) = fabric::bind_datagrams(any()).await.unwrap();
        let proxy = ProxyStandin::start(&executor, any(), 1).await.unwrap();
        let pair = ProxyPair { listen: any(), to };
        let listen = proxy.add(pair).await.unwrap().listen;
        let mut buffer = [0; 16];
        client.send_to(b"one", listen).await.unwrap();
        let (length, upstream) = server.recv_from(&mut buffer).await.unwrap();
        assert_eq!(&buffer[..length], b"one");
        server.send_to(b"back", upstream).await.unwrap();
        let (length, from) = client.recv_from(&mut buffer).await.unwrap();
        assert_eq!((&buffer[..length], from), (&b"back"[..], listen));
        // The forward direction still passes, so the arrival shows that the proxy runs.
        proxy.set_rules(cut(CutMode::None, CutMode::Hold));
        client.send_to(b"two", listen).await.unwrap();
        let (length, upstream) = server.recv_from(&mut buffer).await.unwrap();
        assert_eq!(&buffer[..length], b"two");
        server.send_to(b"lost", upstream).await.unwrap();
        let limit = time::Instant::now() + time::Duration::from_millis(100);
        let received = runtime::until(limit, client.recv_from(&mut buffer)).await;
        assert!(received.is_none());
    });
}

#[test]
fn a_held_connection_continues_and_a_closing_cut_ends_it() {
    support::run(async |executor| {
        let platform = PlatformStandin::start(&executor, PlatformSettings::default());
        let platform = platform.await.unwrap();
        platform.put("root", "x".to_owned());
        let proxy = ProxyStandin::start(&executor, any(), 1).await.unwrap();
        let to = platform.public_address;
        let order = serde_json::json!({"listen": any(), "to": to}).to_string();
        let control = proxy.control_address;
        let added = http::request(control, "POST", "/v1/proxies", order).await;
        let pair: ProxyPair = serde_json::from_slice(&added.unwrap().body).unwrap();
        let path = "/v1/keys/root";
        let through = || http::request(pair.listen, "GET", path, "");
        assert_eq!(through().await.unwrap().status, 200);
        proxy.set_rules(cut(CutMode::Hold, CutMode::None));
        let mut held = Box::pin(through());
        let limit = time::Instant::now() + time::Duration::from_millis(100);
        assert!(runtime::until(limit, &mut held).await.is_none());
        assert_eq!(platform.statistics().total, 1);
        proxy.set_rules(cut(CutMode::None, CutMode::None));
        assert_eq!(held.await.unwrap().status, 200);
        let rules = r#"{"forward":{"cut":"close"}}"#;
        let set = http::request(control, "PUT", "/v1/rules", rules).await;
        assert_eq!(set.unwrap().status, 204);
        through().await.unwrap_err();
    });
}

#[test]
fn datagrams_of_a_blocked_client_are_dropped_and_those_of_others_pass() {
    support::run(async |executor| {
        let (server, to) = fabric::bind_datagrams(any()).await.unwrap();
        let (blocked, address) = fabric::bind_datagrams(any()).await.unwrap();
        let (other, _) = fabric::bind_datagrams(any()).await.unwrap();
        let proxy = ProxyStandin::start(&executor, any(), 1).await.unwrap();
        let pair = ProxyPair { listen: any(), to };
        let listen = proxy.add(pair).await.unwrap().listen;
        proxy.block(&BlockOrder {
            listen: Some(listen),
            clients: vec![address],
            close_connections: false,
        });
        let mut buffer = [0; 16];
        blocked.send_to(b"lost", listen).await.unwrap();
        other.send_to(b"other", listen).await.unwrap();
        let (length, _) = server.recv_from(&mut buffer).await.unwrap();
        assert_eq!(&buffer[..length], b"other");
        proxy.block(&BlockOrder::default());
        blocked.send_to(b"again", listen).await.unwrap();
        let (length, _) = server.recv_from(&mut buffer).await.unwrap();
        assert_eq!(&buffer[..length], b"again");
    });
}
