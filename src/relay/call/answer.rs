//! Answers to callers: responses of targets, refusals and failures.

use std::time::Duration;

use crate::coordination::retry_after;
use crate::coordination::route::Route;
use crate::error::NotRunKind;
use crate::error::UnknownKind;
use crate::http1::Header;
use crate::instance::OrganisationName;
use crate::memory::Body;
use crate::relay::Relay;
use crate::relay::call::Call;
use crate::relay::identity::IdentityError;
use crate::relay::quota::QuotaRefusal;
use crate::relay::response::CallerResponse;
/// Share of the requests of an organisation over its quota that is taken to be admitted, on which the
/// spread of their delays depends.
const OVER_QUOTA_SHARE: f64 = 0.3;

/// Answers a request whose key is not accepted.
pub(super) fn reject(
    relay: &Relay,
    route: &Route,
    e: IdentityError,
    remaining: Duration,
) -> CallerResponse {
    match e {
        IdentityError::Unauthorized => {
            relay.metrics().record_unauthorized();
            CallerResponse::from_node(401, &e.to_string())
        }
        IdentityError::Stale => {
            let kind = NotRunKind::StaleConfiguration;
            relay.metrics().record_refusal(&route.name, kind);
            let wait = retry_after::not_ready(remaining);
            CallerResponse::from_node(503, &kind.to_string()).with_retry_after(wait)
        }
    }
}

impl Call<'_> {
    /// Adds the request id and the signature, whose header names are not sent between nodes.
    pub(super) fn response_headers(
        &self,
        signature: Option<String>,
        rest: Vec<Header>,
    ) -> Vec<Header> {
        let header_names = self.relay.header_names();
        let id = (header_names.request_id, Some(self.id.to_owned()));
        let added = [id, (header_names.signature, signature)];
        let added = added
            .into_iter()
            .filter_map(|(name, value)| Some((name.to_owned(), value?.into_bytes())));
        added.chain(rest).collect()
    }

    pub(super) fn forward_response(
        &self,
        status: u16,
        headers: Vec<Header>,
        body: Body,
    ) -> CallerResponse {
        log::info!(
            request:% = self.id, route:% = self.route.name, status = status,
            took_ms = self.took_ms();
            "answered"
        );
        CallerResponse {
            status,
            headers,
            body,
        }
    }

    /// Answers that the request was not run, with the time after which to retry. `admitted_share`
    /// is the share of such requests that is admitted now.
    pub(super) fn refuse(&self, kind: NotRunKind, admitted_share: f64) -> CallerResponse {
        let remaining = self.deadline.since(self.relay.now());
        let wait = {
            let mut coordination = self.relay.coordination();
            retry_after::after_refusal(remaining, admitted_share, &mut coordination.rng)
        };
        log::info!(
            request:% = self.id, route:% = self.route.name, path:% = self.request.head.target,
            kind:% = kind, root = self.is_root, entering = admitted_share, took_ms = self.took_ms(), retry_after_ms = wait.as_millis() as u64;
            "refused"
        );
        self.relay.metrics().record_refusal(&self.route.name, kind);
        CallerResponse::from_node(503, &kind.to_string()).with_retry_after(wait)
    }

    /// Answers that the outcome of the request is unknown.
    pub(super) fn fail(&self, kind: UnknownKind) -> CallerResponse {
        log::info!(
            request:% = self.id, route:% = self.route.name, kind:% = kind, root = self.is_root,
            took_ms = self.took_ms();
            "failed"
        );
        self.relay.metrics().record_failure(&self.route.name, kind);
        let status = match kind {
            UnknownKind::Deadline => 504,
            _ => 502,
        };
        CallerResponse::from_node(status, &kind.to_string())
    }

    /// Answers that the request was not run, because of the quota of its organisation.
    pub(super) fn refuse_for_quota(
        &self,
        name: &OrganisationName,
        refusal: QuotaRefusal,
    ) -> CallerResponse {
        let remaining = self.deadline.since(self.relay.now());
        let wait = {
            let mut coordination = self.relay.coordination();
            retry_after::after_refusal(remaining, OVER_QUOTA_SHARE, &mut coordination.rng)
        };
        let wait = wait.max(refusal.retry_in);
        log::info!(
            request:% = self.id, route:% = self.route.name, organisation:% = name,
            kind:% = refusal.kind, took_ms = self.took_ms(),
            retry_after_ms = wait.as_millis() as u64;
            "refused"
        );
        self.relay
            .metrics()
            .record_refusal(&self.route.name, refusal.kind);
        let status = match refusal.kind {
            NotRunKind::OverQuota => 429,
            _ => 503,
        };
        CallerResponse::from_node(status, &refusal.kind.to_string()).with_retry_after(wait)
    }
}
