//! Troubles that strike a sender's machine or its links, each at its time.

use std::rc::Rc;
use std::time::Duration;

use sailcart_shim::{Page, Word};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

use super::process::SenderProcesses;
use super::shared::SharedState;
use crate::plan::SenderId;
use crate::soak::machine::{MachineTrouble, What};
use crate::soak::proxy::{Manner, Proxy};
use crate::watcher::Seen;

/// Thousandths of the calls that fail in a moment of this machine's own faults.
const OWN_FAULTS: i64 = 150;
/// Thousandths of reads and writes that are cut, of waits that are interrupted.
const SHORT: i64 = 200;
const INTERRUPTED: i64 = 50;
const MOST_READ: i64 = 40;
/// From one time that a sender is held up to the next.
const PAUSES: Duration = Duration::from_millis(500);

/// The links of one sender.
pub struct Links {
    pub clients: Rc<Proxy>,
    pub platform: Rc<Proxy>,
    pub endpoints: Vec<Rc<Proxy>>,
}

/// What the troubles of a run get at.
pub struct Rig {
    pub shared: Rc<SharedState>,
    pub processes: Rc<SenderProcesses>,
    /// By sender; none where no trouble strikes a link.
    pub links: Vec<Links>,
}

impl Rig {
    /// Sets off each trouble at its time.
    pub fn strike(self: &Rc<Self>, troubles: &[MachineTrouble]) {
        for trouble in troubles.iter().copied() {
            let rig = self.clone();
            spawn_local(async move {
                sleep_until(rig.shared.instant(trouble.from)).await;
                if let What::Pause(held_up) = trouble.what {
                    return rig.pause(trouble, held_up).await;
                }
                rig.set(trouble.sender, trouble.what, true);
                sleep_until(rig.shared.instant(trouble.until)).await;
                rig.set(trouble.sender, trouble.what, false);
            });
        }
    }

    async fn pause(&self, trouble: MachineTrouble, held_up: Duration) {
        while self.shared.now() < trouble.until {
            self.processes.hold(trouble.sender, true);
            sleep(held_up).await;
            self.processes.hold(trouble.sender, false);
            sleep(PAUSES).await;
        }
    }

    fn set(&self, sender: SenderId, what: What, stands: bool) {
        let links = self.links.get(sender.0);
        let manner = |manner: Manner| stands.then_some(manner);
        match what {
            What::ClientLink(one) => links.into_iter().for_each(|links| links.clients.set(manner(one))),
            What::PlatformLink(one) => links.into_iter().for_each(|links| links.platform.set(manner(one))),
            What::EndpointLink(one) => {
                let all = links.into_iter().flat_map(|links| &links.endpoints);
                all.for_each(|link| link.set(manner(one)));
            }
            _ => self.set_page(sender, what, stands),
        }
    }

    fn set_page(&self, sender: SenderId, what: What, stands: bool) {
        let Some(page) = self.processes.page(sender) else { return };
        if matches!(what, What::Folder { .. }) {
            self.shared.see(Seen::Folder { sender, fails: stands });
        }
        if let Err(fault) = set_words(page, what, stands) {
            log::error!("sender {}: code=no_page {fault}", sender.0);
        }
    }
}

fn set_words(page: &Page, what: What, stands: bool) -> std::io::Result<()> {
    let number = |number: i32| if stands { number } else { 0 };
    let share = |share: i64| if stands { share } else { 0 };
    match what {
        What::Folder { errno, window, period } => {
            page.set_file_fault_windows(window, period)?;
            page.files_fail(number(errno))
        }
        What::ShortCalls { broken } => {
            page.set(Word::ReadCutMost, MOST_READ)?;
            page.set(Word::ReadCut, share(SHORT))?;
            page.set(Word::WriteCut, share(SHORT))?;
            page.set(Word::WaitInterrupted, share(INTERRUPTED))?;
            page.set(Word::ConnectionResetErrno, number(broken).into())
        }
        What::OwnFaults { accept, socket, connect } => {
            page.share((Word::Accept, accept), (Word::AcceptPerMille, share(OWN_FAULTS)))?;
            page.share((Word::Socket, socket), (Word::SocketPerMille, share(OWN_FAULTS)))?;
            page.share((Word::Connect, connect), (Word::ConnectPerMille, share(OWN_FAULTS)))
        }
        What::Clock(step) => page.set(Word::WallStep, if stands { step } else { 0 }),
        _ => Ok(()),
    }
}
