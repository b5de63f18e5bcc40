//! Sends and receives control messages between hosts: small ones as datagrams, large ones by
//! authenticated calls over TCP.

use std::net;
use std::sync;
use std::time;

use async_channel::Sender;
use cardamomwinch_coordination::prelude::ControlEvent;
use cardamomwinch_protocol::peer::PEER_CONTEXT;
use cardamomwinch_protocol::prelude::{AuthenticationKeys, PeerEnvelope};
use cardamomwinch_transport::prelude::{DatagramSocket, PeerClient};
use jsonrpsee::RpcModule;
use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::types::ErrorObjectOwned;

use crate::messages::ControlInput;

/// The most bytes of a message that is sent as a datagram. A longer datagram could be
/// fragmented by the network and would be lost with any of its fragments.
const DATAGRAM_MESSAGE_LIMIT: usize = 1200;
/// The timeout for the delivery of a large message.
const DELIVERY_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// The JSON-RPC method that delivers a large message.
const DELIVER_METHOD: &str = "deliver";
/// The JSON-RPC error code of a host whose queue is full.
const BUSY_CODE: i32 = -32_001;

/// Sends control messages to other hosts.
#[derive(Debug, Clone)]
pub struct PeerSender {
    socket: sync::Arc<DatagramSocket>,
    keys: AuthenticationKeys,
}

impl PeerSender {
    /// Creates a sender that sends from `socket` and signs with `keys`.
    pub const fn new(socket: sync::Arc<DatagramSocket>, keys: AuthenticationKeys) -> Self {
        Self { socket, keys }
    }

    /// Sends `envelope` as a datagram, or returns it if it is too large.
    pub fn send_small(
        &self,
        address: net::SocketAddr,
        envelope: PeerEnvelope,
    ) -> Option<PeerEnvelope> {
        let mut buffer = [0; DATAGRAM_MESSAGE_LIMIT];
        let Ok(bytes) = self.keys.seal(PEER_CONTEXT, &envelope, &mut buffer) else {
            return Some(envelope);
        };
        metrics::counter!("cardamomwinch_peer_bytes_sent_total").increment(bytes.len() as u64);
        metrics::counter!("cardamomwinch_peer_messages_sent_total").increment(1);
        if self.socket.send(bytes, address).is_err() {
            metrics::counter!("cardamomwinch_send_failures_total").increment(1);
        }
        None
    }

    /// Delivers `envelope` over TCP. If the call fails, the message is lost, and a host that needs
    /// an answer sends it again.
    pub async fn deliver(self, address: net::SocketAddr, envelope: PeerEnvelope) {
        let client = PeerClient::new(self.keys);
        let params = (envelope,);
        let delivered = client
            .call::<bool, _>(address, DELIVER_METHOD, &params, DELIVERY_TIMEOUT)
            .await;
        if let Err(error) = delivered {
            log::debug!("a large message to {address} was lost: {error}");
        }
    }

    /// Verifies and decodes a datagram; `None` if no accepted key signed it or it is malformed.
    pub fn open(&self, bytes: &[u8]) -> Option<PeerEnvelope> {
        let opened = self.keys.open(PEER_CONTEXT, bytes);
        if opened.is_err() {
            metrics::counter!("cardamomwinch_forged_peer_messages_total").increment(1);
        }
        opened.ok()
    }
}

/// The methods that other hosts may call.
///
/// # Errors
/// Fails if a method is registered twice.
pub fn peer_module(inputs: Sender<ControlInput>) -> Result<RpcModule<()>, RegisterMethodError> {
    let mut module = RpcModule::new(inputs);
    module.register_method(DELIVER_METHOD, |params, inputs, _| {
        let (envelope,): (PeerEnvelope,) = params.parse()?;
        let input = ControlInput::Event(ControlEvent::Peer(envelope));
        match inputs.try_send(input) {
            Ok(()) => Ok(true),
            Err(_) => Err(ErrorObjectOwned::owned(BUSY_CODE, "busy", None::<()>)),
        }
    })?;
    Ok(module.remove_context())
}
