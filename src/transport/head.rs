//! The head of a request, and which of its headers go on.

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
    /// Headers, as received.
    pub headers: HeaderMap,
}

impl Head {
    /// Reads the head of a rocket request, refusing one whose headers exceed `max_bytes`.
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

    /// Returns a header as text.
    pub fn header_text(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns a header as a number, or an error if it is present and not a number.
    pub fn header_number(&self, name: &str) -> Result<Option<u64>, NotRunKind> {
        self.header_text(name)
            .map(|text| text.parse().map_err(|_| NotRunKind::BadRequest))
            .transpose()
    }

    /// Returns the headers that go on to a target: none of a single connection, none of the system.
    pub fn forwarded(&self) -> HeaderMap {
        let named = connection_names(&self.headers);
        self.headers
            .iter()
            .filter(|(name, _)| goes_on(name, &named))
            .filter(|(name, _)| !name.as_str().starts_with(header::PREFIX))
            .filter(|(name, _)| *name != http::header::HOST)
            .filter(|(name, _)| *name != http::header::CONTENT_LENGTH)
            .map(|(name, value)| (name.clone(), value.clone()))
            .collect()
    }
}

/// Returns the headers of an answer that go back to a caller.
pub fn answer_headers(headers: &HeaderMap) -> HeaderMap {
    let named = connection_names(headers);
    headers
        .iter()
        .filter(|(name, _)| goes_on(name, &named))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn goes_on(name: &HeaderName, connection_names: &[String]) -> bool {
    header::is_forwarded(name.as_str()) && !connection_names.iter().any(|n| n == name.as_str())
}

fn connection_names(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}
