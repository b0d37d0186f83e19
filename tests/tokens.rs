//! Idempotency tokens: at most one run per token, replay, refusals and bounded memory.

use std::time::Duration;

use dragonflylead::ErrorKind;
use dragonflylead::Fingerprint;
use dragonflylead::NotRunKind;
use dragonflylead::Time;
use dragonflylead::UnknownKind;
use dragonflylead::coordination::token::MAX_KEPT_BYTES;
use dragonflylead::coordination::token::MAX_TOKENS;
use dragonflylead::coordination::token::RESPONSE_RETENTION;
use dragonflylead::coordination::token::Redemption;
use dragonflylead::coordination::token::TOKEN_VALIDITY;
use dragonflylead::coordination::token::Token;
use dragonflylead::coordination::token::TokenLimits;
use dragonflylead::coordination::token::Tokens;
use dragonflylead::instance::Incarnation;
use dragonflylead::instance::InstanceName;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

const CHARGE: Fingerprint = Fingerprint([1; 16]);
const OTHER: Fingerprint = Fingerprint([2; 16]);
const NOW: Time = Time::from_millis(500);

type Table = Tokens<&'static str>;

fn rng() -> ChaCha12Rng {
    ChaCha12Rng::seed_from_u64(11)
}

fn table(incarnation: u64) -> Table {
    Tokens::new(
        &InstanceName::new("payments-1"),
        Incarnation(incarnation),
        TokenLimits::default(),
    )
}

fn refused<K>(kind: K) -> Redemption<&'static str>
where
    K: Into<ErrorKind>,
{
    Redemption::Refused(kind.into())
}

struct Case {
    name: &'static str,
    /// Operations between minting the token and the redemption under test.
    before: fn(&mut Table, &Token),
    fingerprint: Fingerprint,
    after: Duration,
    want: Redemption<&'static str>,
}

fn start_run(table: &mut Table, token: &Token) {
    assert_eq!(table.redeem(NOW, token, CHARGE), Redemption::Run);
}

fn cases() -> Vec<Case> {
    let base = || Case {
        name: "new token",
        before: |_, _| {},
        fingerprint: CHARGE,
        after: Duration::ZERO,
        want: Redemption::Run,
    };
    vec![
        base(),
        Case {
            name: "copy while the first call runs",
            before: start_run,
            want: Redemption::InProgress,
            ..base()
        },
        Case {
            name: "copy after validity and retention, first call still running",
            before: start_run,
            after: TOKEN_VALIDITY + 2 * RESPONSE_RETENTION,
            want: Redemption::InProgress,
            ..base()
        },
        Case {
            name: "copy after the response",
            before: |table, token| {
                start_run(table, token);
                table.complete(NOW, token, "receipt", 7);
            },
            want: Redemption::Replay("receipt"),
            ..base()
        },
        Case {
            name: "copy just before the response expires",
            before: |table, token| {
                start_run(table, token);
                table.complete(NOW, token, "receipt", 7);
            },
            after: TOKEN_VALIDITY + RESPONSE_RETENTION - Duration::from_micros(1),
            want: Redemption::Replay("receipt"),
            ..base()
        },
        Case {
            name: "copy after the response expired",
            before: |table, token| {
                start_run(table, token);
                table.complete(NOW, token, "receipt", 7);
            },
            after: TOKEN_VALIDITY + RESPONSE_RETENTION,
            want: refused(UnknownKind::TokenExpired),
            ..base()
        },
        Case {
            name: "different request while the first runs",
            before: start_run,
            fingerprint: OTHER,
            want: refused(NotRunKind::RequestMismatch),
            ..base()
        },
        Case {
            name: "different request after the response",
            before: |table, token| {
                start_run(table, token);
                table.complete(NOW, token, "receipt", 7);
            },
            fingerprint: OTHER,
            want: refused(NotRunKind::RequestMismatch),
            ..base()
        },
        Case {
            name: "delayed copy after the call was refused",
            before: |table, token| {
                start_run(table, token);
                table.burn(NOW, token);
            },
            want: refused(NotRunKind::TokenBurned),
            ..base()
        },
        Case {
            name: "burned before it was redeemed",
            before: |table, token| table.burn(NOW, token),
            want: refused(NotRunKind::TokenBurned),
            ..base()
        },
        Case {
            name: "burned after the response",
            before: |table, token| {
                start_run(table, token);
                table.complete(NOW, token, "receipt", 7);
                table.burn(NOW, token);
            },
            want: Redemption::Replay("receipt"),
            ..base()
        },
        Case {
            name: "outcome of the run unknown",
            before: |table, token| {
                start_run(table, token);
                table.complete_unknown(NOW, token, UnknownKind::TargetCrashed);
            },
            want: refused(UnknownKind::TargetCrashed),
            ..base()
        },
        Case {
            name: "response too large to keep",
            before: |table, token| {
                start_run(table, token);
                table.complete(NOW, token, "receipt", MAX_KEPT_BYTES + 1);
            },
            want: refused(UnknownKind::AnswerNotKept),
            ..base()
        },
        Case {
            name: "redeemed after its validity, so certainly not run",
            after: TOKEN_VALIDITY,
            want: refused(NotRunKind::TokenBurned),
            ..base()
        },
        Case {
            name: "redeemed after its record was removed",
            after: TOKEN_VALIDITY + RESPONSE_RETENTION,
            want: refused(UnknownKind::TokenExpired),
            ..base()
        },
    ]
}

