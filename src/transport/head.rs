//! Heads of requests, and the headers that are forwarded.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use rocket::Request;

use crate::error::NotRunKind;
use crate::protocol::header;

/// Method, path and headers of a request.
#[derive(Clone, Debug)]
pub struct Head {
    /// HTTP method.
    pub method: http::Method,
    /// Path and query, as received.
    pub target: String,
    /// All headers, as received.
    pub headers: HeaderMap,
}

impl Head {
    /// Reads the head of a Rocket request.
    ///
    /// # Errors
    ///
    /// `HeadersTooLarge` if the names and values of the headers exceed `max_bytes` together,
    /// `BadRequest` if the method or a header is invalid.
    pub fn read(req: &Request<'_>, max_bytes: usize) -> Result<Head, NotRunKind> {
        let size: usize = req
            .headers()
            .iter()
            .map(|h| h.name.len() + h.value.len())
            .sum();
        if size > max_bytes {
            return Err(NotRunKind::HeadersTooLarge);
        }
        let method = http::Method::from_bytes(req.method().as_str().as_bytes())
            .map_err(|_| NotRunKind::BadRequest)?;
        let headers = req
            .headers()
            .iter()
            .map(|h| {
                let name = HeaderName::from_bytes(h.name.as_str().as_bytes()).ok()?;
                let value = HeaderValue::from_str(&h.value).ok()?;
                Some((name, value))
            })
            .collect::<Option<HeaderMap>>()
            .ok_or(NotRunKind::BadRequest)?;
        Ok(Head {
            method,
            target: req.uri().to_string(),
            headers,
        })
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the value of a header, if it is present and visible ASCII.
    pub fn header_text(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns the value of a header as a number.
    ///
    /// # Errors
    ///
    /// `BadRequest` if the header is present but not a number.
    pub fn header_number(&self, name: &str) -> Result<Option<u64>, NotRunKind> {
        self.header_text(name)
            .map(|text| text.parse().map_err(|_| NotRunKind::BadRequest))
            .transpose()
    }

    /// Returns the headers to forward: the end-to-end headers except those of the system, the host
    /// and the content length, which are set separately for each request.
    pub fn forwarded(&self) -> HeaderMap {
        let listed = connection_headers(&self.headers);
        self.headers
            .iter()
            .filter(|(name, _)| is_end_to_end(name, &listed))
            .filter(|(name, _)| !name.as_str().starts_with(header::PREFIX))
            .filter(|(name, _)| *name != http::header::HOST)
            .filter(|(name, _)| *name != http::header::CONTENT_LENGTH)
            .map(|(name, value)| (name.clone(), value.clone()))
            .collect()
    }
}

/// Returns the end-to-end headers of a response.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let listed = connection_headers(headers);
    headers
        .iter()
        .filter(|(name, _)| is_end_to_end(name, &listed))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Returns whether a header is forwarded: it neither is a hop-by-hop header nor is listed in the
/// connection header.
fn is_end_to_end(name: &HeaderName, connection_headers: &[String]) -> bool {
    header::is_forwarded(name.as_str()) && !connection_headers.iter().any(|n| n == name.as_str())
}

/// Returns the lowercase names of the headers that the connection headers list.
fn connection_headers(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}
