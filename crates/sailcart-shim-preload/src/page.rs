//! The control page as mapped into the process, and the draws by which calls fail.

use std::ptr::null_mut;
use std::sync::atomic::{AtomicPtr, AtomicU64, Ordering};

use sailcart_shim::{Count, PAGE_BYTES, Word};

const WORDS: usize = PAGE_BYTES / 8;

type Words = [AtomicU64; WORDS];

static PAGE: AtomicPtr<Words> = AtomicPtr::new(null_mut());
static NONE: Words = [const { AtomicU64::new(0) }; WORDS];
static RANDOM: AtomicU64 = AtomicU64::new(0);

/// The page, mapped at the first call. Without one, nothing fails.
fn page() -> &'static Words {
    let mapped = PAGE.load(Ordering::Acquire);
    let mapped = if mapped.is_null() { map() } else { mapped };
    // SAFETY: either the static page or a mapping of PAGE_BYTES that is never unmapped.
    unsafe { &*mapped }
}

fn map() -> *mut Words {
    let mut found = (&raw const NONE).cast_mut();
    // SAFETY: plain calls of the C library; the file is opened past this library's own entry point.
    unsafe {
        let name = libc::getenv(c"SAILCART_SHIM".as_ptr());
        if !name.is_null() {
            let file = libc::syscall(libc::SYS_openat, libc::AT_FDCWD, name, libc::O_RDWR | libc::O_CLOEXEC);
            if file >= 0 {
                let protection = libc::PROT_READ | libc::PROT_WRITE;
                let mapping =
                    libc::mmap(null_mut(), PAGE_BYTES, protection, libc::MAP_SHARED, file as i32, 0);
                libc::close(file as i32);
                if mapping != libc::MAP_FAILED {
                    found = mapping.cast();
                }
            }
        }
    }
    PAGE.store(found, Ordering::Release);
    found
}

pub fn word(word: Word) -> i64 {
    page()[word as usize].load(Ordering::Relaxed) as i64
}

pub fn count(count: Count) {
    page()[count as usize].fetch_add(1, Ordering::Relaxed);
}

/// A number below `most`.
pub fn random(most: u64) -> u64 {
    let step = RANDOM.fetch_add(1, Ordering::Relaxed).wrapping_add(word(Word::Seed) as u64);
    // The finalizer of SplitMix64.
    let mut mixed = step.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31)) % most.max(1)
}

/// Whether a call fails that does so with a share of this word.
pub fn draws(share: Word) -> bool {
    let share = word(share);
    share > 0 && (random(1000) as i64) < share
}
