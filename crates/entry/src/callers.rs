//! Accepts the connections of callers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use camphorwalk_core::entry::CallLimits;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::errors::{Error, Result};
use crate::host::Shared;
use crate::{call, connections};

/// The pause after a failed accept, which is mostly caused by a lack of file descriptors.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER: usize = 8_192;

/// The limits on requests until the first manifest is known.
const DEFAULT_LIMITS: CallLimits = CallLimits {
    head_bytes: 16_384,
    body_bytes: 4 << 20,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Starts to accept connections, and returns the address on which the host listens.
pub(crate) async fn start(shared: &Rc<Shared>) -> Result<SocketAddr> {
    let address = shared.settings.callers_address;
    let listener = TcpListener::bind(address).await.map_err(|e| Error::listen(address, e))?;
    let local = listener.local_addr().map_err(|e| Error::listen(address, e))?;
    let shared = Rc::clone(shared);

    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(serve(Rc::clone(&shared), stream));
                }
                Err(e) => {
                    tracing::warn!(error = %e, "callers: accept failed");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });

    Ok(local)
}

/// Returns the limits on callers' requests.
pub(crate) fn limits(shared: &Shared) -> CallLimits {
    shared.routes.borrow().as_ref().map_or(DEFAULT_LIMITS, |table| table.routing().limits)
}

async fn serve(shared: Rc<Shared>, stream: TcpStream) {
    connections::set_socket_options(&stream);
    let limits = limits(&shared);
    let service = {
        let shared = Rc::clone(&shared);
        service_fn(move |req| {
            let shared = Rc::clone(&shared);
            async move { Ok::<_, Infallible>(call::serve(shared, req).await) }
        })
    };
    // The header timeout also limits how long a connection may stay idle, so it is the longer of
    // the two.
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout.max(limits.idle_timeout))
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER))
        .serve_connection(TokioIo::new(stream), service);

    // A caller may disconnect at any time. Dropping the service's future then ends the work for its
    // call.
    if let Err(e) = connection.await {
        tracing::trace!(error = %e, "callers: connection closed");
    }
}
