//! The troubles of a soak test that affect a sender's machine or a network link, drawn for each sender.

use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use sailcart_shim::{
    EADDRNOTAVAIL, ECONNABORTED, EHOSTUNREACH, EIO, EMFILE, ENETUNREACH, ENFILE, ENOBUFS, ENOSPC, ETIMEDOUT,
};

use super::kinds::SoakKind;
use super::proxy::LinkFault;
use super::schedule::PlannedTrouble;
use crate::plan::{SenderId, seeded_rng};

/// The stream of random numbers for these draws.
const RNG_STREAM: u64 = 21;
/// Each trouble skips each sender with a probability of one in this number.
const UNAFFECTED_ONE_IN: u32 = 4;

/// One trouble of one sender, with its period.
#[derive(Clone, Copy, Debug)]
pub struct MachineTrouble {
    pub sender: SenderId,
    pub from: Duration,
    pub until: Duration,
    pub effect: TroubleEffect,
}

/// The effect of a trouble.
#[derive(Clone, Copy, Debug)]
pub enum TroubleEffect {
    /// The process is stopped for this long, repeatedly.
    Pause(Duration),
    /// Operations on files fail with this error number: during `window` in each `period`, or throughout if
    /// `period` is zero.
    Folder { errno: i32, window: Duration, period: Duration },
    /// Socket calls are short or interrupted, and broken connections return this error number.
    ShortCalls { errno: i32 },
    /// These system calls fail temporarily with the given error numbers.
    LocalErrors { accept: i32, socket: i32, connect: i32 },
    /// The wall clock is stepped by this number of milliseconds, and back at the end.
    Clock(i64),
    /// A fault on the link from clients.
    ClientLink(LinkFault),
    /// A fault on the link to discovery and the receiver of notices.
    PlatformLink(LinkFault),
    /// A fault on the links to endpoints.
    EndpointLink(LinkFault),
}

/// Whether any of the troubles needs proxies on the links of the senders.
pub fn needs_links(troubles: &[MachineTrouble]) -> bool {
    let on_link = |effect: &TroubleEffect| {
        matches!(
            effect,
            TroubleEffect::ClientLink(_) | TroubleEffect::PlatformLink(_) | TroubleEffect::EndpointLink(_)
        )
    };
    troubles.iter().any(|trouble| on_link(&trouble.effect))
}

/// Draws those troubles of the schedule that affect machines and links, for each sender concerned.
pub fn draw_troubles(schedule: &[PlannedTrouble], senders: usize, seed: u64) -> Vec<MachineTrouble> {
    let mut rng = seeded_rng(seed, RNG_STREAM);
    let mut drawn = Vec::new();
    for planned in schedule {
        for sender in (0..senders).map(SenderId) {
            let effect = draw_effect(planned.kind, &mut rng);
            if rng.random_ratio(1, UNAFFECTED_ONE_IN) {
                continue;
            }
            let trouble = effect.map(|effect| MachineTrouble {
                sender,
                from: planned.from,
                until: planned.until,
                effect,
            });
            drawn.extend(trouble);
        }
    }
    drawn
}

fn draw_effect(kind: SoakKind, rng: &mut impl Rng) -> Option<TroubleEffect> {
    let ms = Duration::from_millis;
    let mut draw_errno = |errnos: &[i32]| errnos.choose(rng).copied().unwrap_or(EIO);
    Some(match kind {
        SoakKind::Pause => TroubleEffect::Pause(ms(120)),
        SoakKind::Folder => {
            let errno = draw_errno(&[ENOSPC, EIO]);
            // For one sender in three, files fail without interruption.
            let period = if rng.random_ratio(1, 3) { ms(0) } else { ms(1500) };
            TroubleEffect::Folder { errno, window: ms(400), period }
        }
        SoakKind::ShortCalls => TroubleEffect::ShortCalls { errno: draw_errno(&[ETIMEDOUT, EHOSTUNREACH]) },
        SoakKind::LocalErrors => TroubleEffect::LocalErrors {
            accept: draw_errno(&[ECONNABORTED, ENFILE, ENOBUFS, EMFILE]),
            socket: draw_errno(&[ENFILE, ENOBUFS, EMFILE]),
            connect: draw_errno(&[EADDRNOTAVAIL, ENOBUFS, ENETUNREACH]),
        },
        SoakKind::Clock => TroubleEffect::Clock(
            *[-3_600_000, -40_000, -4000, 4000, 40_000, 3_600_000].choose(rng).unwrap_or(&4000),
        ),
        SoakKind::ClientLink => TroubleEffect::ClientLink(draw_link_fault(rng, false)),
        SoakKind::PlatformLink => TroubleEffect::PlatformLink(draw_link_fault(rng, true)),
        SoakKind::EndpointLink => TroubleEffect::EndpointLink(
            *[LinkFault::Delay, LinkFault::Trickle, LinkFault::Cut].choose(rng).unwrap_or(&LinkFault::Delay),
        ),
        // Two senders in three get copies from endpoints, the others from the platform.
        SoakKind::ExtraResponses if rng.random_ratio(2, 3) => {
            TroubleEffect::EndpointLink(LinkFault::ExtraResponses)
        }
        SoakKind::ExtraResponses => TroubleEffect::PlatformLink(LinkFault::ExtraResponses),
        _ => return None,
    })
}

fn draw_link_fault(rng: &mut impl Rng, with_silent: bool) -> LinkFault {
    let all = [
        LinkFault::Delay,
        LinkFault::Trickle,
        LinkFault::Cut,
        LinkFault::Reset,
        LinkFault::HalfClose,
        LinkFault::Silent,
    ];
    let count = if with_silent { all.len() } else { all.len() - 1 };
    *all[..count].choose(rng).unwrap_or(&LinkFault::Delay)
}
