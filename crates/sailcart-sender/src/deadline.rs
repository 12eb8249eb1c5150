//! Deadlines of a process that may stand still. When it goes on, its timers have run out before it has learned of what
//! arrived meanwhile: the runtime reports input only when it polls, and expired timers without polling.

use std::future::Future;
use std::pin::pin;

use tokio::task::yield_now;
use tokio::time::{Instant, error::Elapsed, sleep_until, timeout_at};

/// Completes once a deadline has passed and the tasks that wait for input that had arrived by then have run.
pub async fn passed(deadline: Instant) {
    sleep_until(deadline).await;
    input_reported().await;
}

/// Completes once the tasks that wait for input that has arrived by now have run.
pub async fn input_reported() {
    yield_now().await; // the runtime polls before it runs the tasks that have yielded
}

/// Runs a future until a deadline. What had arrived by the deadline counts, however late the process reads it.
///
/// # Errors
/// The deadline has passed and the future has not completed.
pub async fn until<T>(deadline: Instant, future: impl Future<Output = T>) -> Result<T, Elapsed> {
    let mut future = pin!(future);
    match timeout_at(deadline, &mut future).await {
        Err(_) => {
            input_reported().await;
            timeout_at(deadline, future).await // polls the future first
        }
        completed => completed,
    }
}
