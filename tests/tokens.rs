//! Idempotency tokens: at most one run each, replay, refusals, bounded memory.

use std::time::Duration;

use dragonflylead::ErrorKind;
use dragonflylead::Fingerprint;
use dragonflylead::NotRunKind;
use dragonflylead::Time;
use dragonflylead::UnknownKind;
use dragonflylead::coordination::token::ANSWER_RETENTION;
use dragonflylead::coordination::token::MAX_KEPT_BYTES;
use dragonflylead::coordination::token::MAX_TOKENS;
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
    /// What happens between minting and the spending that is looked at.
    before: fn(&mut Table, &Token),
    fingerprint: Fingerprint,
    after: Duration,
    want: Redemption<&'static str>,
}

fn run(table: &mut Table, token: &Token) {
    assert_eq!(table.redeem(NOW, token, CHARGE), Redemption::Run);
}

fn cases() -> Vec<Case> {
    let base = || Case {
        name: "fresh",
        before: |_, _| {},
        fingerprint: CHARGE,
        after: Duration::ZERO,
        want: Redemption::Run,
    };
    vec![
        base(),
        Case {
            name: "second copy while the first runs",
            before: run,
            want: Redemption::InProgress,
            ..base()
        },
        Case {
            name: "copy long after every validity, still running",
            before: run,
            after: TOKEN_VALIDITY + 2 * ANSWER_RETENTION,
            want: Redemption::InProgress,
            ..base()
        },
        Case {
            name: "copy after the answer",
            before: |table, token| {
                run(table, token);
                table.complete(NOW, token, "receipt", 7);
            },
            want: Redemption::Replay("receipt"),
            ..base()
        },
        Case {
            name: "answer at the end of its time",
            before: |table, token| {
                run(table, token);
                table.complete(NOW, token, "receipt", 7);
            },
            after: TOKEN_VALIDITY + ANSWER_RETENTION - Duration::from_micros(1),
            want: Redemption::Replay("receipt"),
            ..base()
        },
        Case {
            name: "answer forgotten",
            before: |table, token| {
                run(table, token);
                table.complete(NOW, token, "receipt", 7);
            },
            after: TOKEN_VALIDITY + ANSWER_RETENTION,
            want: refused(UnknownKind::TokenExpired),
            ..base()
        },
        Case {
            name: "other request while running",
            before: run,
            fingerprint: OTHER,
            want: refused(NotRunKind::RequestMismatch),
            ..base()
        },
        Case {
            name: "other request after the answer",
            before: |table, token| {
                run(table, token);
                table.complete(NOW, token, "receipt", 7);
            },
            fingerprint: OTHER,
            want: refused(NotRunKind::RequestMismatch),
            ..base()
        },
        Case {
            name: "delayed copy after a refusal",
            before: |table, token| {
                run(table, token);
                table.burn(NOW, token);
            },
            want: refused(NotRunKind::TokenBurned),
            ..base()
        },
        Case {
            name: "refused before it was spent",
            before: |table, token| table.burn(NOW, token),
            want: refused(NotRunKind::TokenBurned),
            ..base()
        },
        Case {
            name: "burned too late",
            before: |table, token| {
                run(table, token);
                table.complete(NOW, token, "receipt", 7);
                table.burn(NOW, token);
            },
            want: Redemption::Replay("receipt"),
            ..base()
        },
        Case {
            name: "outcome lost",
            before: |table, token| {
                run(table, token);
                table.complete_unknown(NOW, token, UnknownKind::TargetCrashed);
            },
            want: refused(UnknownKind::TargetCrashed),
            ..base()
        },
        Case {
            name: "answer too large",
            before: |table, token| {
                run(table, token);
                table.complete(NOW, token, "receipt", MAX_KEPT_BYTES + 1);
            },
            want: refused(UnknownKind::AnswerNotKept),
            ..base()
        },
        Case {
            name: "spent too late: certainly not run",
            after: TOKEN_VALIDITY,
            want: refused(NotRunKind::TokenBurned),
            ..base()
        },
        Case {
            name: "spent when nothing is remembered",
            after: TOKEN_VALIDITY + ANSWER_RETENTION,
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
fn tokens_not_minted_here_do_not_run() {
    struct Case {
        name: &'static str,
        change: fn(Vec<String>) -> Vec<String>,
        want: Redemption<&'static str>,
    }
    fn with(mut groups: Vec<String>, at: usize) -> Vec<String> {
        groups[at] = format!("{:016x}", 0xabc);
        groups
    }
    let cases = [
        Case {
            name: "another instance",
            change: |groups| with(groups, 0),
            want: refused(UnknownKind::TokenForeign),
        },
        Case {
            name: "another incarnation",
            change: |groups| with(groups, 1),
            want: refused(UnknownKind::TokenForeign),
        },
        Case {
            name: "sequence never reached",
            change: |groups| with(groups, 2),
            want: refused(NotRunKind::BadRequest),
        },
        Case {
            name: "guessed secret",
            change: |groups| with(groups, 3),
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
    assert!(token.is_of(&InstanceName::new("payments-1")));
    assert!(!token.is_of(&InstanceName::new("payments-2")));
    for text in ["", "1-2-3-4", &token.to_string()[1..], "+-é-0-0"] {
        assert!(text.parse::<Token>().is_err(), "{text}");
    }
}

#[test]
fn a_restart_says_unknown_and_not_not_run() {
    let mut before = table(1);
    let token = before.mint(NOW, &mut rng()).unwrap();
    run(&mut before, &token);
    let mut restarted = table(2);
    let fresh = restarted.mint(NOW, &mut rng()).unwrap();
    let got = restarted.redeem(NOW, &token, CHARGE);
    assert_eq!(got, refused(UnknownKind::TokenForeign));
    assert_eq!(restarted.redeem(NOW, &fresh, CHARGE), Redemption::Run);
}

#[test]
fn past_the_bound_nothing_is_minted_and_nothing_forgotten() {
    let mut table = table(1);
    let mut rng = rng();
    let tokens: Vec<Token> = (0..MAX_TOKENS)
        .map(|_| table.mint(NOW, &mut rng).unwrap())
        .collect();
    assert_eq!(table.mint(NOW, &mut rng), Err(NotRunKind::TokensExhausted));
    let size = MAX_KEPT_BYTES / 8;
    for token in &tokens[..10] {
        run(&mut table, token);
        table.complete(NOW, token, "receipt", size);
    }
    assert_eq!(table.kept_bytes(), MAX_KEPT_BYTES);
    let kept = table.redeem(NOW, &tokens[7], CHARGE);
    let dropped = table.redeem(NOW, &tokens[8], CHARGE);
    assert_eq!(kept, Redemption::Replay("receipt"));
    assert_eq!(dropped, refused(UnknownKind::AnswerNotKept));
    let later = NOW.plus(TOKEN_VALIDITY + ANSWER_RETENTION);
    assert!(table.mint(later, &mut rng).is_ok());
    assert_eq!((table.len(), table.kept_bytes()), (1, 0));
}
