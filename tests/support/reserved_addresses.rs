//! Reserves addresses that are still free when a forwarder binds them.

use std::net::{SocketAddr, TcpListener};
use std::process;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locked while a process is started, and while a listener is open that is closed to free its port. Between
/// fork and exec, a process has copies of all descriptors of the test, so the port stays in use until exec
/// closes the copy.
static FORK_LOCK: Mutex<()> = Mutex::new(());

/// Waits until no other test holds the lock.
pub(super) fn lock_fork() -> MutexGuard<'static, ()> {
    // The lock guards no data, so a panic while it was locked does no harm.
    FORK_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Free ports of an IP address that no other test uses, so they stay free until the forwarder binds them.
pub(super) struct ReservedAddresses {
    pub address: SocketAddr,
    pub admin_address: SocketAddr,
    /// The listener at `address`, if the forwarder inherits it.
    pub listener: Option<TcpListener>,
}

impl ReservedAddresses {
    pub(super) fn reserve(number: usize, keep_listener: bool) -> Self {
        let pid = process::id();
        let any_port = format!("127.{}.{}.{}:0", 1 + pid / 250 % 250, 1 + pid % 250, 1 + number % 250);
        let _no_fork = lock_fork();
        let [listener, admin_listener] = [(); 2].map(|()| TcpListener::bind(&any_port).expect("a free port"));
        let [address, admin_address] =
            [&listener, &admin_listener].map(|listener| listener.local_addr().expect("it is bound"));
        drop(admin_listener);
        ReservedAddresses { address, admin_address, listener: keep_listener.then_some(listener) }
    }
}
