use super::*;
use std::collections::VecDeque;
use std::sync::Mutex;
use tokio::time::Instant;

/// The errors that `accept` documents for Linux, among them the network errors of the new connection.
const DOCUMENTED_ERRORS: [i32; 14] = [
    libc::EAGAIN,
    libc::ECONNABORTED,
    libc::EHOSTDOWN,
    libc::EHOSTUNREACH,
    libc::EINTR,
    libc::EMFILE,
    libc::ENETDOWN,
    libc::ENETUNREACH,
    libc::ENFILE,
    libc::ENOBUFS,
    libc::ENOMEM,
    libc::ENOPROTOOPT,
    libc::EOPNOTSUPP,
    libc::EPROTO,
];

/// A listener whose `accept` fails with each of these OS errors before it accepts a connection.
struct FailingListener {
    errors: Mutex<VecDeque<i32>>,
}

impl FailingListener {
    fn new(errors: impl IntoIterator<Item = i32>) -> Self {
        FailingListener { errors: Mutex::new(errors.into_iter().collect()) }
    }
}

impl Accept for FailingListener {
    type Connection = ();

    async fn accept(&self) -> io::Result<()> {
        let error = self.errors.lock().expect("no test panics while it holds the lock").pop_front();
        error.map_or(Ok(()), |code| Err(io::Error::from_raw_os_error(code)))
    }
}

#[tokio::test(start_paused = true)]
async fn a_connection_is_accepted_at_once_after_each_error() {
    let started_at = Instant::now();
    for error in DOCUMENTED_ERRORS {
        accept_next(&FailingListener::new([error]), "test").await;
    }
    accept_next(&FailingListener::new(DOCUMENTED_ERRORS), "test").await;
    assert_eq!(started_at.elapsed(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn lasting_errors_do_not_cause_a_busy_loop() {
    let started_at = Instant::now();
    // The process has no free descriptor.
    let listener = FailingListener::new([libc::EMFILE; 1600]);
    accept_next(&listener, "test").await;
    assert!(started_at.elapsed() >= Duration::from_secs(1), "{:?}", started_at.elapsed());
}
