//! Reads a call that arrives: its head, its context and what it asks for.

use std::net::IpAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderName;
use rocket::Request;
use xxhash_rust::xxh3::xxh3_64;

use crate::call::CallContext;
use crate::call::RequestId;
use crate::coordination::attempts::AttemptId;
use crate::coordination::call_options::CallOptions;
use crate::coordination::gate::Refusal;
use crate::coordination::gate::Source;
use crate::error::NotRunKind;
use crate::fingerprint::Fingerprint;
use crate::fingerprint::RequestParts;
use crate::node::Node;
use crate::protocol::header;
use crate::protocol::hop::HopError;
use crate::transport::head::Head;

/// A call with its head read and its context known.
pub struct IncomingCall {
    /// Method, path and headers.
    pub head: Head,
    /// Context of the call.
    pub context: CallContext,
    /// How it came.
    pub source: Source,
    /// Whether it may leave its region.
    pub cross_region: bool,
}

impl IncomingCall {
    /// Returns whether calls like this need an idempotency token.
    pub fn spends_tokens(&self) -> bool {
        matches!(self.source, Source::Caller { .. }) && !self.context.idempotent
    }
}

/// Reads the head of a call, from a caller or another node.
///
/// # Errors
///
/// If its headers are too large or malformed, or its hop header is not accepted.
pub fn read_call(node: &Node, req: &Request<'_>) -> Result<IncomingCall, Refusal> {
    let head = Head::read(req, node.settings.limits.max_header_bytes as usize)?;
    match head
        .header_text(header::HOP)
        .map(|text| node.verify_hop(text))
    {
        Some(Ok(hop)) => Ok(IncomingCall {
            head,
            context: hop.context,
            source: Source::Node(AttemptId {
                from: hop.from,
                incarnation: hop.incarnation,
                number: hop.attempt,
            }),
            cross_region: false,
        }),
        Some(Err(HopError::Version(_))) => Err(NotRunKind::Version.into()),
        Some(Err(_)) => Err(NotRunKind::HopRejected.into()),
        None => Ok(enter(node, head, req.client_ip())?),
    }
}

fn enter(node: &Node, head: Head, caller: Option<IpAddr>) -> Result<IncomingCall, NotRunKind> {
    let policy = node.policy();
    let service = node.service.as_str();
    let rule = policy.rule_for(head.method.as_str(), service, head.path());
    let options = CallOptions::new(rule, head.method.as_str());
    let resent = head.header_number(header::ATTEMPT)?.unwrap_or(0) > 0;
    let waits = head
        .header_number(header::TIMEOUT_MS)?
        .map(Duration::from_millis);
    let given = head.header_text(header::REQUEST_ID);
    let source = Source::Caller {
        caller: caller.map_or(0, |ip| xxh3_64(ip.to_string().as_bytes())),
        supplied_id: given.is_some(),
    };
    let request = given.map_or_else(|| node.new_request_id(), RequestId::from_text);
    let context = options.root_context(request, waits, resent);
    let cross_region = options.cross_region;
    Ok(IncomingCall {
        head,
        context,
        source,
        cross_region,
    })
}

/// Computes the fingerprint of a call; that of a streamed body covers its stated length only.
pub fn fingerprint(node: &Node, head: &Head, body: Option<&Bytes>) -> Fingerprint {
    let length = http::header::CONTENT_LENGTH;
    let counts = |name: &HeaderName| {
        header::is_fingerprinted(name.as_str()) || (body.is_none() && *name == length)
    };
    let headers: Vec<(&str, &[u8])> = head
        .headers
        .iter()
        .filter(|(name, _)| counts(name))
        .map(|(name, value)| (name.as_str(), value.as_bytes()))
        .collect();
    let parts = RequestParts {
        caller: "",
        service: node.service.as_str(),
        method: head.method.as_str(),
        path: &head.target,
        headers: &headers,
        body: body.map_or(&[], |bytes| bytes),
    };
    parts.fingerprint()
}
