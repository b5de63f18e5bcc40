//! Explains where a datagram of a flow would be sent now, and why.

use cardamomwinch_coordination::prelude::{DecisionReason, RoutingSnapshot};
use cardamomwinch_protocol::administration as api;
use cardamomwinch_protocol::codec;
use cardamomwinch_protocol::prelude::{RoutingToken, TokenClaim, TokenIssuer};
use cardamomwinch_state::prelude::{BackendId, ConfigurationVersion, FlowHasher, FlowKey, ShardId};

use crate::administration::CallError;

/// The reason if only the home can decide: it may have a pin that this host does not know, or
/// place a new flow by load. The report then names the backend server that the lookup table
/// selects.
const HOME_DECIDES: &str = "home_decides";

/// The flow that an operator asks about, with its routing token if one was given.
#[derive(Debug, Clone, Copy)]
pub struct FlowQuery {
    /// The flow.
    pub flow: FlowKey,
    /// `None` if no token was given, `Some(None)` if the token is not genuine.
    token: Option<Option<TokenClaim>>,
}

impl FlowQuery {
    /// Parses the parameters of the call and verifies the token.
    ///
    /// # Errors
    /// Fails if the flow or the token is malformed.
    pub fn parse(
        parameters: &api::ExplainParameters,
        tokens: &TokenIssuer,
    ) -> Result<Self, CallError> {
        let flow: FlowKey = parameters.flow.parse().map_err(
            |error: cardamomwinch_state::flow::FlowParseError| CallError::Flow {
                message: error.to_string(),
            },
        )?;
        let token = match &parameters.token {
            None => None,
            Some(digits) => {
                let token = parse_token(digits).ok_or(CallError::Token)?;
                Some(tokens.verify(&flow, &token))
            }
        };
        Ok(Self { flow, token })
    }

    /// Where the flow goes according to `snapshot`. `pinned` is the server to which a traffic
    /// thread of this host has pinned it.
    pub fn explain(
        &self,
        snapshot: &RoutingSnapshot,
        pinned: Option<BackendId>,
    ) -> api::ExplainReport {
        let version = snapshot.version();
        let version = (version > ConfigurationVersion::ZERO).then_some(version);
        let service = snapshot.service_of(self.flow.service);
        let Some(service) = service else {
            return api::ExplainReport {
                service: None,
                backend: None,
                home_host: None,
                reason: "unknown_service".to_owned(),
                version,
                candidates: Vec::new(),
            };
        };
        let hasher = FlowHasher::new(snapshot.configuration.limits.flow_hash_seed);
        let tables = snapshot.generations.first();
        let selected = tables.and_then(|tables| tables.select(service.id, hasher.hash(&self.flow)));
        let backend = match (self.token, pinned) {
            (Some(Some(claim)), _) => Some(claim.backend),
            (_, Some(backend)) => Some(backend),
            _ => selected,
        };
        let entry = backend.and_then(|id| snapshot.backend(id));
        let shard = entry.map(|entry| snapshot.shard_of(entry));
        let decides_here =
            shard.is_some_and(|shard| snapshot.lease_at(shard, snapshot.made).is_some());
        let reason = match (self.token, pinned) {
            (Some(Some(_)), _) => DecisionReason::Token.to_string(),
            (_, Some(_)) => DecisionReason::Pin.to_string(),
            _ if decides_here => DecisionReason::PlacedByTable.to_string(),
            _ => HOME_DECIDES.to_owned(),
        };
        api::ExplainReport {
            service: Some(service.name.clone()),
            backend: entry.map(|entry| entry.name.clone()),
            home_host: shard.and_then(|shard| home_name(snapshot, shard)),
            reason,
            version,
            candidates: Vec::new(),
        }
    }
}

fn home_name(snapshot: &RoutingSnapshot, shard: ShardId) -> Option<String> {
    let home = snapshot.shard(shard).home?;
    Some(snapshot.hosts.get(home)?.name.clone())
}

fn parse_token(digits: &str) -> Option<RoutingToken> {
    let pairs = digits.as_bytes().chunks(2);
    let bytes: Option<Vec<u8>> = pairs
        .map(|pair| {
            let text = std::str::from_utf8(pair).ok()?;
            let whole = pair.len() == 2;
            whole.then(|| u8::from_str_radix(text, 16).ok())?
        })
        .collect();
    codec::decode(&bytes?).ok()
}
