//! The interposed functions. Each has the signature of its counterpart in the C library and either calls that
//! or fails.

use std::ffi::{CStr, c_char, c_int, c_void};
use std::sync::atomic::{AtomicI32, AtomicUsize, Ordering};

use libc::{clockid_t, epoll_event, iovec, off64_t, size_t, sockaddr, socklen_t, ssize_t, timespec};
use sailcart_shim::{FaultCounter, Setting};

use crate::page::{increment, is_selected, random_below, setting};

/// Address of the C library's function that this library interposes; `cache` stores the result of the
/// look-up.
fn next_definition(cache: &AtomicUsize, name: &CStr) -> usize {
    let cached = cache.load(Ordering::Relaxed);
    if cached != 0 {
        return cached;
    }
    // SAFETY: `name` is terminated by a null byte.
    let address = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) } as usize;
    cache.store(address, Ordering::Relaxed);
    address
}

/// The C library's own function of this name.
macro_rules! original {
    ($name:literal, fn($($argument:ty),*) -> $result:ty) => {{
        static CACHE: AtomicUsize = AtomicUsize::new(0);
        // SAFETY: the C library's function of this name has this signature.
        unsafe {
            std::mem::transmute::<usize, unsafe extern "C" fn($($argument),*) -> $result>(
                next_definition(&CACHE, $name)
            )
        }
    }};
}

/// Sets the error number of the calling thread and returns -1.
fn fail(errno: i64) -> c_int {
    // SAFETY: points to the calling thread's error number.
    unsafe { *libc::__errno_location() = errno as c_int };
    -1
}

fn errno() -> c_int {
    // SAFETY: points to the calling thread's error number.
    unsafe { *libc::__errno_location() }
}

/// Whether a descriptor refers to a file of this type. False for the standard streams, so that they never
/// fail.
fn has_file_type(fd: c_int, file_type: libc::mode_t) -> bool {
    // SAFETY: all zeros are a valid `stat64`.
    let mut status: libc::stat64 = unsafe { std::mem::zeroed() };
    // SAFETY: `status` is valid for writes.
    fd > 2 && unsafe { libc::fstat64(fd, &mut status) } == 0 && status.st_mode & libc::S_IFMT == file_type
}

fn is_regular_file(fd: c_int) -> bool {
    has_file_type(fd, libc::S_IFREG)
}

fn is_tcp(fd: c_int) -> bool {
    // SAFETY: `address` and `length` are valid for writes; `length` is the size of `address`.
    unsafe {
        let mut address: libc::sockaddr_storage = std::mem::zeroed();
        let mut length = size_of::<libc::sockaddr_storage>() as socklen_t;
        has_file_type(fd, libc::S_IFSOCK)
            && libc::getsockname(fd, (&raw mut address).cast(), &mut length) == 0
            && i32::from(address.ss_family) == libc::AF_INET
    }
}

/// The monotonic clock in milliseconds.
fn monotonic_ms() -> i64 {
    let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
    let original = original!(c"clock_gettime", fn(clockid_t, *mut timespec) -> c_int);
    // SAFETY: `now` is valid for writes.
    unsafe { original(libc::CLOCK_MONOTONIC, &mut now) };
    now.tv_sec * 1000 + now.tv_nsec / 1_000_000
}

/// The error number with which a file call is to fail now, if any. Counts the fault.
fn file_error(errno_setting: Setting, counter: FaultCounter) -> Option<i64> {
    let errno = setting(errno_setting);
    if errno == 0 {
        return None;
    }
    let period = setting(Setting::FileFaultPeriodMs);
    if period > 0 && monotonic_ms() % period >= setting(Setting::FileFaultWindowMs) {
        return None;
    }
    increment(counter);
    Some(errno)
}

/// Descriptor whose last write was cut to half of its bytes; the next write to it fails.
static PARTIALLY_WRITTEN_FD: AtomicI32 = AtomicI32::new(-1);

