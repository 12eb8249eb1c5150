//! A proxy on one link, which hands bytes on until a trouble tells it otherwise.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Bytes handed on at once, at most.
const PIECE: usize = 4096;
/// Bytes of a piece that trickles.
const DRIP: usize = 16;
/// Of the pieces, one in so many meets the trouble of a link that cuts.
const ONE_IN: u32 = 12;

/// What a link does to what passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// Each piece comes late, by up to 30 ms.
    Delay,
    /// Each piece comes in drips.
    Trickle,
    /// Some pieces are cut somewhere, and both sides closed.
    Cut,
    /// Some pieces end in a reset of both sides.
    Reset,
    /// Behind some pieces this direction ends, and the other goes on.
    HalfClose,
    /// What comes back is held for as long as this stands, then the connection ends.
    Silent,
}

/// Which direction a piece goes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    /// From who connected.
    Up,
    Down,
}

/// One link: whoever connects to its address reaches the target.
pub struct Proxy {
    pub address: SocketAddr,
    target: SocketAddr,
    manner: Cell<Option<Manner>>,
    /// Cuts, resets and ends strike only what goes up: what comes back tells its writer that it was heard.
    up_only: bool,
    rng: RefCell<ChaCha8Rng>,
}

impl Proxy {
    /// A link to a target, on an address of its own.
    pub async fn open(target: SocketAddr, up_only: bool, rng: ChaCha8Rng) -> io::Result<Rc<Proxy>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (address, manner) = (listener.local_addr()?, Cell::new(None));
        let proxy = Rc::new(Proxy { address, target, manner, up_only, rng: RefCell::new(rng) });
        let own = proxy.clone();
        spawn_local(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => drop(spawn_local(own.clone().link(stream))),
                    Err(fault) => log::warn!("proxy: code=no_accept {fault}"),
                }
            }
        });
        Ok(proxy)
    }

    /// From now on the link does this, or hands on as it is.
    pub fn set(&self, manner: Option<Manner>) {
        self.manner.set(manner);
    }

    async fn link(self: Rc<Self>, near: TcpStream) {
        let Ok(far) = TcpStream::connect(self.target).await else { return reset(&near) };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
        let up = self.clone().hand_on(near_in, far_out, Direction::Up);
        let down = self.hand_on(far_in, near_out, Direction::Down);
        // A direction that ends well leaves the other one open; one that breaks takes it along.
        let (mut up, mut down) = (std::pin::pin!(up), std::pin::pin!(down));
        tokio::select! {
            ended = &mut up => if ended.is_ok() { let _ = down.await; },
            ended = &mut down => if ended.is_ok() { let _ = up.await; },
        }
    }

    fn strikes(&self) -> bool {
        self.rng.borrow_mut().random_ratio(1, ONE_IN)
    }

    fn below(&self, most: usize) -> usize {
        self.rng.borrow_mut().random_range(0..most.max(1))
    }

    /// Until the writing side ends. An error is a link that is to break at once.
    async fn hand_on(
        self: Rc<Self>,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        direction: Direction,
    ) -> io::Result<()> {
        let mut piece = vec![0; PIECE];
        loop {
            let length = from.read(&mut piece).await?;
            if length == 0 {
                to.shutdown().await?;
                return Ok(());
            }
            let bytes = &piece[..length];
            let breaks = direction == Direction::Up || !self.up_only;
            match self.manner.get() {
                Some(Manner::Delay) => {
                    sleep(Duration::from_millis(self.below(30) as u64)).await;
                    to.write_all(bytes).await?;
                }
                Some(Manner::Trickle) => {
                    for drip in bytes.chunks(DRIP.max(length / 16)) {
                        to.write_all(drip).await?;
                        sleep(Duration::from_millis(1)).await;
                    }
                }
                Some(Manner::Cut) if breaks && self.strikes() => {
                    to.write_all(&bytes[..self.below(length)]).await?;
                    return Err(io::ErrorKind::BrokenPipe.into());
                }
                Some(Manner::Reset) if breaks && self.strikes() => {
                    reset(to.as_ref());
                    reset(from.as_ref());
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                Some(Manner::HalfClose) if breaks && self.strikes() => {
                    to.write_all(bytes).await?;
                    to.shutdown().await?;
                    return Ok(());
                }
                Some(Manner::Silent) if direction == Direction::Down => {
                    while self.manner.get() == Some(Manner::Silent) {
                        sleep(Duration::from_millis(50)).await;
                    }
                    return Err(io::ErrorKind::TimedOut.into());
                }
                _ => to.write_all(bytes).await?,
            }
        }
    }
}

/// The close that follows will be a reset.
fn reset(stream: &TcpStream) {
    #[allow(deprecated)] // the blocking form of linger, with zero, does not block
    let _ = stream.set_linger(Some(Duration::ZERO));
}
