//! Checks documentation pages that are generated from the code.

use std::path::Path;

/// Asserts that the content of `docs/<name>` equals `text`; writes the file first if
/// `INSTA_UPDATE=always` is set.
pub(crate) fn assert_page(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("docs")
        .join(name);
    if std::env::var("INSTA_UPDATE").is_ok_and(|update| update == "always") {
        std::fs::write(&path, text).unwrap();
    }
    let page = std::fs::read_to_string(&path).unwrap_or_default();
    assert!(
        page == text,
        "docs/{name} is out of date; rerun this test with INSTA_UPDATE=always to update it"
    );
}
