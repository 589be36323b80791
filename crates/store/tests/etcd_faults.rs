//! The etcd client against a scripted server: how it classifies each fault by the effect that the
//! call may have had.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use kestrellock_net::source::SourceAddress;
use kestrellock_store::etcd::EtcdStore;
use kestrellock_store::store::{ConfigStore, Snapshot, StoreError, TransactionOutcome, WatchEvent};

const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const SHORT_CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// What the server does with a connection after it has read a request.
#[derive(Clone, Copy)]
enum Script {
    /// Sends these bytes and closes the connection.
    Send(&'static str),
    /// Sends nothing until the client closes the connection.
    Silence,
}

struct Server {
    address: SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl Server {
    fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port is available");
        let address = listener.local_addr().expect("the listener has an address");
        let requests = Arc::new(AtomicUsize::new(0));
        let counted = requests.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if read_request(&stream) {
                    counted.fetch_add(1, Ordering::SeqCst);
                    run_script(stream, script);
                }
            }
        });
        Self { address, requests }
    }

    fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

fn read_request(stream: &TcpStream) -> bool {
    let mut reader = BufReader::new(stream);
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return false;
        }
        if let Some(value) = line.to_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        }
        if line == "\r\n" {
            return reader.read_exact(&mut vec![0; length]).is_ok();
        }
    }
}

fn run_script(mut stream: TcpStream, script: Script) {
    match script {
        Script::Send(bytes) => {
            let _ = stream.write_all(bytes.as_bytes());
        }
        Script::Silence => {
            let _ = stream.set_read_timeout(Some(TEST_TIMEOUT));
            let _ = stream.read(&mut [0]);
        }
    }
}

const TOO_MANY: &str = "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 7\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
const UNAVAILABLE: &str =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
const BAD_REQUEST: &str =
    "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
const GARBAGE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\nConnection: close\r\n\r\ngarbage";
const CUT_SHORT: &str =
    "HTTP/1.1 200 OK\r\nContent-Length: 70\r\nConnection: close\r\n\r\n{\"header\"";
const EMPTY_RANGE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 30\r\nConnection: close\r\n\r\n\
                           {\"header\":{\"revision\":\"17\"}}\r\n";
const WRITTEN: &str = "HTTP/1.1 200 OK\r\nContent-Length: 46\r\nConnection: close\r\n\r\n\
                       {\"header\":{\"revision\":\"18\"},\"succeeded\":true}\r\n";

#[derive(Debug, PartialEq, Eq)]
enum Kind {
    Done,
    Unreachable,
    Unanswered,
    RateLimited,
    Protocol,
}

fn kind<T>(outcome: &Result<T, StoreError>) -> Kind {
    match outcome {
        Ok(_) => Kind::Done,
        Err(StoreError::Unreachable(_)) => Kind::Unreachable,
        Err(StoreError::Unanswered(_)) => Kind::Unanswered,
        Err(StoreError::RateLimited { .. }) => Kind::RateLimited,
        Err(StoreError::Protocol(_)) => Kind::Protocol,
    }
}

#[test]
fn each_fault_is_classified_by_whether_the_store_may_have_acted() {
    let table = [
        ("closed after the request", Script::Send(""), Kind::Unanswered),
        ("silence", Script::Silence, Kind::Unanswered),
        ("unavailable", Script::Send(UNAVAILABLE), Kind::Unanswered),
        ("garbage", Script::Send(GARBAGE), Kind::Unanswered),
        ("answer cut short", Script::Send(CUT_SHORT), Kind::Unanswered),
        ("too many requests", Script::Send(TOO_MANY), Kind::RateLimited),
        ("bad request", Script::Send(BAD_REQUEST), Kind::Protocol),
        ("written", Script::Send(WRITTEN), Kind::Done),
    ];
    for (name, script, expected) in table {
        let server = Server::start(script);
        let store = EtcdStore::new(vec![server.url()], SourceAddress::ANY)
            .with_call_timeout(SHORT_CALL_TIMEOUT);
        let outcome = store.compare_and_swap("/k", 3, b"v");
        assert_eq!(kind(&outcome), expected, "{name}: {outcome:?}");
        assert_eq!(server.requests(), 1, "{name}: the write must be sent once");
        let may_have_acted = outcome.is_err_and(|error| error.may_have_acted());
        assert_eq!(may_have_acted, expected == Kind::Unanswered, "{name}");
    }
}

#[test]
fn refused_connections_are_reported_as_unreachable() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port is available");
    let url = format!("http://{}", listener.local_addr().expect("the listener has an address"));
    drop(listener);
    for urls in [vec![], vec![url.clone()], vec![url.clone(), url]] {
        let outcome = EtcdStore::new(urls, SourceAddress::ANY).compare_and_swap("/k", 0, b"v");
        assert_eq!(kind(&outcome), Kind::Unreachable, "{outcome:?}");
    }
}

