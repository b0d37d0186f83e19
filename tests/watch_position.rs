//! What reads and watches prove about the newest state of an item.

use std::time::Duration;

use dragonflylead::coordination::watch_position;
use dragonflylead::coordination::watch_position::WatchPosition;

/// Result of a query: the version that it returned, and the revision of the store.
struct Answer(Option<u64>, u64);

struct Case {
    name: &'static str,
    read: Answer,
    watch: Answer,
    proved: Option<u64>,
    watch_after: Option<u64>,
}

const CASES: &[Case] = &[
    Case {
        name: "nothing changed",
        read: Answer(Some(3), 10),
        watch: Answer(None, 10),
        proved: Some(3),
        watch_after: Some(10),
    },
    Case {
        name: "something changed that the watch did not deliver",
        read: Answer(Some(3), 10),
        watch: Answer(None, 11),
        proved: None,
        watch_after: None,
    },
    Case {
        name: "the configuration changed",
        read: Answer(Some(3), 10),
        watch: Answer(Some(4), 11),
        proved: Some(4),
        watch_after: Some(11),
    },
    Case {
        name: "there is no configuration",
        read: Answer(None, 10),
        watch: Answer(None, 10),
        proved: None,
        watch_after: Some(10),
    },
];

#[test]
fn a_watch_without_a_change_proves_nothing_once_the_store_has_changed() {
    for case in CASES {
        let Case { read, watch, .. } = case;
        let mut position = WatchPosition::default();
        assert_eq!(position.watch_after(), None, "{}", case.name);
        let proved = position.record_read(read.0, read.1);
        assert_eq!(proved, read.0, "{}", case.name);
        assert_eq!(position.watch_after(), Some(read.1), "{}", case.name);
        let proved = position.record_watch(watch.0, watch.1);
        assert_eq!(proved, case.proved, "{}", case.name);
        assert_eq!(position.watch_after(), case.watch_after, "{}", case.name);
    }
}

/// Guards against proofs that are too old for keys by the time the next one comes, in large fleets.
#[test]
fn watches_end_well_before_keys_are_refused() {
    let seconds = Duration::from_secs;
    for (readers, bound, longest) in [
        (8, None, seconds(2)),
        (40, None, seconds(10)),
        (2_000, None, seconds(20)),
        (8, Some(seconds(5)), seconds(2)),
        (40, Some(seconds(5)), seconds(2)),
        (2, Some(seconds(3)), Duration::from_millis(1_200)),
    ] {
        let watch = watch_position::max_config_watch(readers, bound);
        assert_eq!(watch, longest, "{readers} readers, bound {bound:?}");
    }
}
