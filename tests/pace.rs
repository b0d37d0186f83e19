//! Pace of a target, learned from how it answers.

use std::time::Duration;

use dragonflylead::clock::Time;
use dragonflylead::coordination::pace::Pace;
use dragonflylead::coordination::pace::TargetLoad;

const SLOTS: u32 = 40;

fn load(work_percent: f64) -> TargetLoad {
    TargetLoad {
        running: 1,
        waiting: 0,
        slots: SLOTS,
        work_percent: Some(work_percent),
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_load_header_is_parsed_as_far_as_it_makes_sense() {
    struct Case {
        text: &'static str,
        numbers: Option<(u32, u32, u32)>,
        work_percent: Option<f64>,
    }
    let cases = [
        Case {
            text: "3,0,8",
            numbers: Some((3, 0, 8)),
            work_percent: None,
        },
        Case {
            text: " 3, 1 ,8, 250 ",
            numbers: Some((3, 1, 8)),
            work_percent: Some(250.0),
        },
        Case {
            text: "3,1,8,0",
            numbers: Some((3, 1, 8)),
            work_percent: None,
        },
        Case {
            text: "3,1,8,1e300",
            numbers: Some((3, 1, 8)),
            work_percent: None,
        },
        Case {
            text: "3,1,8,NaN",
            numbers: Some((3, 1, 8)),
            work_percent: None,
        },
        Case {
            text: "3,-1,8,100",
            numbers: None,
            work_percent: None,
        },
        Case {
            text: "99999999999,0,8",
            numbers: None,
            work_percent: None,
        },
        Case {
            text: "",
            numbers: None,
            work_percent: None,
        },
    ];
    for case in cases {
        let parsed = TargetLoad::parse(case.text);
        let numbers = parsed.map(|load| (load.running, load.waiting, load.slots));
        assert_eq!(numbers, case.numbers, "{}", case.text);
        let percent = parsed.and_then(|load| load.work_percent);
        assert_eq!(percent, case.work_percent, "{}", case.text);
    }
}

/// A target that runs as many requests as its pace allows, each in `run`.
fn play(pace: &mut Pace, run: Duration, work_percent: f64, rounds: u32, start: Time) -> Vec<u32> {
    let mut limits = Vec::new();
    let mut now = start;
    for _ in 0..rounds {
        now = now.plus(run);
        for _ in 0..pace.limit(SLOTS) {
            pace.record_load(&load(work_percent), now);
            pace.record_run(run, SLOTS, now);
        }
        limits.push(pace.limit(SLOTS));
    }
    limits
}

/// Guards against a target that is flooded in the moment in which it starts, and against one that is
/// left idle although it answers as usual.
#[test]
fn a_started_target_is_given_twice_as_much_with_each_round_of_answers() {
    let mut pace = Pace::default();
    let warm = play(&mut pace, ms(100), 100.0, 3, Time::from_millis(1_000));
    assert_eq!(warm, [SLOTS; 3]);
    pace.record_start();
    assert_eq!(pace.limit(SLOTS), SLOTS / 4);
    let restarted = play(&mut pace, ms(200), 100.0, 3, Time::from_millis(5_000));
    assert_eq!(restarted, [SLOTS / 2, SLOTS, SLOTS]);
}

#[test]
fn a_started_target_that_hardly_answers_is_not_given_more() {
    let mut pace = Pace::default();
    play(&mut pace, ms(100), 100.0, 3, Time::from_millis(1_000));
    pace.record_start();
    let stuck = play(&mut pace, ms(2_000), 100.0, 2, Time::from_millis(5_000));
    assert!(stuck[0] <= SLOTS / 4 + 1, "{stuck:?}");
}

/// Guards against short slowness that is taken for the target's own speed: the stated time of work
/// counts at once, in both directions.
#[test]
fn the_expected_time_follows_the_stated_time_of_work() {
    let mut pace = Pace::default();
    let mut now = Time::from_millis(1_000);
    play(&mut pace, ms(100), 100.0, 5, now);
    now = now.plus(ms(500));
    let expected = |pace: &Pace, now| pace.run_time(now).unwrap().as_millis();
    assert_eq!(expected(&pace, now), 100);
    pace.record_load(&load(250.0), now);
    assert_eq!(expected(&pace, now), 250);
    // Runs that are slow because of it do not count against the target.
    for _ in 0..50 {
        pace.record_run(ms(250), SLOTS, now);
    }
    pace.record_load(&load(100.0), now);
    assert_eq!(expected(&pace, now), 100);
    // Without statements, nothing is expected.
    assert_eq!(pace.run_time(now.plus(ms(3_000))), None);
}

/// Targets that do not state how long work takes are treated as before.
#[test]
fn targets_without_statements_have_no_pace() {
    let mut pace = Pace::default();
    let now = Time::from_millis(1_000);
    let silent = TargetLoad {
        work_percent: None,
        ..load(0.0)
    };
    pace.record_load(&silent, now);
    pace.record_run(ms(100), SLOTS, now);
    pace.record_start();
    assert_eq!(pace.limit(SLOTS), SLOTS);
    assert_eq!(pace.run_time(now), None);
}
