//! The administration API: JSON-RPC methods on the management endpoint.

pub mod explain;
pub mod reports;

use std::sync;

use async_channel::Sender;
use cardamomwinch_coordination::prelude::{RoutingSnapshot, ServingPhase};
use cardamomwinch_protocol::administration as api;
use cardamomwinch_protocol::prelude::TokenIssuer;
use cardamomwinch_transport::prelude::ReadinessSource;
use jsonrpsee::RpcModule;
use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::types::ErrorObjectOwned;
use snafu::Snafu;

use crate::messages::{ControlInput, ControlQuery, TrafficInput, TrafficQuery};
use crate::snapshot_cell::SnapshotCell;
use crate::stopping;

/// The JSON-RPC error code of a call that this host cannot answer now.
const UNAVAILABLE_CODE: i32 = -32_002;
/// The JSON-RPC error code of malformed parameters.
const PARAMETERS_CODE: i32 = -32_602;
/// The most flows that one call returns.
const FLOWS_LIMIT: u32 = 10_000;

/// Why a call was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Snafu)]
pub enum CallError {
    /// A thread does not answer because the process is exiting.
    #[snafu(display("the host is ending"))]
    Ending,
    /// The flow is malformed.
    #[snafu(display("{message}"))]
    Flow {
        /// What is wrong.
        message: String,
    },
    /// The token is malformed.
    #[snafu(display("the token is not a token in hexadecimal digits"))]
    Token,
}

impl From<CallError> for ErrorObjectOwned {
    fn from(error: CallError) -> Self {
        let code = match error {
            CallError::Ending => UNAVAILABLE_CODE,
            CallError::Flow { .. } | CallError::Token => PARAMETERS_CODE,
        };
        Self::owned(code, error.to_string(), None::<()>)
    }
}

/// What the methods use.
#[derive(Debug, Clone)]
pub struct AdministrationContext {
    /// The queue of the control thread.
    pub control: Sender<ControlInput>,
    /// The queues of the traffic threads.
    pub threads: Vec<Sender<TrafficInput>>,
    /// Requests a graceful stop of the process.
    pub stop: Sender<()>,
    /// The published snapshot.
    pub snapshots: SnapshotCell,
    /// Verifies routing tokens.
    pub tokens: TokenIssuer,
}

impl AdministrationContext {
    async fn status(&self) -> Result<api::StatusReport, CallError> {
        let (answer, answers) = async_channel::bounded(1);
        let query = ControlInput::Query(ControlQuery::Status(answer));
        self.query_control(query).await?;
        let mut report = answers.recv().await.map_err(|_| CallError::Ending)?;
        let load = stopping::gather_load(&self.threads).await;
        report.flows = load.flows;
        report.pending_requests = load.pending_requests;
        Ok(report)
    }

    async fn members(&self) -> Result<Vec<api::MemberReport>, CallError> {
        let (answer, answers) = async_channel::bounded(1);
        let query = ControlInput::Query(ControlQuery::Members(answer));
        self.query_control(query).await?;
        answers.recv().await.map_err(|_| CallError::Ending)
    }

    async fn backends(&self) -> Vec<api::BackendReport> {
        let load = stopping::gather_load(&self.threads).await;
        reports::backends(&self.snapshots.load(), &load)
    }

    async fn flows(&self, limit: u32) -> Result<api::FlowsReport, CallError> {
        let limit = limit.min(FLOWS_LIMIT) as usize;
        let mut flows = Vec::new();
        for thread in &self.threads {
            let (answer, answers) = async_channel::bounded(1);
            let limit = limit - flows.len();
            let query = TrafficQuery::Flows { limit, answer };
            self.query_thread(thread, query).await?;
            flows.extend(answers.recv().await.map_err(|_| CallError::Ending)?);
        }
        let total = stopping::gather_load(&self.threads).await.flows;
        Ok(api::FlowsReport { total, flows })
    }

    async fn explain(
        &self,
        parameters: api::ExplainParameters,
    ) -> Result<api::ExplainReport, CallError> {
        let query = explain::FlowQuery::parse(&parameters, &self.tokens)?;
        let mut pinned = None;
        for thread in &self.threads {
            let (answer, answers) = async_channel::bounded(1);
            let flow = query.flow;
            self.query_thread(thread, TrafficQuery::Pin { flow, answer })
                .await?;
            let pin = answers.recv().await.map_err(|_| CallError::Ending)?;
            pinned = pinned.or(pin);
        }
        Ok(query.explain(&self.snapshots.load(), pinned))
    }

    fn stop(&self) -> api::StopReport {
        let accepted = self.stop.try_send(()).is_ok();
        api::StopReport { accepted }
    }

    async fn query_control(&self, input: ControlInput) -> Result<(), CallError> {
        let sent = self.control.send(input).await;
        sent.map_err(|_| CallError::Ending)
    }

    async fn query_thread(
        &self,
        thread: &Sender<TrafficInput>,
        query: TrafficQuery,
    ) -> Result<(), CallError> {
        let sent = thread.send(TrafficInput::Query(query)).await;
        sent.map_err(|_| CallError::Ending)
    }
}

/// The methods of the API.
///
/// # Errors
/// Fails if a method is registered twice.
pub fn module(context: AdministrationContext) -> Result<RpcModule<()>, RegisterMethodError> {
    let mut module = RpcModule::new(context);
    module.register_async_method(api::STATUS_METHOD, |_, context, _| async move {
        context.status().await.map_err(ErrorObjectOwned::from)
    })?;
    module.register_async_method(api::MEMBERS_METHOD, |_, context, _| async move {
        context.members().await.map_err(ErrorObjectOwned::from)
    })?;
    module.register_async_method(api::BACKENDS_METHOD, |_, context, _| async move {
        Ok::<_, ErrorObjectOwned>(context.backends().await)
    })?;
    module.register_async_method(api::FLOWS_METHOD, |params, context, _| async move {
        let parameters: api::FlowsParameters = params.parse()?;
        let report = context.flows(parameters.limit).await;
        report.map_err(ErrorObjectOwned::from)
    })?;
    module.register_async_method(api::EXPLAIN_METHOD, |params, context, _| async move {
        let parameters: api::ExplainParameters = params.parse()?;
        let report = context.explain(parameters).await;
        report.map_err(ErrorObjectOwned::from)
    })?;
    module.register_method(api::STOP_METHOD, |_, context, _| {
        Ok::<_, ErrorObjectOwned>(context.stop())
    })?;
    Ok(module.remove_context())
}

/// Reports the host as ready while the phase of the published snapshot is serving.
#[derive(Debug, Clone)]
pub struct SnapshotReadiness {
    /// The published snapshot.
    pub snapshots: SnapshotCell,
}

impl ReadinessSource for SnapshotReadiness {
    fn is_ready(&self) -> bool {
        let snapshot: sync::Arc<RoutingSnapshot> = self.snapshots.load();
        snapshot.phase == ServingPhase::Serving
    }
}
