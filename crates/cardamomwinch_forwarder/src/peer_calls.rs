//! Calls between hosts: one asks, another tells what it believes.

use std::net;
use std::time;

use async_channel::Sender;
use cardamomwinch_coordination::forwarding::discovery::peer_messages::{
    PeerAnswer, PeerQuery, PeerReport,
};
use cardamomwinch_transport::prelude::{CallLimits, PeerClient, PeerRpcError};
use jsonrpsee::RpcModule;
use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::types::{ErrorCode, ErrorObjectOwned};
use snafu::{ResultExt, Snafu};

use crate::control_thread::ControlQuestion;
use crate::peer_wire::{UnknownKindError, WireQuestion, WireReport, WireWord};

/// The method by which a host asks what another believes.
const BELIEFS_METHOD: &str = "beliefs";
/// The method by which a host tells another one what was seen of servers.
const REPORTS_METHOD: &str = "reports";
/// How long a host may take to take reports. One that is up does within milliseconds.
const TELLING_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// How long a host that knows nothing yet waits for another one to take its connection.
/// Hosts of a region are a few milliseconds apart. One that is without power answers
/// nothing: the next one is asked, and the store where none answers, since callers wait.
const START_CONNECT: time::Duration = time::Duration::from_millis(15);

/// Why nothing was learned from a peer.
#[derive(Debug)]
#[derive(Snafu)]
pub enum PeerCallError {
    /// The call failed.
    #[snafu(transparent)]
    Call {
        /// How.
        source: PeerRpcError,
    },
    /// The answer makes no sense.
    #[snafu(display("what the peer {peer} tells makes no sense"))]
    Senseless {
        /// The peer.
        peer: net::SocketAddr,
        /// Why.
        source: UnknownKindError,
    },
}

/// Asks `peer`.
///
/// # Errors
/// Fails where the peer cannot be reached, does not answer in time, or tells what makes
/// no sense.
pub async fn ask(
    client: &PeerClient,
    peer: net::SocketAddr,
    question: PeerQuery,
) -> Result<PeerAnswer, PeerCallError> {
    let mut limits = CallLimits::whole(question.timeout());
    if question.has_no_data() {
        limits.connect = START_CONNECT;
    }
    let params = (WireQuestion::from(question),);
    let word = client.call_within(peer, BELIEFS_METHOD, &params, limits);
    let word: WireWord = word.await?;
    word.try_into().context(SenselessSnafu { peer })
}

/// Tells `peer` what was seen of servers.
///
/// # Errors
/// Fails where the peer cannot be reached or does not answer in time.
pub async fn tell(
    client: &PeerClient,
    peer: net::SocketAddr,
    reports: Vec<PeerReport>,
) -> Result<(), PeerCallError> {
    let reports: Vec<_> = reports.into_iter().map(WireReport::from).collect();
    let params = (reports,);
    let limits = CallLimits::whole(TELLING_TIMEOUT);
    let told = client.call_within(peer, REPORTS_METHOD, &params, limits);
    Ok(told.await?)
}

/// The methods that peers may call; control answers what arrives at `questions`.
///
/// # Errors
/// Fails where a method is named twice.
pub fn peer_module(
    questions: Sender<ControlQuestion>,
) -> Result<RpcModule<()>, RegisterMethodError> {
    let mut module = RpcModule::new(());
    let takers = questions.clone();
    module.register_method(REPORTS_METHOD, move |params, _, _| {
        let reports: Vec<WireReport> = params.one()?;
        let reports = reports.into_iter().map(PeerReport::from).collect();
        let told = takers.try_send(ControlQuestion::Told { reports });
        told.map_err(|_| ErrorObjectOwned::from(ErrorCode::ServerIsBusy))
    })?;
    module.register_async_method(BELIEFS_METHOD, move |params, _, _| {
        let questions = questions.clone();
        async move {
            let question: WireQuestion = params.one()?;
            let (answer, answers) = async_channel::bounded(1);
            let question = ControlQuestion::Peer {
                question: question.into(),
                answer,
            };
            let unavailable = |_| ErrorObjectOwned::from(ErrorCode::ServerIsBusy);
            questions.try_send(question).map_err(|_| unavailable(()))?;
            let word = answers.recv().await.map_err(|_| unavailable(()))?;
            Ok::<_, ErrorObjectOwned>(WireWord::from(word))
        }
    })?;
    Ok(module)
}
