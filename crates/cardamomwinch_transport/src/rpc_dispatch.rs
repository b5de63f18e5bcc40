//! Runs the text of a JSON-RPC request against the methods of a module.

use jsonrpsee::RpcModule;
use jsonrpsee::types::{ErrorCode, ErrorObjectOwned};
use serde::Serialize;

/// The capacity for messages of a subscription. None is ever sent, because each
/// exchange is one request and one response, but the library requires at least one.
const SUBSCRIPTION_BUFFER: usize = 1;

#[derive(Serialize)]
struct Rejection {
    jsonrpc: &'static str,
    error: ErrorObjectOwned,
    id: Option<u64>,
}

/// Returns the response to `request`, which is an error response if the request is
/// malformed.
pub(crate) async fn dispatch(module: &RpcModule<()>, request: &[u8]) -> String {
    let Ok(text) = str::from_utf8(request) else {
        return reject(ErrorCode::ParseError);
    };
    match module.raw_json_request(text, SUBSCRIPTION_BUFFER).await {
        Ok((response, _)) => response.get().to_owned(),
        Err(error) if error.is_data() => reject(ErrorCode::InvalidRequest),
        Err(_) => reject(ErrorCode::ParseError),
    }
}

fn reject(code: ErrorCode) -> String {
    let rejection = Rejection {
        jsonrpc: "2.0",
        error: code.into(),
        id: None,
    };
    serde_json::to_string(&rejection).expect("a rejection has only fields that JSON can hold")
}
