//! The command run as processes: `check`, `publish`, `serve` and `status`, and the exit on SIGTERM.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use bamboocourse_serve::{Pool, read_body};
use bamboocourse_standin::{Network, PlainEndpoint, Platform};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;

/// How long a process may take to reach an expected state.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Runs the command to its end.
fn command(args: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_bamboocourse");
    Command::new(program).args(args).output().expect("the command runs")
}

/// A running `serve` process and its addresses.
struct Vm {
    process: Child,
    listen: SocketAddr,
    operator: SocketAddr,
    peer: SocketAddr,
}

/// Starts a `serve` process, with some flags set in the environment, and reads its addresses from
/// the log line that says it has started.
fn serve(name: &str, domain: &str, platform: SocketAddr) -> Vm {
    let mut process = Command::new(env!("CARGO_BIN_EXE_bamboocourse"))
        .args(["serve", "--vm", name, "--listen", "127.0.0.1:0", "--operator", "127.0.0.1:0"])
        .env("BAMBOOCOURSE_DOMAIN", domain)
        .env("BAMBOOCOURSE_PEER", "127.0.0.1:0")
        .env("BAMBOOCOURSE_PLATFORM", platform.to_string())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the process starts");
    let stderr = process.stderr.take().expect("the log");
    let mut lines = BufReader::new(stderr).lines();
    let started = lines.find_map(|line| line.ok().filter(|line| line.contains("started")));
    let started = started.expect("a log line with `started`");
    std::thread::spawn(move || lines.for_each(drop));
    let address = |key: &str| {
        let value = started.split_whitespace().find_map(|word| word.strip_prefix(key));
        value.and_then(|value| value.parse().ok()).expect("an address in the log")
    };
    Vm {
        listen: address("listen="),
        operator: address("operator="),
        peer: address("peer="),
        process,
    }
}

/// Sends a GET request; returns the status and the body, or 0 if there is no response.
async fn get(address: SocketAddr, path: &str) -> (u16, String) {
    let request = Request::get(path).header("host", address.to_string());
    let request = request.body(Full::new(Bytes::new())).expect("a request");
    let Ok(response) = Pool::new(None).send(address, request).await else {
        return (0, String::new());
    };
    let status = response.status().as_u16();
    let body = read_body(response.into_body(), 1 << 20, TIMEOUT).await.unwrap_or_default();
    (status, String::from_utf8_lossy(&body).into_owned())
}

/// Sends GET requests until one returns the expected status; returns its body.
async fn await_status(address: SocketAddr, path: &str, expected: u16) -> String {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let (status, body) = get(address, path).await;
        if status == expected {
            return body;
        }
        assert!(Instant::now() < deadline, "{path} still returns {status}: {body}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Two VMs start without a configuration and are not ready. A published service is then in force
/// on both, an invalid one is refused, and both VMs exit with code 0 on SIGTERM.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn vm_processes_serve_a_published_service_and_drain() {
    let network = Network::default();
    let platform = Platform::start(network.clone(), 1).await.expect("a platform");
    let plain = PlainEndpoint::start(network, Network::address(0, 9)).await.expect("a service");
    let mut vms: Vec<Vm> = ["vm-1", "vm-2"].map(|name| serve(name, "a", platform.address)).into();
    for (vm, name) in vms.iter().zip(["vm-1", "vm-2"]) {
        platform.add_vm(name, "a", vm.peer);
        assert_eq!(
            await_status(vm.operator, "/readyz", 503).await,
            "not ready: no configuration is in force yet\n"
        );
    }
    let directory = std::env::temp_dir().join(format!("bamboocourse-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory");
    let path = directory.to_string_lossy().into_owned();
    let service = format!(
        "[service]\nname = \"desk\"\nkind = \"plain\"\n[[endpoint]]\nname = \"desk-1\"\ndomain = \"a\"\n\
         address = \"{}\"\n[[route]]\npath = \"/hours\"\naccess = \"open\"\nidempotent = true\n",
        plain.address
    );
    std::fs::write(directory.join("desk.toml"), &service).expect("a file");
    let checked = command(&["check", &path]);
    assert_eq!(checked.status.code(), Some(0), "{}", text(&checked.stderr));
    let address = platform.address.to_string();
    let published = command(&["publish", "--platform", &address, &path]);
    assert_eq!(published.status.code(), Some(0), "{}", text(&published.stderr));
    assert!(text(&published.stdout).contains("accepted: in force on all 2 VMs"));
    std::fs::write(directory.join("desk.toml"), service.replace("plain\"", "odd\""))
        .expect("a file");
    let invalid = command(&["publish", "--platform", &address, &path]);
    assert_eq!(invalid.status.code(), Some(3), "{}", text(&invalid.stdout));
    std::fs::remove_dir_all(&directory).expect("the directory is removed");
    for vm in &vms {
        await_status(vm.operator, "/readyz", 200).await;
        let body = await_status(vm.listen, "/services/desk/hours", 200).await;
        assert!(body.contains("/hours"), "{body}");
    }
    let status = command(&["status", &vms[0].operator.to_string()]);
    assert!(text(&status.stdout).contains("ready, version 1"), "{}", text(&status.stdout));
    // The signal ended the process, as nothing handled it.
    let id = vms[1].process.id().to_string();
    let signal = Command::new("kill").args(["-HUP", &id]).status().expect("kill runs");
    assert!(signal.success());
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(vms[1].process.try_wait().expect("its own process"), None);
    for vm in &mut vms {
        let id = vm.process.id().to_string();
        let signal = Command::new("kill").args(["-TERM", &id]).status().expect("kill runs");
        assert!(signal.success());
        let exit = vm.process.wait().expect("the process exits");
        assert_eq!(exit.code(), Some(0));
    }
}

/// The name of a VM may not contain spaces: the process must exit with a usage error that names the
/// flag, not start.
#[test]
fn serve_reports_invalid_settings_and_exits() {
    let output = command(&[
        "serve",
        "--vm",
        "a vm",
        "--domain",
        "a",
        "--listen",
        "127.0.0.1:0",
        "--operator",
        "127.0.0.1:0",
        "--peer",
        "127.0.0.1:0",
        "--platform",
        "127.0.0.1:1",
    ]);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("--vm: must be a name"), "{}", text(&output.stderr));
}
