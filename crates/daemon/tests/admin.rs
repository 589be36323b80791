//! The admin port: authorization, and the content of its pages.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kestrellock_core::admin::{AdminError, Health, NodeStatus};
use kestrellock_core::ids::{NodeName, ZoneName};
use kestrellock_core::outcome::ResultCode;
use kestrellock_daemon::node::{Listeners, Node};
use kestrellock_daemon::policy::Policy;
use kestrellock_daemon::settings::Settings;
use kestrellock_net::source::SourceAddress;
use kestrellock_program::secret::Secret;
use kestrellock_store::etcd::EtcdStore;

const TOKEN: &str = "a-token-nobody-guesses";
const JOIN_TIMEOUT: Duration = Duration::from_secs(30);

fn start(token: Option<&str>) -> (Node, SocketAddr) {
    let mut settings = Settings::loopback(NodeName::new("a"), ZoneName::new("z"));
    settings.secrets.admin_token = token.map(Secret::new);
    let listeners = Listeners::bind(&mut settings).expect("free ports");
    // No store listens at this address, so the node runs without a configuration.
    let store = Arc::new(EtcdStore::new(vec!["http://127.0.0.1:1".to_owned()], SourceAddress::ANY));
    let node = Node::start(&settings, listeners, store, Policy::Standard).expect("it starts");
    (node, settings.admin_address)
}

fn get(address: SocketAddr, page: &str, authorization: Option<&str>) -> (u16, String) {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().http_status_as_error(false).build().into();
    let mut request = agent.get(format!("http://{address}{page}"));
    if let Some(value) = authorization {
        request = request.header("Authorization", value);
    }
    let mut response = request.call().expect("a response");
    let body = response.body_mut().read_to_string().expect("a body");
    (response.status().as_u16(), body)
}

#[test]
fn only_health_answers_without_the_token() {
    let (node, address) = start(Some(TOKEN));
    let bearer = format!("Bearer {TOKEN}");
    let prefix = &bearer[..bearer.len() - 1];
    let longer = format!("{bearer}x");
    let table = [
        (None, 401),
        (Some(TOKEN), 401),
        (Some("Bearer "), 401),
        (Some(prefix), 401),
        (Some(longer.as_str()), 401),
        (Some(bearer.as_str()), 200),
    ];
    for (authorization, expected) in table {
        for page in ["/status", "/metrics"] {
            let (status, body) = get(address, page, authorization);
            assert_eq!(status, expected, "{page} {authorization:?}");
            assert!(!body.contains(TOKEN));
            if status == 401 {
                let error: AdminError = serde_json::from_str(&body).expect("a numbered error");
                assert_eq!(error.code, ResultCode::AdminTokenRefused.to_string());
            }
        }
    }
    assert_eq!(get(address, "/nothing", None).0, 401);
    assert_eq!(get(address, "/nothing", Some(&bearer)).0, 400);
    node.stop();
}

#[test]
fn without_a_configured_token_all_requests_are_unauthorized() {
    let (node, address) = start(None);
    assert_eq!(get(address, "/status", Some("Bearer ")).0, 401);
    assert_eq!(get(address, "/healthz", None).0, 503);
    node.stop();
}

#[test]
fn health_reports_why_a_node_is_not_ready_and_status_and_metrics_report_its_state() {
    let (node, address) = start(Some(TOKEN));
    let bearer = format!("Bearer {TOKEN}");
    let deadline = Instant::now() + JOIN_TIMEOUT;
    while node.context.live.load().is_empty() {
        assert!(Instant::now() < deadline, "the node does not list itself as alive");
        std::thread::sleep(Duration::from_millis(5));
    }
    let (status, body) = get(address, "/healthz", None);
    let health: Health = serde_json::from_str(&body).expect("JSON");
    assert_eq!((status, health.ready), (503, false));
    assert_eq!(health.reasons, ["no configuration has arrived"]);
    let (_, body) = get(address, "/status", Some(&bearer));
    let status: NodeStatus = serde_json::from_str(&body).expect("JSON");
    assert_eq!((status.node.as_str(), status.zone.as_str()), ("a", "z"));
    node.context.metrics.count_code(ResultCode::Overloaded);
    let (_, metrics) = get(address, "/metrics", Some(&bearer));
    assert!(metrics.contains("kestrellock_codes_total{kind=\"KL1401\"} 1\n"), "{metrics}");
    assert!(metrics.contains("kestrellock_statements_total{kind=\"in_doubt\"} 0\n"));
    assert!(metrics.contains("kestrellock_statement_seconds_bucket"));
    node.stop();
}
