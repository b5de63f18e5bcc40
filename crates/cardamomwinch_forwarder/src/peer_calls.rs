//! Calls between hosts: queries for what another host knows, and reports about servers.

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

use crate::control_thread::ControlMessage;
use crate::peer_wire::{UnknownKindError, WireAnswer, WireQuery, WireReport, reports};

/// The method that returns what a host knows.
const BELIEFS_METHOD: &str = "beliefs";
/// The method that receives reports about servers.
const REPORTS_METHOD: &str = "reports";
/// The method that receives reports about outliers. Hosts of earlier builds have no such
/// method and answer with an error.
const OUTLIERS_METHOD: &str = "outliers";
/// The timeout of a call that sends reports. A running host answers within milliseconds.
const REPORTS_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// The connection timeout of a host that has no data yet. Hosts of a region are a few
/// milliseconds apart. A peer without power doesn't answer at all: the host then queries
/// the next one, and the store if no peer answers, because callers are waiting.
const START_CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(15);

/// Why a call to a peer failed.
#[derive(Debug)]
#[derive(Snafu)]
pub enum PeerCallError {
    /// The call failed.
    #[snafu(transparent)]
    Call {
        /// Why it failed.
        source: PeerRpcError,
    },
    /// The answer is malformed.
    #[snafu(display("the answer of the peer {peer} is malformed"))]
    Malformed {
        /// The peer.
        peer: net::SocketAddr,
        /// What is wrong with the answer.
        source: UnknownKindError,
    },
}

/// Sends `query` to `peer` and returns its answer.
///
/// # Errors
/// Fails if the peer cannot be reached, doesn't answer in time, or its answer is malformed.
pub async fn query(
    client: &PeerClient,
    peer: net::SocketAddr,
    query: PeerQuery,
) -> Result<PeerAnswer, PeerCallError> {
    let mut limits = CallLimits::whole(query.timeout());
    if query.has_no_data() {
        limits.connect = START_CONNECT_TIMEOUT;
    }
    let params = (WireQuery::from(query),);
    let answer = client.call_within(peer, BELIEFS_METHOD, &params, limits);
    let answer: WireAnswer = answer.await?;
    answer.try_into().context(MalformedSnafu { peer })
}

/// Sends reports about servers to `peer`. A failure to send reports about outliers is only
/// logged, because earlier builds do not accept them, and they are repeated while they hold.
///
/// # Errors
/// Fails if the other reports cannot be sent: the peer cannot be reached or doesn't answer in
/// time.
pub async fn send_reports(
    client: &PeerClient,
    peer: net::SocketAddr,
    reports: Vec<PeerReport>,
) -> Result<(), PeerCallError> {
    let (reports, outliers) = reports::split(reports);
    if !reports.is_empty() {
        call(client, peer, REPORTS_METHOD, reports).await?;
    }
    if !outliers.is_empty()
        && let Err(error) = call(client, peer, OUTLIERS_METHOD, outliers).await
    {
        log::debug!("cannot send reports about outliers: {error}");
    }
    Ok(())
}

async fn call(
    client: &PeerClient,
    peer: net::SocketAddr,
    method: &'static str,
    reports: Vec<WireReport>,
) -> Result<(), PeerRpcError> {
    let params = (reports,);
    let limits = CallLimits::whole(REPORTS_TIMEOUT);
    client.call_within(peer, method, &params, limits).await
}

/// The methods that peers may call. Calls are passed to the control thread through
/// `control`.
///
/// # Errors
/// Fails if a method is registered twice.
pub fn peer_module(control: Sender<ControlMessage>) -> Result<RpcModule<()>, RegisterMethodError> {
    let mut module = RpcModule::new(());
    for method in [REPORTS_METHOD, OUTLIERS_METHOD] {
        let reports_control = control.clone();
        module.register_method(method, move |params, _, _| {
            let reports: Vec<WireReport> = params.one()?;
            let reports = reports.into_iter().map(PeerReport::from).collect();
            let sent = reports_control.try_send(ControlMessage::PeerReports { reports });
            sent.map_err(|_| ErrorObjectOwned::from(ErrorCode::ServerIsBusy))
        })?;
    }
    module.register_async_method(BELIEFS_METHOD, move |params, _, _| {
        let control = control.clone();
        async move {
            let query: WireQuery = params.one()?;
            let (answer, answers) = async_channel::bounded(1);
            let message = ControlMessage::PeerQuery {
                query: query.into(),
                answer,
            };
            let unavailable = |_| ErrorObjectOwned::from(ErrorCode::ServerIsBusy);
            control.try_send(message).map_err(|_| unavailable(()))?;
            let answer = answers.recv().await.map_err(|_| unavailable(()))?;
            Ok::<_, ErrorObjectOwned>(WireAnswer::from(answer))
        }
    })?;
    Ok(module)
}
