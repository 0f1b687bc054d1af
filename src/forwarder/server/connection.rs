//! Serves one client connection, from its opening to its graceful shutdown.

use super::activity::ConnectionActivity;
use super::handler::RequestHandler;
use super::lifecycle::LifecyclePhase;
use super::stream::ClientStream;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Maximum number of unread bytes that a connection buffers, and so the maximum length of a head.
const MAX_BUFFER_BYTES: usize = 16 << 10;
/// The time that closing an idle connection may take. It exceeds the timeout of the lingering close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The interval at which connections are checked for being idle while the process drains or stops.
pub(super) const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Serves the requests of one client until it closes the connection, the connection expires or the process
/// ends.
pub(super) async fn serve_connection(
    stream: TcpStream,
    handler: Arc<RequestHandler>,
    activity: Arc<ConnectionActivity>,
) {
    let _ = stream.set_nodelay(true);
    let mut phase = handler.phase.clone();
    let stream = ClientStream::new(stream, activity.clone(), handler.request_memory.clone());
    let service_activity = activity.clone();
    let service = service_fn(move |request| {
        let (handler, activity) = (handler.clone(), service_activity.clone());
        // Recorded before the future is polled, because hyper checks for the end of the connection first.
        activity.begin_request();
        async move { Ok::<_, Infallible>(handler.handle(request, &activity).await) }
    });
    let mut server = http1::Builder::new();
    // Hyper's own timeout for the head starts when the connection becomes idle, so it could expire during a
    // request. `expiry` replaces it.
    server.timer(TokioTimer::new()).header_read_timeout(None).max_buf_size(MAX_BUFFER_BYTES);
    let mut connection = pin!(server.serve_connection(TokioIo::new(stream), service));
    // An error affects only this client, and closing the connection handles it.
    tokio::select! {
        // The connection is polled first, so that a request that has just arrived keeps it open.
        biased;
        _ = connection.as_mut() => return,
        () = idle_during_shutdown(&mut phase, &activity) => {}
        () = expiry(&activity) => {}
    }
    activity.begin_idle_close();
    // A head that was not completed in time is not a request and gets no reply.
    if activity.is_within_request() {
        return;
    }
    connection.as_mut().graceful_shutdown();
    // The time is bounded, because the client may not read the replies that are left.
    let _ = timeout(CLOSE_TIMEOUT, connection).await;
}

/// Completes when the connection should be closed because the process drains or stops: once it has been idle
/// for as long as the phase demands. A request that has started to arrive is completed first.
async fn idle_during_shutdown(phase: &mut watch::Receiver<LifecyclePhase>, activity: &ConnectionActivity) {
    loop {
        // The runtime, which holds the sender, lives as long as the process.
        let _ = phase.wait_for(|phase| phase.idle_close_delay().is_some()).await;
        let shutdown_began_at = Instant::now();
        // The phase may return to one in which connections stay open.
        while let Some(delay) = current_idle_close_delay(phase) {
            let idle_long_enough = activity.idle_time().is_some_and(|idle_time| idle_time >= delay);
            if shutdown_began_at.elapsed() >= delay && idle_long_enough && !activity.is_within_request() {
                return;
            }
            sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
    }
}

fn current_idle_close_delay(phase: &watch::Receiver<LifecyclePhase>) -> Option<Duration> {
    phase.borrow().idle_close_delay()
}

/// Completes when the connection has been idle, or has been receiving a head, for as long as it may.
async fn expiry(activity: &ConnectionActivity) {
    loop {
        match activity.remaining_head_time() {
            Duration::ZERO => return,
            remaining => sleep(remaining).await,
        }
    }
}
