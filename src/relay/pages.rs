//! HTTP pages of a node: readiness and metrics.

use std::collections::HashMap;
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

/// Path of the page that previews where a request would go, as JSON.
pub const PREVIEW_PATH: &str = "/preview";

/// Path of the metrics page, in the Prometheus text format.
pub const METRICS_PATH: &str = "/metrics";

/// Status and body of a page.
pub type Page = (Status, String);

/// Values of the query of a request for a page, by name.
pub type PageQuery = HashMap<String, String>;

/// A page whose content is computed for each request.
#[derive(Clone)]
pub struct DynamicPage(Arc<dyn Fn(&PageQuery) -> Page + Send + Sync>);

impl std::fmt::Debug for DynamicPage {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("DynamicPage")
    }
}

impl DynamicPage {
    /// Builds a page from a function of the query.
    pub fn new<F>(content: F) -> DynamicPage
    where
        F: Fn(&PageQuery) -> Page + Send + Sync + 'static,
    {
        DynamicPage(Arc::new(content))
    }
}

#[rocket::async_trait]
impl Handler for DynamicPage {
    async fn handle<'r>(&self, req: &'r Request<'_>, _data: Data<'r>) -> Outcome<'r> {
        let fields = req.query_fields();
        let query = fields.map(|field| (field.name.to_string(), field.value.to_owned()));
        let (status, text) = (self.0)(&query.collect());
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

/// Serves pages, each at its path of `address`.
///
/// # Errors
///
/// If the address cannot be bound.
pub async fn serve(address: SocketAddr, pages: Vec<(&str, DynamicPage)>) -> io::Result<Server> {
    let routes = pages.into_iter();
    let routes = routes.map(|(path, page)| Route::new(Method::Get, path, page));
    Server::start(address, routes.collect()).await
}
