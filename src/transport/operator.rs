//! HTTP port for operators: `/metrics` and `/status`.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use rocket::Data;
use rocket::Request;
use rocket::Response;
use rocket::Route;
use rocket::http::ContentType;
use rocket::http::Method;
use rocket::route::Handler;
use rocket::route::Outcome;

use crate::metrics::Metrics;
use crate::status::Status;
use crate::transport::server::Server;

/// Path of the metrics in Prometheus text.
pub const METRICS_PATH: &str = "/metrics";

/// Path of the status in JSON.
pub const STATUS_PATH: &str = "/status";

/// What the operator port shows.
#[derive(Clone)]
pub struct OperatorPort {
    metrics: Arc<Metrics>,
    status: Arc<dyn Fn() -> Status + Send + Sync>,
}

impl fmt::Debug for OperatorPort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorPort").finish_non_exhaustive()
    }
}

impl OperatorPort {
    /// Builds a port that shows `metrics` and what `status` returns.
    pub fn new<F>(metrics: Arc<Metrics>, status: F) -> OperatorPort
    where
        F: Fn() -> Status + Send + Sync + 'static,
    {
        OperatorPort {
            metrics,
            status: Arc::new(status),
        }
    }

    /// Serves the port at `address`.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<Server> {
        let page = |path, page| {
            let port = self.clone();
            Route::new(Method::Get, path, ShownPage { port, page })
        };
        let routes = vec![
            page(METRICS_PATH, Page::Metrics),
            page(STATUS_PATH, Page::Status),
        ];
        Server::start(address, routes).await
    }

    fn content(&self, page: Page) -> serde_json::Result<(ContentType, String)> {
        let status = (self.status)();
        match page {
            Page::Metrics => Ok((prometheus_text(), self.metrics.text(&status))),
            Page::Status => Ok((ContentType::JSON, serde_json::to_string(&status)?)),
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Page {
    Metrics,
    Status,
}

#[derive(Clone)]
struct ShownPage {
    port: OperatorPort,
    page: Page,
}

#[rocket::async_trait]
impl Handler for ShownPage {
    async fn handle<'r>(&self, _req: &'r Request<'_>, _data: Data<'r>) -> Outcome<'r> {
        let (kind, text) = match self.port.content(self.page) {
            Ok(content) => content,
            Err(e) => {
                log::error!("operator port: {e}");
                return Outcome::Error(rocket::http::Status::InternalServerError);
            }
        };
        let body = io::Cursor::new(text.into_bytes());
        let len = body.get_ref().len();
        let response = Response::build()
            .header(kind)
            .sized_body(len, body)
            .finalize();
        Outcome::Success(response)
    }
}

fn prometheus_text() -> ContentType {
    ContentType::new("text", "plain").with_params(("version", "0.0.4"))
}
