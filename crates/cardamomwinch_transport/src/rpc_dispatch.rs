//! Hands the text of a JSON-RPC request to a module.

use jsonrpsee::RpcModule;
use jsonrpsee::types::{ErrorCode, ErrorObjectOwned};
use serde::Serialize;

/// The room for messages of a subscription. None is ever sent, because each
/// exchange is one request and one response, but the library wants one at least.
const SUBSCRIPTION_BUFFER: usize = 1;

#[derive(Serialize)]
struct Rejection {
    jsonrpc: &'static str,
    error: ErrorObjectOwned,
    id: Option<u64>,
}

/// The response to `request`, which also tells where the request is malformed.
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
