//! Requests and responses of JSON-RPC 2.0.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// The version of JSON-RPC.
pub const PROTOCOL_VERSION: &str = "2.0";

/// The identifier of the only request on a connection.
pub const REQUEST_ID: u64 = 1;

/// A request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct RpcRequest<'a, P> {
    jsonrpc: &'static str,
    id: u64,
    method: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    params: Option<&'a P>,
}

impl<'a, P> RpcRequest<'a, P> {
    /// Creates a request for `method`. `parameters` is `None` if it takes none.
    pub const fn new(method: &'a str, parameters: Option<&'a P>) -> Self {
        Self {
            jsonrpc: PROTOCOL_VERSION,
            id: REQUEST_ID,
            method,
            params: parameters,
        }
    }
}

/// Why a host refuses a request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct RpcError {
    /// The error code of JSON-RPC.
    pub code: i64,
    /// The message for people.
    pub message: String,
}

/// A response: either a result or an error.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct RpcResponse<'a> {
    /// The result, if the request succeeded.
    #[serde(borrow, default)]
    pub result: Option<&'a RawValue>,
    /// The error, if the request failed.
    #[serde(default)]
    pub error: Option<RpcError>,
}
