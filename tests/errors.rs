//! Checks that the generated page of error kinds is complete and up to date.

#[path = "support/page.rs"]
mod page;

use dragonflylead::protocol::advice;

#[test]
fn page_lists_all_kinds() {
    let text = advice::render_page();
    assert_eq!(text.matches("| not-run |").count(), 26);
    assert_eq!(text.matches("| unknown |").count(), 10);
    page::assert_page("operators/errors.md", &text);
}
