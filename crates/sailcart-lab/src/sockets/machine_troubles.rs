//! Applies the troubles of a soak that affect a sender's machine or its links, each at its scheduled time.
//! The proxies inject the troubles of links. The shim, through its control page, and pauses of the process
//! inject those of the machine.

use std::rc::Rc;
use std::time::Duration;

use sailcart_shim::{ControlPage, Setting};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

use super::process::SenderProcesses;
use super::shared_state::SharedState;
use crate::plan::SenderId;
use crate::soak::machine::{MachineTrouble, TroubleEffect};
use crate::soak::proxy::{LinkFault, Proxy};
use crate::watcher::Observation;

/// Share of the calls that fail with a local error of the sender's host, in thousandths.
const LOCAL_ERRORS_PER_MILLE: i64 = 150;
/// Share of the reads and of the writes that are short, in thousandths.
const SHORT_CALLS_PER_MILLE: i64 = 200;
/// Share of the waits that are interrupted, in thousandths.
const INTERRUPTED_WAITS_PER_MILLE: i64 = 50;
/// Maximum number of bytes that a short read returns.
const MAX_SHORT_READ_BYTES: i64 = 40;
/// How long a sender runs between two pauses.
const RUN_BETWEEN_PAUSES: Duration = Duration::from_millis(500);

/// The proxies on the links of one sender.
pub struct Links {
    pub client_proxy: Rc<Proxy>,
    pub platform_proxy: Rc<Proxy>,
    pub endpoint_proxies: Vec<Rc<Proxy>>,
}

/// What the troubles of a run act on.
pub struct TroubleTargets {
    pub shared: Rc<SharedState>,
    pub processes: Rc<SenderProcesses>,
    /// Indexed by sender; empty if no trouble affects a link.
    pub links: Vec<Links>,
}

impl TroubleTargets {
    /// Starts one task per trouble, which applies it from its start to its end.
    pub fn schedule(self: &Rc<Self>, troubles: &[MachineTrouble]) {
        for trouble in troubles.iter().copied() {
            let targets = self.clone();
            spawn_local(async move {
                sleep_until(targets.shared.instant(trouble.from)).await;
                if let TroubleEffect::Pause(pause) = trouble.effect {
                    return targets.pause_repeatedly(trouble, pause).await;
                }
                targets.apply(trouble.sender, trouble.effect, true);
                sleep_until(targets.shared.instant(trouble.until)).await;
                targets.apply(trouble.sender, trouble.effect, false);
            });
        }
    }

    /// Pauses a sender repeatedly until the trouble ends.
    async fn pause_repeatedly(&self, trouble: MachineTrouble, pause: Duration) {
        while self.shared.now() < trouble.until {
            self.processes.set_paused(trouble.sender, true);
            sleep(pause).await;
            self.processes.set_paused(trouble.sender, false);
            sleep(RUN_BETWEEN_PAUSES).await;
        }
    }

    /// Starts or ends one trouble.
    fn apply(&self, sender: SenderId, effect: TroubleEffect, active: bool) {
        let links = self.links.get(sender.0);
        let if_active = |fault: LinkFault| active.then_some(fault);
        match effect {
            TroubleEffect::ClientLink(fault) => {
                links.into_iter().for_each(|links| links.client_proxy.set_fault(if_active(fault)))
            }
            TroubleEffect::PlatformLink(fault) => {
                links.into_iter().for_each(|links| links.platform_proxy.set_fault(if_active(fault)))
            }
            TroubleEffect::EndpointLink(fault) => {
                let proxies = links.into_iter().flat_map(|links| &links.endpoint_proxies);
                proxies.for_each(|proxy| proxy.set_fault(if_active(fault)));
            }
            _ => self.set_machine_fault(sender, effect, active),
        }
    }

    /// Starts or ends a fault that the shim injects. Does nothing if the sender does not run under the shim.
    fn set_machine_fault(&self, sender: SenderId, effect: TroubleEffect, active: bool) {
        let Some(control_page) = self.processes.control_page(sender) else { return };
        if matches!(effect, TroubleEffect::Folder { .. }) {
            self.shared.observe(Observation::StateFolder { sender, fails: active });
        }
        if let Err(error) = write_settings(control_page, effect, active) {
            log::error!("sender {}: code=no_page {error}", sender.0);
        }
    }
}

/// Writes the settings of a fault to the control page, or resets them if it is not active.
fn write_settings(control_page: &ControlPage, effect: TroubleEffect, active: bool) -> std::io::Result<()> {
    let errno_if_active = |errno: i32| if active { errno } else { 0 };
    let share_if_active = |per_mille: i64| if active { per_mille } else { 0 };
    match effect {
        TroubleEffect::Folder { errno, window, period } => {
            control_page.set_file_fault_windows(window, period)?;
            control_page.fail_files(errno_if_active(errno))
        }
        TroubleEffect::ShortCalls { errno } => {
            control_page.set(Setting::ShortReadMaxBytes, MAX_SHORT_READ_BYTES)?;
            control_page.set(Setting::ShortReadPerMille, share_if_active(SHORT_CALLS_PER_MILLE))?;
            control_page.set(Setting::ShortWritePerMille, share_if_active(SHORT_CALLS_PER_MILLE))?;
            control_page
                .set(Setting::WaitInterruptedPerMille, share_if_active(INTERRUPTED_WAITS_PER_MILLE))?;
            control_page.set(Setting::ConnectionResetErrno, errno_if_active(errno).into())
        }
        TroubleEffect::LocalErrors { accept, socket, connect } => {
            control_page.fail_share(
                (Setting::AcceptErrno, accept),
                (Setting::AcceptPerMille, share_if_active(LOCAL_ERRORS_PER_MILLE)),
            )?;
            control_page.fail_share(
                (Setting::SocketErrno, socket),
                (Setting::SocketPerMille, share_if_active(LOCAL_ERRORS_PER_MILLE)),
            )?;
            control_page.fail_share(
                (Setting::ConnectErrno, connect),
                (Setting::ConnectPerMille, share_if_active(LOCAL_ERRORS_PER_MILLE)),
            )
        }
        TroubleEffect::Clock(step) => {
            control_page.set(Setting::WallClockStepMs, if active { step } else { 0 })
        }
        _ => Ok(()),
    }
}
