//! Datagram sockets on loopback.
#![allow(clippy::unwrap_used, missing_docs)]

use std::net;

use async_io::block_on;
use cardamomwinch_transport::prelude::*;
use futures_lite::future;

fn bind(address: net::SocketAddr, shared: bool) -> Result<DatagramSocket, DatagramError> {
    DatagramSocket::bind(DatagramOptions {
        address,
        receive_buffer: 256 * 1024,
        shared,
    })
}

fn any_port() -> net::SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

#[test]
fn sockets_share_an_address_and_lose_nothing() {
    let first = bind(any_port(), true).unwrap();
    let address = first.local_address().unwrap();
    let second = bind(address, true).unwrap();
    let senders: Vec<_> = (0..32).map(|_| bind(any_port(), false).unwrap()).collect();
    for (index, sender) in senders.iter().enumerate() {
        sender
            .send(&[u8::try_from(index).unwrap()], address)
            .unwrap();
    }
    let mut seen = Vec::new();
    while seen.len() < senders.len() {
        let (mut left, mut right) = ([0; 16], [0; 16]);
        let received = block_on(future::or(
            async { (first.receive(&mut left).await, true) },
            async { (second.receive(&mut right).await, false) },
        ));
        let (Ok(datagram), is_first) = received else {
            panic!("{received:?}");
        };
        assert_eq!(datagram.length, 1);
        seen.push(if is_first { left[0] } else { right[0] });
    }
    seen.sort_unstable();
    assert!(seen.into_iter().eq(0..32));
}

#[test]
fn a_burst_is_drained_without_waiting() {
    let receiver = bind(any_port(), false).unwrap();
    let sender = bind(any_port(), false).unwrap();
    let address = receiver.local_address().unwrap();
    let mut buffer = [0; 16];
    assert_eq!(receiver.try_receive(&mut buffer).unwrap(), None);
    for byte in 0..5 {
        sender.send(&[byte], address).unwrap();
    }
    block_on(receiver.receive(&mut buffer)).unwrap();
    let mut drained = vec![buffer[0]];
    while let Some(datagram) = receiver.try_receive(&mut buffer).unwrap() {
        assert_eq!(datagram.source, sender.local_address().unwrap());
        drained.push(buffer[0]);
    }
    assert_eq!(drained, [0, 1, 2, 3, 4]);
}

// The process of a backend server has just ended, and a datagram to its port is
// refused. Some systems report this on the socket at the next receive. If the host
// treated it as a failure of the socket, it would stop serving everybody else.
#[test]
fn a_closed_port_does_not_stop_the_socket() {
    let closed = bind(any_port(), false).unwrap().local_address().unwrap();
    let socket = bind(any_port(), false).unwrap();
    let sender = bind(any_port(), false).unwrap();
    let _ = socket.send(b"lost", closed);
    sender
        .send(b"kept", socket.local_address().unwrap())
        .unwrap();
    let mut buffer = [0; 16];
    let datagram = block_on(socket.receive(&mut buffer)).unwrap();
    assert_eq!(&buffer[..datagram.length], b"kept");
}

#[test]
fn an_address_in_use_and_an_oversized_datagram_are_typed_errors() {
    let socket = bind(any_port(), false).unwrap();
    let address = socket.local_address().unwrap();
    assert!(matches!(
        bind(address, false),
        Err(DatagramError::Bind { .. })
    ));
    let outcome = socket.send(&[0; 70_000], address);
    assert!(matches!(outcome, Err(DatagramError::Send { .. })));
    assert_eq!(socket.dropped_count(), 0);
}

#[test]
fn a_waiting_socket_receives_in_time_or_not_at_all() {
    let options = |address| DatagramOptions {
        address,
        receive_buffer: 256 * 1024,
        shared: false,
    };
    let taken = bind(any_port(), false).unwrap();
    let address = taken.local_address().unwrap();
    assert!(BlockingSocket::bind(options(address)).is_err(), "taken");
    drop(taken);
    let mut receiver = BlockingSocket::bind(options(address)).unwrap();
    let short = std::time::Duration::from_millis(1);
    let mut buffer = [0; 16];
    assert_eq!(receiver.receive(&mut buffer, short).unwrap(), None);
    let sender = BlockingSocket::bind(options(any_port())).unwrap();
    sender.send(b"packet", address).unwrap();
    let long = std::time::Duration::from_secs(20);
    let received = receiver.receive(&mut buffer, long).unwrap();
    assert_eq!(received.map(|one| one.length), Some(6));
}
