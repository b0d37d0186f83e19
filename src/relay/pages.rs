//! HTTP pages of a node: readiness and metrics.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use rocket::Data;
use rocket::Request;
use rocket::Response;
use rocket::Route;
use rocket::http::ContentType;
use rocket::http::Method;
use rocket::http::Status;
use rocket::route::Handler;
use rocket::route::Outcome;

use crate::transport::server::Server;

/// Path of the metrics page, in the Prometheus text format.
pub const METRICS_PATH: &str = "/metrics";

/// Status and body of a page.
pub type Page = (Status, String);

/// A page whose content is computed for each request.
#[derive(Clone)]
struct DynamicPage(Arc<dyn Fn() -> Page + Send + Sync>);

#[rocket::async_trait]
impl Handler for DynamicPage {
    async fn handle<'r>(&self, _req: &'r Request<'_>, _data: Data<'r>) -> Outcome<'r> {
        let (status, text) = (self.0)();
        let body = io::Cursor::new(text.into_bytes());
        let len = body.get_ref().len();
        let response = Response::build()
            .status(status)
            .header(ContentType::Plain)
            .sized_body(len, body)
            .finalize();
        Outcome::Success(response)
    }
}

/// Serves one page at `path` of `address`.
///
/// # Errors
///
/// If the address cannot be bound.
pub async fn serve<F>(address: SocketAddr, path: &str, content: F) -> io::Result<Server>
where
    F: Fn() -> Page + Send + Sync + 'static,
{
    let page = DynamicPage(Arc::new(content));
    Server::start(address, vec![Route::new(Method::Get, path, page)]).await
}
