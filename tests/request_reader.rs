//! Time limits on requests that arrive slowly.

use std::time::Duration;

use dragonflylead::http1::reader::Incoming;
use dragonflylead::http1::reader::ReadError;
use dragonflylead::http1::reader::ReadLimits;
use dragonflylead::http1::reader::RequestReader;
use dragonflylead::memory::MemoryBudget;
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;
use tokio::time::timeout;

const LIMITS: ReadLimits = ReadLimits {
    max_head_bytes: 1_024,
    max_body_bytes: 1_024,
    head_timeout: Duration::from_millis(300),
    idle_timeout: Duration::from_secs(10),
};

const READ_LIMIT: Duration = Duration::from_secs(5);

struct Case {
    name: &'static str,
    /// Parts of the request, sent one after the other with a pause of 40 ms.
    parts: Vec<String>,
    is_read: bool,
}

fn bytes_of(text: &str) -> Vec<String> {
    text.chars().map(String::from).collect()
}

/// A caller that sends a byte at a time, each within the timeout, must not hold the connection
/// without end. A body may take longer than the head as long as it makes progress.
#[tokio::test]
async fn a_head_that_is_sent_byte_by_byte_times_out() {
    let head = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 12\r\n\r\n";
    let cases = [
        Case {
            name: "at once",
            parts: vec![head.to_owned(), "0123456789ab".to_owned()],
            is_read: true,
        },
        Case {
            name: "slow body",
            parts: [vec![head.to_owned()], bytes_of("0123456789ab")].concat(),
            is_read: true,
        },
        Case {
            name: "slow head",
            parts: bytes_of("GET /a HTTP/1.1\r\nHost: h\r\nX-Long: 0123456789\r\n\r\n"),
            is_read: false,
        },
    ];
    for case in cases {
        let (mut tx, rx) = tokio::io::duplex(4_096);
        let mut reader = RequestReader::new(rx, &MemoryBudget::new(1 << 20));
        let sender = tokio::spawn(async move {
            for part in case.parts {
                if tx.write_all(part.as_bytes()).await.is_err() {
                    return;
                }
                sleep(Duration::from_millis(40)).await;
            }
            sleep(READ_LIMIT).await;
        });
        let read = timeout(READ_LIMIT, reader.next(&LIMITS)).await;
        let read = read.unwrap_or_else(|_| panic!("{}: no result", case.name));
        match case.is_read {
            true => assert!(matches!(read, Ok(Incoming::Request(_))), "{}", case.name),
            false => assert!(
                matches!(read, Err(ReadError::RequestTimeout)),
                "{}",
                case.name
            ),
        }
        sender.abort();
    }
}
