//! The administration API of a forwarding host, for operators.

use async_channel::Sender;
use cardamomwinch_coordination::forwarding::discovery::DiscoveryEngine;
use cardamomwinch_coordination::forwarding::explanation;
use cardamomwinch_coordination::forwarding::packet::FlowToken;
use cardamomwinch_coordination::forwarding::view::ForwardingView;
use cardamomwinch_protocol::administration as api;
use cardamomwinch_state::flow::{FlowHasher, FlowKey, FlowParseError};
use cardamomwinch_state::prelude::Timestamp;
use cardamomwinch_transport::prelude::{Clock, HostClock};
use jsonrpsee::RpcModule;
use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::types::{ErrorCode, ErrorObjectOwned};
use snafu::{ResultExt, Snafu};

use crate::control_thread::ControlMessage;
use crate::discovery_lines;
use crate::view_cell::ViewCell;

/// What the methods need to answer.
#[derive(Clone)]
pub struct AdministrationContext {
    /// Sends messages to the control thread.
    pub control: Sender<ControlMessage>,
    /// The views that the traffic thread uses.
    pub views: ViewCell,
    /// The hash of flows, the same on all hosts.
    pub hasher: FlowHasher,
    /// The clock of the views.
    pub clock: HostClock,
}

/// The parameters of a call are invalid.
#[derive(Debug)]
#[derive(Snafu)]
enum ParameterError {
    #[snafu(display("{source}"))]
    Flow { source: FlowParseError },
    #[snafu(display("a token is up to eight hexadecimal digits, found {found:?}"))]
    Token {
        found: String,
        source: std::num::ParseIntError,
    },
}

impl From<ParameterError> for ErrorObjectOwned {
    fn from(error: ParameterError) -> Self {
        Self::owned(
            ErrorCode::InvalidParams.code(),
            error.to_string(),
            None::<()>,
        )
    }
}

/// Describes what `engine` knows at `now`.
pub fn describe_discovery(engine: &DiscoveryEngine, now: Timestamp) -> api::DiscoveryReport {
    let view = engine.view();
    let servers = view.directory.iter().map(|server| api::KnownServer {
        server: server.id.to_string(),
        address: server.address,
        service: server.service.to_string(),
        own_domain: view.domain == Some(server.domain),
        phase: discovery_lines::phase_name(server.phase).to_owned(),
    });
    let evacuated = view.directory.evacuations().iter();
    let evacuated = evacuated.filter(|evacuation| evacuation.is_active());
    let hosts = engine.peers().hosts();
    api::DiscoveryReport {
        version: view.routes.version().get(),
        store_era: engine.revision().era().get(),
        revision: engine.revision().get(),
        view_age_ms: view.age(now).as_millis() as u64,
        source: engine.source().to_string(),
        complete: view.is_complete(now),
        routes: view.routes.len(),
        evacuated_domains: evacuated.map(|one| one.domain.to_string()).collect(),
        peers: hosts.iter().map(|host| host.address).collect(),
        servers: servers.collect(),
    }
}

/// Explains where `view` would send a packet.
fn explain(
    parameters: &api::ExplainParameters,
    view: &ForwardingView,
    hasher: FlowHasher,
    now: Timestamp,
) -> Result<api::ExplainReport, ParameterError> {
    let flow: FlowKey = parameters.flow.parse().context(FlowSnafu)?;
    let token = parameters.token.as_ref().map(|digits| {
        let token = digits.parse::<FlowToken>();
        token.context(TokenSnafu { found: digits })
    });
    let explained = explanation::explain(view, &flow, token.transpose()?, hasher, now);
    let candidates = explained.candidates.iter();
    Ok(api::ExplainReport {
        service: explained.service.map(|service| service.to_string()),
        backend: explained.server.map(|server| server.to_string()),
        home_host: None,
        reason: explained.outcome.name().to_owned(),
        version: (!view.routes.is_empty()).then(|| view.routes.version()),
        candidates: candidates.map(ToString::to_string).collect(),
    })
}

/// The methods of the administration API.
///
/// # Errors
/// Fails if a method is registered twice.
pub fn module(context: AdministrationContext) -> Result<RpcModule<()>, RegisterMethodError> {
    let mut module = RpcModule::new(());
    let control = context.control.clone();
    module.register_async_method(api::BELIEFS_METHOD, move |_, _, _| {
        let control = control.clone();
        async move {
            let (answer, answers) = async_channel::bounded(1);
            let message = ControlMessage::OperatorQuery { answer };
            let busy = || ErrorObjectOwned::from(ErrorCode::ServerIsBusy);
            control.try_send(message).map_err(|_| busy())?;
            answers.recv().await.map_err(|_| busy())
        }
    })?;
    module.register_method(api::EXPLAIN_METHOD, move |params, _, _| {
        let parameters: api::ExplainParameters = params.parse()?;
        let view = context.views.load();
        let now = context.clock.now();
        let report = explain(&parameters, &view, context.hasher, now)?;
        Ok::<_, ErrorObjectOwned>(report)
    })?;
    Ok(module)
}
