//! The whole path: the demonstration, driven through a PostgreSQL client library.

use kestrellock_lab::demo::{Demo, check};

#[test]
fn every_session_reads_its_own_writes() {
    let demo = Demo::start().expect("the demonstration starts");
    let checked = check::run(&demo).expect("every check passes");
    demo.stop();
    assert_eq!(checked.reads, checked.writes);
    assert!(checked.writes > 0);
}
