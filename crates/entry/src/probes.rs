//! The endpoints for the platform: readiness and metrics.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use camphorwalk_adapter::paths;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::errors::{Error, Result};
use crate::host::Shared;

/// Starts to listen on the readiness and metrics addresses of the settings. Returns the readiness
/// address.
pub(crate) async fn start(shared: &Rc<Shared>) -> Result<SocketAddr> {
    listen(shared, shared.settings.metrics_address).await?;
    listen(shared, shared.settings.ready_address).await
}

async fn listen(shared: &Rc<Shared>, address: SocketAddr) -> Result<SocketAddr> {
    let listener = TcpListener::bind(address).await.map_err(|e| Error::listen(address, e))?;
    let local = listener.local_addr().map_err(|e| Error::listen(address, e))?;
    let shared = Rc::clone(shared);

    tokio::task::spawn_local(async move {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(e) => {
                    tracing::warn!(error = %e, "probe: accept failed");
                    tokio::time::sleep(crate::callers::ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let shared = Rc::clone(&shared);
            let service = service_fn(move |req| {
                let answer = answer(&shared, &req);
                async move { Ok::<_, Infallible>(answer) }
            });

            tokio::task::spawn_local(async move {
                // The client may disconnect at any time.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });

    Ok(local)
}

fn answer(shared: &Shared, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, body) = match req.uri().path() {
        paths::READY if shared.is_ready() => (StatusCode::OK, Bytes::new()),
        paths::READY => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        paths::METRICS => (StatusCode::OK, shared.metrics.text().into()),
        _ => (StatusCode::NOT_FOUND, Bytes::new()),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;

    response
}
