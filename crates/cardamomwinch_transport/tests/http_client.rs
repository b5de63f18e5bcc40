//! The HTTP client against addresses that do not answer.
#![allow(clippy::unwrap_used, missing_docs)]

use std::net;
use std::time;

use async_io::block_on;
use cardamomwinch_transport::http_client::{
    CONNECT_TIMEOUT, ExchangeLimits, HttpClient, HttpError,
};
use socket2::{Domain, Socket, Type};

/// The store is behind a partition: nothing answers, not even with a refusal. A
/// client that used the whole timeout of a long call for connecting would still be
/// waiting long after the partition has healed.
///
/// Here the queue of a listener is full, so that it drops further connection attempts
/// in the same way.
#[test]
fn connecting_to_an_address_that_does_not_answer_times_out() {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any: net::SocketAddr = "127.0.0.1:0".parse().unwrap();
    listener.bind(&any.into()).unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    let mut filling = Vec::new();
    for _ in 0..8 {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_nonblocking(true).unwrap();
        // The connection attempt is sent whether or not it is answered.
        let _ = socket.connect(&address.into());
        filling.push(socket);
    }
    let limits = ExchangeLimits {
        timeout: time::Duration::from_secs(60),
        body: 1_024,
    };
    let outcome = block_on(HttpClient::new(address).get("/", limits));
    let Err(HttpError::TimedOut { limit, .. }) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(limit, CONNECT_TIMEOUT);
}