#[test]
fn a_write_fails_over_to_the_next_endpoint_only_if_it_was_not_sent() {
    let dead = TcpListener::bind("127.0.0.1:0").expect("a free port is available");
    let unreachable_url =
        format!("http://{}", dead.local_addr().expect("the listener has an address"));
    drop(dead);
    let good = Server::start(Script::Send(WRITTEN));
    let store = EtcdStore::new(vec![unreachable_url, good.url()], SourceAddress::ANY);
    assert_eq!(
        store.compare_and_swap("/k", 0, b"v").expect("the second endpoint answers"),
        TransactionOutcome::Written(18)
    );
    for script in [Script::Send(""), Script::Send(UNAVAILABLE), Script::Send(CUT_SHORT)] {
        let bad = Server::start(script);
        let good = Server::start(Script::Send(WRITTEN));
        let store = EtcdStore::new(vec![bad.url(), good.url()], SourceAddress::ANY);
        assert_eq!(kind(&store.compare_and_swap("/k", 0, b"v")), Kind::Unanswered);
        assert_eq!(good.requests(), 0, "the write may have taken effect at the first endpoint");
    }
}

#[test]
fn a_read_fails_over_to_the_next_endpoint_and_prefers_it_afterwards() {
    let bad = Server::start(Script::Send(UNAVAILABLE));
    let good = Server::start(Script::Send(EMPTY_RANGE));
    let store = EtcdStore::new(vec![bad.url(), good.url()], SourceAddress::ANY);
    for _ in 0..3 {
        let snapshot = store.range("/p").expect("the second endpoint answers");
        assert_eq!(snapshot, Snapshot { revision: 17, entries: Vec::new() });
    }
    assert_eq!((bad.requests(), good.requests()), (1, 3));
}

#[test]
fn no_request_is_sent_before_the_retry_after_time_of_a_rate_limit() {
    let server = Server::start(Script::Send(TOO_MANY));
    let store = EtcdStore::new(vec![server.url()], SourceAddress::ANY);
    for _ in 0..5 {
        match store.range("/p") {
            Err(StoreError::RateLimited { retry_after }) => {
                assert!(retry_after <= Duration::from_secs(7));
                assert!(retry_after > Duration::ZERO);
            }
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(server.requests(), 1);
}

const WATCH_HEAD: &str =
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"result\":{\"created\":true}}\n";

fn watch_script(rest: &str) -> Script {
    Script::Send(Box::leak(format!("{WATCH_HEAD}{rest}").into_boxed_str()))
}

#[test]
fn a_watch_distinguishes_changes_compaction_and_the_end_of_the_stream() {
    let changed = "{\"result\":{\"events\":[{\"kv\":{\"mod_revision\":\"21\"}}]}}\n";
    let compacted = "{\"result\":{\"canceled\":true,\"compact_revision\":\"40\"}}\n";
    let cancelled = "{\"result\":{\"canceled\":true}}\n";
    let partial = "{\"result\":{\"events\":[{\"kv\":{\"mod_rev";
    let table = [
        ("change", changed, Ok(WatchEvent::Changed(21))),
        ("blank lines", "\n \n", Err(Kind::Unanswered)),
        ("compaction", compacted, Ok(WatchEvent::Compacted)),
        ("cancelled", cancelled, Err(Kind::Unanswered)),
        ("partial line", partial, Err(Kind::Unanswered)),
        ("garbage line", "garbage\n", Err(Kind::Unanswered)),
        ("end of stream", "", Err(Kind::Unanswered)),
    ];
    for (name, rest, expected) in table {
        let server = Server::start(watch_script(rest));
        let store = EtcdStore::new(vec![server.url()], SourceAddress::ANY);
        let mut watch = store.watch("/p", 20).expect("the watch opens");
        let event = watch.next(TEST_TIMEOUT);
        match expected {
            Ok(expected) => assert_eq!(event.expect(name), expected, "{name}"),
            Err(expected) => assert_eq!(kind(&event), expected, "{name}: {event:?}"),
        }
        let after = watch.next(TEST_TIMEOUT);
        assert_eq!(kind(&after), Kind::Unanswered, "{name}: the stream has ended");
    }
}

#[test]
fn opening_a_watch_on_a_silent_server_times_out() {
    let server = Server::start(Script::Silence);
    let store = EtcdStore::new(vec![server.url()], SourceAddress::ANY);
    // The response head never arrives, so opening the watch fails within the stream's lifetime.
    let started = Instant::now();
    assert!(store.watch("/p", 1).is_err());
    assert!(started.elapsed() < TEST_TIMEOUT);
}