#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    let original = original!(c"write", fn(c_int, *const c_void, size_t) -> ssize_t);
    let length = if setting(Setting::FileWriteErrno) != 0 && is_regular_file(fd) {
        match file_error(Setting::FileWriteErrno, FaultCounter::FileWrite) {
            None => length,
            Some(_)
                if setting(Setting::FilePartialWrite) != 0
                    && length > 1
                    && PARTIALLY_WRITTEN_FD.swap(fd, Ordering::Relaxed) != fd =>
            {
                length / 2
            }
            Some(errno) => {
                PARTIALLY_WRITTEN_FD.store(-1, Ordering::Relaxed);
                return fail(errno) as ssize_t;
            }
        }
    } else {
        length
    };
    // SAFETY: the caller's arguments; the length is at most the caller's.
    unsafe { original(fd, buffer, length) }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    let original = original!(c"fsync", fn(c_int) -> c_int);
    match file_error(Setting::FileSyncErrno, FaultCounter::FileSync) {
        Some(errno) => fail(errno),
        // SAFETY: the caller's argument.
        None => unsafe { original(fd) },
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    let original = original!(c"fdatasync", fn(c_int) -> c_int);
    match file_error(Setting::FileSyncErrno, FaultCounter::FileSync) {
        Some(errno) => fail(errno),
        // SAFETY: the caller's argument.
        None => unsafe { original(fd) },
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn ftruncate64(fd: c_int, length: off64_t) -> c_int {
    let original = original!(c"ftruncate64", fn(c_int, off64_t) -> c_int);
    match file_error(Setting::FileTruncateErrno, FaultCounter::FileTruncate) {
        Some(errno) => fail(errno),
        // SAFETY: the caller's arguments.
        None => unsafe { original(fd, length) },
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: libc::mode_t) -> c_int {
    let original = original!(c"open64", fn(*const c_char, c_int, libc::mode_t) -> c_int);
    let creates = flags & libc::O_CREAT != 0;
    match if creates {
        file_error(Setting::DirectoryUpdateErrno, FaultCounter::DirectoryUpdate)
    } else {
        None
    } {
        Some(errno) => fail(errno),
        // SAFETY: the caller's arguments.
        None => unsafe { original(path, flags, mode) },
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    let original = original!(c"rename", fn(*const c_char, *const c_char) -> c_int);
    match file_error(Setting::DirectoryUpdateErrno, FaultCounter::DirectoryUpdate) {
        Some(errno) => fail(errno),
        // SAFETY: the caller's arguments.
        None => unsafe { original(from, to) },
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn unlink(path: *const c_char) -> c_int {
    let original = original!(c"unlink", fn(*const c_char) -> c_int);
    match file_error(Setting::DirectoryUpdateErrno, FaultCounter::DirectoryUpdate) {
        Some(errno) => fail(errno),
        // SAFETY: the caller's argument.
        None => unsafe { original(path) },
    }
}

/// Number of bytes to request from a read of `length` bytes, possibly fewer.
fn read_length(fd: c_int, length: size_t) -> size_t {
    if length > 1 && is_selected(Setting::ShortReadPerMille) && is_tcp(fd) {
        increment(FaultCounter::ShortRead);
        return length.min(1 + random_below(setting(Setting::ShortReadMaxBytes) as u64) as usize);
    }
    length
}

/// Replaces `ECONNRESET`: a broken connection may also be reported by other error numbers.
fn replace_connection_reset(result: ssize_t) -> ssize_t {
    let replacement = setting(Setting::ConnectionResetErrno);
    if result < 0 && replacement != 0 && errno() == libc::ECONNRESET {
        increment(FaultCounter::ConnectionReset);
        return fail(replacement) as ssize_t;
    }
    result
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let original = original!(c"recv", fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
    // SAFETY: the caller's arguments; the length is at most the caller's.
    replace_connection_reset(unsafe { original(fd, buffer, read_length(fd, length), flags) })
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn readv(fd: c_int, vectors: *const iovec, count: c_int) -> ssize_t {
    let original = original!(c"readv", fn(c_int, *const iovec, c_int) -> ssize_t);
    // SAFETY: the caller's arguments.
    replace_connection_reset(unsafe { original(fd, vectors, count) })
}

/// Number of bytes to pass to a write of `length` bytes, possibly fewer. May delay the call first.
fn write_length(fd: c_int, length: size_t) -> size_t {
    if is_selected(Setting::WriteDelayPerMille) && is_tcp(fd) {
        increment(FaultCounter::WriteDelay);
        let delay = setting(Setting::WriteDelayMs);
        let delay = timespec { tv_sec: delay / 1000, tv_nsec: delay % 1000 * 1_000_000 };
        // SAFETY: `delay` is valid for reads; the remaining time is not requested.
        unsafe { libc::nanosleep(&delay, std::ptr::null_mut()) };
    }
    if length > 1 && is_selected(Setting::ShortWritePerMille) && is_tcp(fd) {
        increment(FaultCounter::ShortWrite);
        return 1 + random_below(length as u64 - 1) as usize;
    }
    length
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let original = original!(c"send", fn(c_int, *const c_void, size_t, c_int) -> ssize_t);
    // SAFETY: the caller's arguments; the length is at most the caller's.
    replace_connection_reset(unsafe { original(fd, buffer, write_length(fd, length), flags) })
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(fd: c_int, vectors: *const iovec, count: c_int) -> ssize_t {
    let original = original!(c"writev", fn(c_int, *const iovec, c_int) -> ssize_t);
    // SAFETY: the caller's arguments; a short write passes only the first vector.
    unsafe {
        if count > 1 && is_selected(Setting::ShortWritePerMille) && is_tcp(fd) {
            increment(FaultCounter::ShortWrite);
            return replace_connection_reset(original(fd, vectors, 1));
        }
        replace_connection_reset(original(fd, vectors, count))
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    let original = original!(c"accept4", fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int);
    if is_selected(Setting::AcceptPerMille) {
        increment(FaultCounter::Accept);
        return fail(setting(Setting::AcceptErrno));
    }
    // SAFETY: the caller's arguments.
    unsafe { original(fd, address, length, flags) }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, socket_type: c_int, protocol: c_int) -> c_int {
    let original = original!(c"socket", fn(c_int, c_int, c_int) -> c_int);
    if domain == libc::AF_INET && is_selected(Setting::SocketPerMille) {
        increment(FaultCounter::Socket);
        return fail(setting(Setting::SocketErrno));
    }
    // SAFETY: the caller's arguments.
    unsafe { original(domain, socket_type, protocol) }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let original = original!(c"connect", fn(c_int, *const sockaddr, socklen_t) -> c_int);
    if is_selected(Setting::ConnectPerMille) && is_tcp(fd) {
        increment(FaultCounter::Connect);
        return fail(setting(Setting::ConnectErrno));
    }
    // SAFETY: the caller's arguments.
    unsafe { original(fd, address, length) }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout_ms: c_int,
) -> c_int {
    let original = original!(c"epoll_wait", fn(c_int, *mut epoll_event, c_int, c_int) -> c_int);
    if timeout_ms != 0 && is_selected(Setting::WaitInterruptedPerMille) {
        increment(FaultCounter::WaitInterrupted);
        return fail(libc::EINTR.into());
    }
    // SAFETY: the caller's arguments.
    unsafe { original(fd, events, max_events, timeout_ms) }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, now: *mut timespec) -> c_int {
    let original = original!(c"clock_gettime", fn(clockid_t, *mut timespec) -> c_int);
    // SAFETY: the caller's arguments; `now` has been written if the call succeeded.
    unsafe {
        let result = original(clock, now);
        if result == 0 && clock == libc::CLOCK_REALTIME {
            (*now).tv_sec += setting(Setting::WallClockStepMs) / 1000;
            (*now).tv_nsec += setting(Setting::WallClockStepMs) % 1000 * 1_000_000;
            if (*now).tv_nsec >= 1_000_000_000 {
                ((*now).tv_sec, (*now).tv_nsec) = ((*now).tv_sec + 1, (*now).tv_nsec - 1_000_000_000);
            } else if (*now).tv_nsec < 0 {
                ((*now).tv_sec, (*now).tv_nsec) = ((*now).tv_sec - 1, (*now).tv_nsec + 1_000_000_000);
            }
        }
        result
    }
}