#[test]
fn a_token_runs_at_most_once() {
    for case in cases() {
        let mut table = table(1);
        let token = table.mint(NOW, &mut rng()).unwrap();
        (case.before)(&mut table, &token);
        let got = table.redeem(NOW.plus(case.after), &token, case.fingerprint);
        assert_eq!(got, case.want, "{}", case.name);
        let again = table.redeem(NOW.plus(case.after), &token, case.fingerprint);
        assert_ne!(again, Redemption::Run, "{}", case.name);
    }
}

#[test]
fn forged_tokens_and_tokens_of_others_do_not_run() {
    struct Case {
        name: &'static str,
        change: fn(Vec<String>) -> Vec<String>,
        want: Redemption<&'static str>,
    }
    fn replace_group(mut groups: Vec<String>, at: usize) -> Vec<String> {
        groups[at] = format!("{:016x}", 0xabc);
        groups
    }
    let cases = [
        Case {
            name: "token of another instance",
            change: |groups| replace_group(groups, 0),
            want: refused(UnknownKind::TokenForeign),
        },
        Case {
            name: "token of another incarnation",
            change: |groups| replace_group(groups, 1),
            want: refused(UnknownKind::TokenForeign),
        },
        Case {
            name: "sequence number not minted yet",
            change: |groups| replace_group(groups, 2),
            want: refused(NotRunKind::BadRequest),
        },
        Case {
            name: "wrong secret",
            change: |groups| replace_group(groups, 3),
            want: refused(NotRunKind::BadRequest),
        },
    ];
    let mut table = table(1);
    let token = table.mint(NOW, &mut rng()).unwrap();
    for case in cases {
        let groups = token.to_string().split('-').map(String::from).collect();
        let forged: Token = (case.change)(groups).join("-").parse().unwrap();
        table.burn(NOW, &forged);
        let got = table.redeem(NOW, &forged, CHARGE);
        assert_eq!(got, case.want, "{}", case.name);
    }
    assert_eq!(table.redeem(NOW, &token, CHARGE), Redemption::Run);
    assert!(token.is_minted_by(&InstanceName::new("payments-1")));
    assert!(!token.is_minted_by(&InstanceName::new("payments-2")));
    for text in ["", "1-2-3-4", &token.to_string()[1..], "+-é-0-0"] {
        assert!(text.parse::<Token>().is_err(), "{text}");
    }
}

#[test]
fn a_token_from_before_a_restart_is_unknown_and_not_not_run() {
    let mut first = table(1);
    let token = first.mint(NOW, &mut rng()).unwrap();
    start_run(&mut first, &token);
    let mut restarted = table(2);
    let new_token = restarted.mint(NOW, &mut rng()).unwrap();
    let got = restarted.redeem(NOW, &token, CHARGE);
    assert_eq!(got, refused(UnknownKind::TokenForeign));
    assert_eq!(restarted.redeem(NOW, &new_token, CHARGE), Redemption::Run);
}

#[test]
fn a_full_table_mints_no_token_and_evicts_none() {
    let mut table = table(1);
    let mut rng = rng();
    let tokens: Vec<Token> = (0..MAX_TOKENS)
        .map(|_| table.mint(NOW, &mut rng).unwrap())
        .collect();
    assert_eq!(table.mint(NOW, &mut rng), Err(NotRunKind::TokensExhausted));
    let size = MAX_KEPT_BYTES / 8;
    for token in &tokens[..10] {
        start_run(&mut table, token);
        table.complete(NOW, token, "receipt", size);
    }
    assert_eq!(table.kept_bytes(), MAX_KEPT_BYTES);
    let replayed = table.redeem(NOW, &tokens[7], CHARGE);
    let not_kept = table.redeem(NOW, &tokens[8], CHARGE);
    assert_eq!(replayed, Redemption::Replay("receipt"));
    assert_eq!(not_kept, refused(UnknownKind::AnswerNotKept));
    let later = NOW.plus(TOKEN_VALIDITY + RESPONSE_RETENTION);
    assert!(table.mint(later, &mut rng).is_ok());
    assert_eq!((table.len(), table.kept_bytes()), (1, 0));
}
