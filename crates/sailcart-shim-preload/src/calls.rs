//! The entry points. Each takes its arguments as the C library's own does and hands on to that, or fails.

use std::ffi::{CStr, c_char, c_int, c_void};
use std::sync::atomic::{AtomicI32, AtomicUsize, Ordering};

use libc::{clockid_t, epoll_event, iovec, off64_t, size_t, sockaddr, socklen_t, ssize_t, timespec};
use sailcart_shim::{Count, Word};

use crate::page::{count, draws, random, word};

/// The next definition of a function after this library's.
fn next(slot: &AtomicUsize, name: &CStr) -> usize {
    let known = slot.load(Ordering::Relaxed);
    if known != 0 {
        return known;
    }
    // SAFETY: a look-up by a name that ends with zero.
    let found = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) } as usize;
    slot.store(found, Ordering::Relaxed);
    found
}

macro_rules! real {
    ($name:literal, fn($($kind:ty),*) -> $back:ty) => {{
        static SLOT: AtomicUsize = AtomicUsize::new(0);
        // SAFETY: the C library's function of that name has this signature.
        unsafe { std::mem::transmute::<usize, unsafe extern "C" fn($($kind),*) -> $back>(next(&SLOT, $name)) }
    }};
}

fn fail(errno: i64) -> c_int {
    // SAFETY: the calling thread's own error number.
    unsafe { *libc::__errno_location() = errno as c_int };
    -1
}

fn errno() -> c_int {
    // SAFETY: as above.
    unsafe { *libc::__errno_location() }
}

/// Above the standard streams, a descriptor of this type of file.
fn is(file: c_int, kind: libc::mode_t) -> bool {
    // SAFETY: a status of its own to write to.
    let mut status: libc::stat64 = unsafe { std::mem::zeroed() };
    // SAFETY: as above.
    file > 2 && unsafe { libc::fstat64(file, &mut status) } == 0 && status.st_mode & libc::S_IFMT == kind
}

fn is_file(file: c_int) -> bool {
    is(file, libc::S_IFREG)
}

fn is_tcp(file: c_int) -> bool {
    // SAFETY: an address of its own to write to, with its length.
    unsafe {
        let mut address: libc::sockaddr_storage = std::mem::zeroed();
        let mut length = size_of::<libc::sockaddr_storage>() as socklen_t;
        is(file, libc::S_IFSOCK)
            && libc::getsockname(file, (&raw mut address).cast(), &mut length) == 0
            && i32::from(address.ss_family) == libc::AF_INET
    }
}

/// Milliseconds of the monotonic clock.
fn monotonic() -> i64 {
    let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
    let real = real!(c"clock_gettime", fn(clockid_t, *mut timespec) -> c_int);
    // SAFETY: a time of its own to write to.
    unsafe { real(libc::CLOCK_MONOTONIC, &mut now) };
    now.tv_sec * 1000 + now.tv_nsec / 1_000_000
}

/// The error number with which a call on a file fails now, if it does.
fn file_fault(kind: Word, what: Count) -> Option<i64> {
    let errno = word(kind);
    if errno == 0 {
        return None;
    }
    let period = word(Word::FilePeriod);
    if period > 0 && monotonic() % period >= word(Word::FileWindow) {
        return None;
    }
    count(what);
    Some(errno)
}

/// The file of which the last write went down by half; its next write fails.
static HALF_WRITTEN: AtomicI32 = AtomicI32::new(-1);

