//! The platform client against the platform stand-in, with and without faults.

use std::time::Duration;

use dragonflylead::standin::platform::Fault;
use dragonflylead::standin::platform::PlatformStandin;
use dragonflylead::transport::platform::ConfigDocument;
use dragonflylead::transport::platform::PlatformClient;
use dragonflylead::transport::platform::PlatformError;

/// Wait of a long poll that ends with a new document before its time is over.
const LONG_WAIT: Duration = Duration::from_secs(30);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_watch_returns_when_a_newer_revision_is_published() {
    let platform = PlatformStandin::start().await.unwrap();
    let client = PlatformClient::new(platform.url());
    assert_eq!(client.config(0, Duration::ZERO).await.unwrap(), None);
    let watch = {
        let client = client.clone();
        tokio::spawn(async move { client.config(0, LONG_WAIT).await })
    };
    platform.set_config(3, "[calls]\n");
    let document = watch.await.unwrap().unwrap().unwrap();
    assert_eq!(document.revision, 3);
    assert_eq!(client.config(3, Duration::ZERO).await.unwrap(), None);
    platform.set_instances(Vec::new());
    let list = client.instances(0, LONG_WAIT).await.unwrap().unwrap();
    assert_eq!(list.version, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_client_sees_each_fault_of_the_standin() {
    struct Case {
        fault: Fault,
        /// Revisions that two successive requests return; `None` for status 503 or no document.
        want: [Option<u64>; 2],
    }
    let old = ConfigDocument {
        revision: 2,
        text: "old".into(),
    };
    let cases = [
        Case {
            fault: Fault::None,
            want: [Some(5), Some(5)],
        },
        Case {
            fault: Fault::Down,
            want: [None, None],
        },
        Case {
            fault: Fault::Stale(old),
            want: [Some(2), Some(2)],
        },
        Case {
            fault: Fault::Flapping,
            want: [Some(5), None],
        },
        Case {
            fault: Fault::Slow(Duration::from_millis(5)),
            want: [Some(5), Some(5)],
        },
    ];
    for case in cases {
        let platform = PlatformStandin::start().await.unwrap();
        let client = PlatformClient::new(platform.url());
        platform.set_config(5, "new");
        platform.set_fault(case.fault.clone());
        for want in case.want {
            match client.config(0, Duration::ZERO).await {
                Ok(found) => assert_eq!(
                    found.map(|d| d.revision),
                    want,
                    "revision with {:?}",
                    case.fault
                ),
                Err(PlatformError::Status(503)) => assert_eq!(want, None, "{:?}", case.fault),
                Err(e) => panic!("request with {:?} failed: {e}", case.fault),
            }
        }
    }
}
