//! An HTTP endpoint whose calls the test receives and responds to.

use super::EVENT_TIMEOUT;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

/// A call that a stub received. Nothing is written on its connection until the test responds.
pub(crate) struct ReceivedCall {
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Sending `None` closes the connection. The channel is closed once the caller has closed the connection.
    response: oneshot::Sender<Option<Response<Full<Bytes>>>>,
}

impl ReceivedCall {
    /// The value of a header; empty if there is none.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    pub(crate) fn respond(self, status: u16) {
        self.respond_with(status, &[], "");
    }

    pub(crate) fn respond_with(self, status: u16, headers: &[(&str, &str)], body: &str) {
        let mut response = Response::builder().status(status);
        for (name, value) in headers {
            response = response.header(*name, *value);
        }
        let _ = self.response.send(response.body(Full::new(Bytes::from(body.to_owned()))).ok());
    }

    /// Closes the connection without a response.
    pub(crate) fn disconnect(self) {
        let _ = self.response.send(None);
    }

    /// Waits until the caller has closed the connection.
    pub(crate) async fn closed(mut self) {
        timeout(EVENT_TIMEOUT, self.response.closed()).await.expect("the caller closes the connection");
    }
}

/// An HTTP endpoint that passes each call to the test, in the order of their arrival.
pub(crate) struct EndpointStub {
    pub address: SocketAddr,
    calls: mpsc::UnboundedReceiver<ReceivedCall>,
    connections: Arc<AtomicUsize>,
    accept_task: AbortHandle,
}

impl EndpointStub {
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let (call_sender, calls) = mpsc::unbounded_channel();
        let connections = Arc::new(AtomicUsize::new(0));
        let counter = connections.clone();
        let accept_task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                counter.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(serve_connection(stream, call_sender.clone()));
            }
        });
        EndpointStub { address, calls, connections, accept_task: accept_task.abort_handle() }
    }

    /// The number of connections accepted so far.
    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Stops listening, and returns the address, where connections are refused from now on.
    pub(crate) async fn stop(self) -> SocketAddr {
        self.accept_task.abort();
        while TcpStream::connect(self.address).await.is_ok() {
            sleep(Duration::from_millis(1)).await;
        }
        self.address
    }

    pub(crate) async fn next_call(&mut self) -> ReceivedCall {
        timeout(EVENT_TIMEOUT, self.calls.recv())
            .await
            .expect("a call arrives in time")
            .expect("the stub listens")
    }

    /// Waits for the next call without a timeout. Returns `None` once no more can arrive.
    pub(crate) async fn receive_call(&mut self) -> Option<ReceivedCall> {
        self.calls.recv().await
    }

    /// Whether no call arrives for this long.
    pub(crate) async fn is_quiet(&mut self, span: Duration) -> bool {
        timeout(span, self.calls.recv()).await.is_err()
    }
}

async fn serve_connection(stream: TcpStream, calls: mpsc::UnboundedSender<ReceivedCall>) {
    let service = service_fn(|request: Request<Incoming>| async {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        let (response, response_receiver) = oneshot::channel();
        let path = parts.uri.to_string();
        let _ = calls.send(ReceivedCall { path, headers: parts.headers, body, response });
        response_receiver.await.ok().flatten().ok_or(io::Error::from(io::ErrorKind::ConnectionReset))
    });
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}
