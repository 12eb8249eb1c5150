//! Reads what arrives on a connection that carries no call, until nothing more is expected.

use std::rc::Rc;
use std::time::{Duration, Instant};

use sailcart::EndpointId;

use super::log_lines::log_code;
use crate::deadline::until;
use crate::endpoint_connection::EndpointConnection;
use crate::outgoing::{CallOwner, CallsInDoubt, MAX_KEPT_BODY_BYTES, ReceivedResponse};
use crate::response::Response;

/// Reads what arrives on a connection that carries no call until it has settled. Returns the connection if it
/// can carry another call.
pub(super) async fn read_until_settled(
    endpoint: EndpointId,
    mut connection: EndpointConnection,
    owner: &Rc<impl CallOwner>,
) -> Option<EndpointConnection> {
    let settled_at = Instant::now() + owner.settle_time();
    let mut has_extra_input = !connection.buffer.is_empty();
    loop {
        let mut response = Response::default();
        let Ok(read) =
            until(settled_at.into(), connection.read_response(MAX_KEPT_BODY_BYTES, &mut response)).await
        else {
            has_extra_input |= response.first_byte_at.is_some();
            break;
        };
        if let Err(error) = read {
            if response.first_byte_at.is_some() {
                owner.extra_response_received(endpoint, response.head.as_ref());
            }
            connection.log_end(log_code(&error));
            return None;
        }
        has_extra_input = true;
        owner.resolve(record_extra_response(endpoint, &mut connection, response, owner));
    }
    if has_extra_input {
        connection.log_end("extra_answer");
        return None;
    }
    if let Some(code) = connection.close_when_settled {
        connection.log_end(code);
        return None;
    }
    connection.matcher.settle(connection.age(), Duration::ZERO);
    if connection.matcher.has_doubt() && owner.closes_settled_in_doubt() {
        connection.log_end("in_doubt");
        return None;
    }
    connection.socket.clear_read_readiness();
    Some(connection)
}

/// Passes a response that belongs to no call in flight to the owner. Returns the calls that it concerns.
pub(super) fn record_extra_response(
    endpoint: EndpointId,
    connection: &mut EndpointConnection,
    response: Response,
    owner: &Rc<impl CallOwner>,
) -> CallsInDoubt {
    log::debug!("extra response on {connection}: status={:?}", response.status.unwrap_or_default());
    owner.extra_response_received(endpoint, response.head.as_ref());
    let (now, fingerprint) = (connection.age(), response.fingerprint);
    let received = ReceivedResponse::of(response);
    connection.matcher.extra_response_received(now, fingerprint, received.to_keep(true))
}