#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(file: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    let real = real!(c"write", fn(c_int, *const c_void, size_t) -> ssize_t);
    let length = if word(Word::FileWrite) != 0 && is_file(file) {
        match file_fault(Word::FileWrite, Count::FileWrite) {
            None => length,
            Some(_)
                if word(Word::FileWriteHalf) != 0
                    && length > 1
                    && HALF_WRITTEN.swap(file, Ordering::Relaxed) != file =>
            {
                length / 2
            }
            Some(errno) => {
                HALF_WRITTEN.store(-1, Ordering::Relaxed);
                return fail(errno) as ssize_t;
            }
        }
    } else {
        length
    };
    // SAFETY: the caller's own arguments, with a length that is no larger.
    unsafe { real(file, bytes, length) }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    let real = real!(c"fsync", fn(c_int) -> c_int);
    match file_fault(Word::FileSync, Count::FileSync) {
        Some(errno) => fail(errno),
        // SAFETY: the caller's own argument.
        None => unsafe { real(file) },
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    let real = real!(c"fdatasync", fn(c_int) -> c_int);
    match file_fault(Word::FileSync, Count::FileSync) {
        Some(errno) => fail(errno),
        // SAFETY: the caller's own argument.
        None => unsafe { real(file) },
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn ftruncate64(file: c_int, length: off64_t) -> c_int {
    let real = real!(c"ftruncate64", fn(c_int, off64_t) -> c_int);
    match file_fault(Word::FileTruncate, Count::FileTruncate) {
        Some(errno) => fail(errno),
        // SAFETY: the caller's own arguments.
        None => unsafe { real(file, length) },
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: libc::mode_t) -> c_int {
    let real = real!(c"open64", fn(*const c_char, c_int, libc::mode_t) -> c_int);
    let creates = flags & libc::O_CREAT != 0;
    match if creates { file_fault(Word::FileNames, Count::FileNames) } else { None } {
        Some(errno) => fail(errno),
        // SAFETY: the caller's own arguments.
        None => unsafe { real(path, flags, mode) },
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let real = real!(c"rename", fn(*const c_char, *const c_char) -> c_int);
    match file_fault(Word::FileNames, Count::FileNames) {
        Some(errno) => fail(errno),
        // SAFETY: the caller's own arguments.
        None => unsafe { real(from, to) },
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn unlink(path: *const c_char) -> c_int {
    let real = real!(c"unlink", fn(*const c_char) -> c_int);
    match file_fault(Word::FileNames, Count::FileNames) {
        Some(errno) => fail(errno),
        // SAFETY: the caller's own argument.
        None => unsafe { real(path) },
    }
}

/// How many of these bytes a read takes.
fn read_length(file: c_int, length: size_t) -> size_t {
    if length > 1 && draws(Word::ReadCut) && is_tcp(file) {
        count(Count::ReadCut);
        return length.min(1 + random(word(Word::ReadCutMost) as u64) as usize);
    }
    length
}

/// A broken connection may show itself by other numbers than a reset.
fn broken(result: ssize_t) -> ssize_t {
    let other = word(Word::Broken);
    if result < 0 && other != 0 && errno() == libc::ECONNRESET {
        count(Count::Broken);
        return fail(other) as ssize_t;
    }
    result
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(file: c_int, into: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let real = real!(c"recv", fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
    // SAFETY: the caller's own arguments, with a length that is no larger.
    broken(unsafe { real(file, into, read_length(file, length), flags) })
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn readv(file: c_int, into: *const iovec, parts: c_int) -> ssize_t {
    let real = real!(c"readv", fn(c_int, *const iovec, c_int) -> ssize_t);
    // SAFETY: the caller's own arguments.
    broken(unsafe { real(file, into, parts) })
}

/// How many of these bytes a write takes, perhaps after a delay.
fn write_length(file: c_int, length: size_t) -> size_t {
    if draws(Word::Delay) && is_tcp(file) {
        count(Count::Delay);
        let span = word(Word::DelayMs);
        let span = timespec { tv_sec: span / 1000, tv_nsec: span % 1000 * 1_000_000 };
        // SAFETY: a time of its own.
        unsafe { libc::nanosleep(&span, std::ptr::null_mut()) };
    }
    if length > 1 && draws(Word::WriteCut) && is_tcp(file) {
        count(Count::WriteCut);
        return 1 + random(length as u64 - 1) as usize;
    }
    length
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(file: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let real = real!(c"send", fn(c_int, *const c_void, size_t, c_int) -> ssize_t);
    // SAFETY: the caller's own arguments, with a length that is no larger.
    broken(unsafe { real(file, bytes, write_length(file, length), flags) })
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(file: c_int, from: *const iovec, parts: c_int) -> ssize_t {
    let real = real!(c"writev", fn(c_int, *const iovec, c_int) -> ssize_t);
    // SAFETY: the caller's own arguments; fewer parts where it is cut short.
    unsafe {
        if parts > 1 && draws(Word::WriteCut) && is_tcp(file) {
            count(Count::WriteCut);
            return broken(real(file, from, 1));
        }
        broken(real(file, from, parts))
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    file: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    let real = real!(c"accept4", fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int);
    if draws(Word::AcceptPerMille) {
        count(Count::Accept);
        return fail(word(Word::Accept));
    }
    // SAFETY: the caller's own arguments.
    unsafe { real(file, address, length, flags) }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let real = real!(c"socket", fn(c_int, c_int, c_int) -> c_int);
    if domain == libc::AF_INET && draws(Word::SocketPerMille) {
        count(Count::Socket);
        return fail(word(Word::Socket));
    }
    // SAFETY: the caller's own arguments.
    unsafe { real(domain, kind, protocol) }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(file: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let real = real!(c"connect", fn(c_int, *const sockaddr, socklen_t) -> c_int);
    if draws(Word::ConnectPerMille) && is_tcp(file) {
        count(Count::Connect);
        return fail(word(Word::Connect));
    }
    // SAFETY: the caller's own arguments.
    unsafe { real(file, address, length) }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    file: c_int,
    events: *mut epoll_event,
    most: c_int,
    within: c_int,
) -> c_int {
    let real = real!(c"epoll_wait", fn(c_int, *mut epoll_event, c_int, c_int) -> c_int);
    if within != 0 && draws(Word::WaitInterrupted) {
        count(Count::WaitInterrupted);
        return fail(libc::EINTR.into());
    }
    // SAFETY: the caller's own arguments.
    unsafe { real(file, events, most, within) }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, now: *mut timespec) -> c_int {
    let real = real!(c"clock_gettime", fn(clockid_t, *mut timespec) -> c_int);
    // SAFETY: the caller's own arguments; the time was written where that succeeded.
    unsafe {
        let result = real(clock, now);
        if result == 0 && clock == libc::CLOCK_REALTIME {
            (*now).tv_sec += word(Word::WallStep) / 1000;
            (*now).tv_nsec += word(Word::WallStep) % 1000 * 1_000_000;
            if (*now).tv_nsec >= 1_000_000_000 {
                ((*now).tv_sec, (*now).tv_nsec) = ((*now).tv_sec + 1, (*now).tv_nsec - 1_000_000_000);
            } else if (*now).tv_nsec < 0 {
                ((*now).tv_sec, (*now).tv_nsec) = ((*now).tv_sec - 1, (*now).tv_nsec + 1_000_000_000);
            }
        }
        result
    }
}
