//! Replies to the commands of a client's connection: which are pending, and writing them in the order of the commands.

use std::collections::VecDeque;

use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

use super::connection::Connection;
use super::{IO_TIMEOUT, reject};
use crate::exchange::SubmitReply;
use crate::memory_share::Reservation;
use crate::socket::Socket;
use crate::wire::resp;

/// Replies are written together up to this size.
const MAX_JOINED_REPLY_BYTES: usize = 4 * 1024;

/// A command whose bytes are no longer needed, and whose reply is not written yet.
pub(super) struct PendingCommand {
    pub(super) reply: PendingReply,
    /// The memory of the command and of its reply.
    pub(super) reservation: Reservation,
}

pub(super) enum PendingReply {
    /// The reply is known.
    Ready(Vec<u8>),
    /// The packet was submitted to the exchange.
    Submitted(tokio::sync::oneshot::Receiver<SubmitReply>),
}

impl PendingReply {
    /// Waits for the reply. Cancel safe: the future may be dropped and recreated until it has returned the
    /// reply.
    async fn wait(&mut self, connection: &Connection) -> Vec<u8> {
        let submit_reply = match self {
            PendingReply::Ready(reply) => return std::mem::take(reply),
            PendingReply::Submitted(submit_reply) => submit_reply.await,
        };
        match submit_reply {
            Ok(SubmitReply::Accepted) => resp::ACCEPTED.to_vec(),
            Ok(SubmitReply::Dismissed(wait)) => resp::busy(wait),
            Ok(SubmitReply::Scrapped) => resp::error("given up"),
            Ok(SubmitReply::Unknown(what)) => reject(what, connection),
            Err(_) => resp::busy(None),
        }
    }
}

/// A reply with the reservation of its memory.
pub(super) struct Reply {
    bytes: Vec<u8>,
    _reservation: Option<Reservation>,
}

/// Waits for the reply to the first pending command and removes the command. Cancel safe, as is
/// [`PendingReply::wait`].
pub(super) async fn next_reply(pending: &mut VecDeque<PendingCommand>, connection: &Connection) -> Reply {
    let Some(command) = pending.front_mut() else { return Reply { bytes: Vec::new(), _reservation: None } };
    let bytes = command.reply.wait(connection).await;
    let command = pending.pop_front();
    Reply { bytes, _reservation: command.map(|command| command.reservation) }
}

/// Writes a reply together with those that follow it, are already known and are short.
pub(super) async fn write_replies(
    stream: &mut Socket,
    first: Reply,
    pending: &mut VecDeque<PendingCommand>,
    replies_sent: &mut u64,
) -> Result<(), &'static str> {
    let Reply { bytes: mut replies, _reservation } = first;
    *replies_sent += 1;
    while let Some(PendingCommand { reply: PendingReply::Ready(next), .. }) = pending.front() {
        if replies.len() + next.len() > MAX_JOINED_REPLY_BYTES {
            break;
        }
        replies.extend_from_slice(next);
        pending.pop_front();
        *replies_sent += 1;
    }
    if pending.is_empty() {
        *pending = VecDeque::new();
    }
    match timeout(IO_TIMEOUT, stream.write_all(&replies)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => Err("reset"),
        Err(_) => Err("slow"),
    }
}
