//! The operator port, which serves `/metrics` and `/status`.

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

/// Path of the metrics in the Prometheus text format.
pub const METRICS_PATH: &str = "/metrics";

/// Path of the status as JSON.
pub const STATUS_PATH: &str = "/status";

/// Sources of the pages of the operator port.
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
    /// Builds a port that serves `metrics` and the status that `status` returns at each request.
    pub fn new<F>(metrics: Arc<Metrics>, status: F) -> OperatorPort
    where
        F: Fn() -> Status + Send + Sync + 'static,
    {
        OperatorPort {
            metrics,
            status: Arc::new(status),
        }
    }

    /// Starts to serve the port at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<Server> {
        let page = |path, page| {
            let port = self.clone();
            Route::new(Method::Get, path, PageHandler { port, page })
        };
        let routes = vec![
            page(METRICS_PATH, Page::Metrics),
            page(STATUS_PATH, Page::Status),
        ];
        Server::start(address, routes).await
    }

    /// Returns the content type and the text of a page.
    fn content(&self, page: Page) -> serde_json::Result<(ContentType, String)> {
        let status = (self.status)();
        match page {
            Page::Metrics => Ok((prometheus_text(), self.metrics.text(&status))),
            Page::Status => Ok((ContentType::JSON, serde_json::to_string(&status)?)),
        }
    }
}

/// A page of the operator port.
#[derive(Clone, Copy, Debug)]
enum Page {
    Metrics,
    Status,
}

/// Request handler of one page.
#[derive(Clone)]
struct PageHandler {
    port: OperatorPort,
    page: Page,
}

#[rocket::async_trait]
impl Handler for PageHandler {
    async fn handle<'r>(&self, _req: &'r Request<'_>, _data: Data<'r>) -> Outcome<'r> {
        let (kind, text) = match self.port.content(self.page) {
            Ok(content) => content,
            Err(e) => {
                log::error!("operator port cannot encode the status: {e}");
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

/// Returns the content type of the Prometheus text format.
fn prometheus_text() -> ContentType {
    ContentType::new("text", "plain").with_params(("version", "0.0.4"))
}
