//! The control page as mapped into the process under test, and the random choice of the calls that fail.

use std::ptr::null_mut;
use std::sync::atomic::{AtomicPtr, AtomicU64, Ordering};

use sailcart_shim::{FaultCounter, PAGE_BYTES, Setting};

const PAGE_WORDS: usize = PAGE_BYTES / 8;

type MappedPage = [AtomicU64; PAGE_WORDS];

static MAPPED_PAGE: AtomicPtr<MappedPage> = AtomicPtr::new(null_mut());
/// Used in a process without a control page; all settings are 0.
static EMPTY_PAGE: MappedPage = [const { AtomicU64::new(0) }; PAGE_WORDS];
static RANDOM_STEP: AtomicU64 = AtomicU64::new(0);

/// The control page, mapped at the first call. Without one no call fails.
fn page() -> &'static MappedPage {
    let mapped = MAPPED_PAGE.load(Ordering::Acquire);
    let mapped = if mapped.is_null() { map() } else { mapped };
    // SAFETY: either the static page or a mapping of PAGE_BYTES that is never unmapped.
    unsafe { &*mapped }
}

fn map() -> *mut MappedPage {
    let mut page = (&raw const EMPTY_PAGE).cast_mut();
    // SAFETY: plain calls of the C library; the system call opens the file without this library's own
    // `open64`.
    unsafe {
        let path = libc::getenv(c"SAILCART_SHIM".as_ptr());
        if !path.is_null() {
            let fd = libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path, libc::O_RDWR | libc::O_CLOEXEC);
            if fd >= 0 {
                let protection = libc::PROT_READ | libc::PROT_WRITE;
                let mapping = libc::mmap(null_mut(), PAGE_BYTES, protection, libc::MAP_SHARED, fd as i32, 0);
                libc::close(fd as i32);
                if mapping != libc::MAP_FAILED {
                    page = mapping.cast();
                }
            }
        }
    }
    MAPPED_PAGE.store(page, Ordering::Release);
    page
}

/// The current value of a setting.
pub fn setting(setting: Setting) -> i64 {
    page()[setting as usize].load(Ordering::Relaxed) as i64
}

/// Counts one injected fault.
pub fn increment(counter: FaultCounter) {
    page()[counter as usize].fetch_add(1, Ordering::Relaxed);
}

/// A random number below `bound`, or 0 if the bound is 0.
pub fn random_below(bound: u64) -> u64 {
    let step = RANDOM_STEP.fetch_add(1, Ordering::Relaxed).wrapping_add(setting(Setting::Seed) as u64);
    // The finalizer of SplitMix64.
    let mut mixed = step.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31)) % bound.max(1)
}

/// Draws whether this call is affected. `per_mille` is the setting that holds the share of calls in
/// thousandths.
pub fn is_selected(per_mille: Setting) -> bool {
    let per_mille = setting(per_mille);
    per_mille > 0 && (random_below(1000) as i64) < per_mille
}
