//! The troubles of a soak that strike a sender's machine or a link, as they are drawn for each sender.

use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use sailcart_shim::{
    EADDRNOTAVAIL, ECONNABORTED, EHOSTUNREACH, EIO, EMFILE, ENETUNREACH, ENFILE, ENOBUFS, ENOSPC, ETIMEDOUT,
};

use super::kinds::SoakKind;
use super::proxy::Manner;
use super::schedule::Planned;
use crate::plan::{SenderId, chance};

/// The stream of chance of these draws.
const STREAM: u64 = 21;
/// Of the senders, one in so many is left out of a trouble.
const SPARED: u32 = 4;

/// What happens to one sender, from when until when.
#[derive(Clone, Copy, Debug)]
pub struct MachineTrouble {
    pub sender: SenderId,
    pub from: Duration,
    pub until: Duration,
    pub what: What,
}

/// What happens.
#[derive(Clone, Copy, Debug)]
pub enum What {
    /// Held up for this long, again and again.
    Pause(Duration),
    /// Files fail with this number, in windows of one length in each period of another.
    Folder {
        errno: i32,
        window: Duration,
        period: Duration,
    },
    ShortCalls {
        broken: i32,
    },
    OwnFaults {
        accept: i32,
        socket: i32,
        connect: i32,
    },
    /// The wall clock moves by so many milliseconds, and back at the end.
    Clock(i64),
    ClientLink(Manner),
    PlatformLink(Manner),
    EndpointLink(Manner),
}

/// Whether a schedule needs proxies on the senders' links.
pub fn needs_links(troubles: &[MachineTrouble]) -> bool {
    let link =
        |what: &What| matches!(what, What::ClientLink(_) | What::PlatformLink(_) | What::EndpointLink(_));
    troubles.iter().any(|trouble| link(&trouble.what))
}

/// The machine's and the links' part of a schedule, for each sender that it strikes.
pub fn troubles(schedule: &[Planned], senders: usize, seed: u64) -> Vec<MachineTrouble> {
    let mut rng = chance(seed, STREAM);
    let mut all = Vec::new();
    for planned in schedule {
        for sender in (0..senders).map(SenderId) {
            let what = what(planned.kind, &mut rng);
            if rng.random_ratio(1, SPARED) {
                continue;
            }
            let trouble =
                what.map(|what| MachineTrouble { sender, from: planned.from, until: planned.until, what });
            all.extend(trouble);
        }
    }
    all
}

fn what(kind: SoakKind, rng: &mut impl Rng) -> Option<What> {
    let ms = Duration::from_millis;
    let mut one = |of: &[i32]| of.choose(rng).copied().unwrap_or(EIO);
    Some(match kind {
        SoakKind::Pause => What::Pause(ms(120)),
        SoakKind::Folder => {
            let errno = one(&[ENOSPC, EIO]);
            // For one sender in three without a break.
            let period = if rng.random_ratio(1, 3) { ms(0) } else { ms(1500) };
            What::Folder { errno, window: ms(400), period }
        }
        SoakKind::ShortCalls => What::ShortCalls { broken: one(&[ETIMEDOUT, EHOSTUNREACH]) },
        SoakKind::OwnFaults => What::OwnFaults {
            accept: one(&[ECONNABORTED, ENFILE, ENOBUFS, EMFILE]),
            socket: one(&[ENFILE, ENOBUFS, EMFILE]),
            connect: one(&[EADDRNOTAVAIL, ENOBUFS, ENETUNREACH]),
        },
        SoakKind::Clock => {
            What::Clock(*[-3_600_000, -40_000, -4000, 4000, 40_000, 3_600_000].choose(rng).unwrap_or(&4000))
        }
        SoakKind::ClientLink => What::ClientLink(manner(rng, false)),
        SoakKind::PlatformLink => What::PlatformLink(manner(rng, true)),
        SoakKind::EndpointLink => What::EndpointLink(
            *[Manner::Delay, Manner::Trickle, Manner::Cut].choose(rng).unwrap_or(&Manner::Delay),
        ),
        _ => return None,
    })
}

fn manner(rng: &mut impl Rng, silent: bool) -> Manner {
    let all = [Manner::Delay, Manner::Trickle, Manner::Cut, Manner::Reset, Manner::HalfClose, Manner::Silent];
    let most = if silent { all.len() } else { all.len() - 1 };
    *all[..most].choose(rng).unwrap_or(&Manner::Delay)
}
