//! Lines of the log.

use std::time::Duration;
use std::time::UNIX_EPOCH;

use dragonflylead::logs::REQUEST_KEY;
use dragonflylead::logs::json_line;
use log::Level;
use log::Record;

#[test]
fn a_line_is_json_with_the_fields_of_the_record() {
    let values = [
        (REQUEST_KEY, log::kv::Value::from("00ff")),
        ("attempt", log::kv::Value::from(2)),
        ("whole", log::kv::Value::from(true)),
        ("message", log::kv::Value::from("hides the message")),
    ];
    let now = UNIX_EPOCH + Duration::from_millis(1_796_378_745_250);
    let record = Record::builder()
        .level(Level::Warn)
        .module_path(Some("dragonflylead::node"))
        .args(format_args!("call \"x\"\nwas shed"))
        .key_values(&values)
        .build();
    insta::assert_snapshot!(
        json_line(&record, now),
        @r#"{"time":1796378745.25,"level":"WARN","module":"dragonflylead::node","message":"call \"x\"\nwas shed","attempt":2,"request":"00ff","whole":true}"#
    );
}
