//! Responses of the admin port.

use std::io::Cursor;

use kestrellock_core::admin::AdminError;
use kestrellock_core::outcome::ResultCode;
use serde::Serialize;
use tiny_http::{Header, Response};

const JSON: &str = "application/json";
const PROMETHEUS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Status, content type and body of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminResponse {
    status: u16,
    content_type: &'static str,
    body: String,
}

impl AdminResponse {
    /// A JSON body with status 200.
    pub fn json(value: &impl Serialize) -> Self {
        Self::json_with_status(200, value)
    }

    /// A JSON body with another status.
    pub fn json_with_status(status: u16, value: &impl Serialize) -> Self {
        let body = serde_json::to_string_pretty(value).unwrap_or_default();
        Self { status, content_type: JSON, body: body + "\n" }
    }

    /// Metrics in the OpenMetrics text format, with status 200.
    pub fn metrics(body: String) -> Self {
        Self { status: 200, content_type: PROMETHEUS, body }
    }

    /// A numbered error, with the HTTP status for its number.
    pub fn error(error: AdminError) -> Self {
        let is = |code: ResultCode| error.code == code.to_string();
        let status = match () {
            () if is(ResultCode::AdminTokenRefused) => 401,
            () if is(ResultCode::NoSuchEntry) => 404,
            () if is(ResultCode::ConfigurationConflict) => 409,
            () if is(ResultCode::ConfigurationInvalid) => 422,
            () if is(ResultCode::StoreUnavailable) || is(ResultCode::StoreInDoubt) => 503,
            () if is(ResultCode::AdminRequestRefused) => 400,
            () => 500,
        };
        Self::json_with_status(status, &error)
    }

    /// Converts to an HTTP response.
    pub fn into_response(self) -> Response<Cursor<Vec<u8>>> {
        let response = Response::from_string(self.body).with_status_code(self.status);
        match Header::from_bytes("Content-Type", self.content_type) {
            Ok(header) => response.with_header(header),
            Err(()) => response,
        }
    }
}
