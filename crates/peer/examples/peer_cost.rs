//! Measures the cost of connections between hosts in memory, CPU time and bytes.
//!
//! All hosts run in this one process, so each figure for a connection or a message covers both
//! ends. Prints one JSON object per line.

use std::time::{Duration, Instant};

use camphorwalk_core::ids::HostId;
use camphorwalk_core::messages::gossip::Gossip;
use camphorwalk_core::messages::{Body, PeerMessage};
use camphorwalk_peer::{Inbound, PeerOptions, Peers, Secret};
use prometheus::Registry;
use tokio::sync::mpsc::{Receiver, channel};

/// The number of hosts in the mesh.
const MESH: usize = 24;

/// How long the idle mesh is measured.
const IDLE: Duration = Duration::from_secs(10);

/// The base of the idle keepalive interval of the mesh, short enough to make the cost measurable.
const KEEPALIVE: Duration = Duration::from_millis(250);

/// The clock ticks per second in which Linux reports CPU time.
const TICKS: f64 = 100.0;

/// The size of a memory page, in bytes.
const PAGE: u64 = 4096;

/// A host of a measurement.
struct Host {
    peers: Peers,
    inbound: Receiver<Inbound>,
    registry: Registry,
}

#[tokio::main(worker_threads = 2)]
async fn main() {
    measure_mesh().await;
    measure_messages(64, 400_000).await;
    measure_messages(4 << 10, 100_000).await;
    measure_messages(1 << 20, 500).await;
}

/// Starts a host with options modified by `change`.
async fn start(number: usize, change: impl Fn(&mut PeerOptions)) -> Host {
    let listen = "127.0.0.1:0".parse().unwrap();
    let mut options = PeerOptions::new(listen, &name(number), "zone", 1, Secret::new([1; 32]));
    change(&mut options);

    let (tx, inbound) = channel(4096);
    let peers = Peers::start(options, tx).await.unwrap();
    let registry = Registry::new();
    peers.register(&registry).unwrap();
    Host { peers, inbound, registry }
}

/// Returns the name of a host.
fn name(number: usize) -> String {
    format!("host-{number}")
}

/// Creates a message with a payload of this many bytes.
fn message(bytes: usize) -> PeerMessage {
    Body::Gossip(Gossip { config: vec![7; bytes], ..Gossip::default() }).into()
}

/// Returns the CPU time that this process has used, in seconds.
fn cpu_time() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();

    fields[11..13].iter().map(|ticks| ticks.parse::<f64>().unwrap()).sum::<f64>() / TICKS
}

/// Returns the resident memory of this process, in bytes.
fn resident() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();

    statm.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * PAGE
}

/// Returns the sum of a counter over all its labels.
fn count(host: &Host, name: &str) -> f64 {
    let families = host.registry.gather();
    let family = families.iter().find(|family| family.name().ends_with(name));

    family.map_or(0.0, |f| f.get_metric().iter().map(|m| m.get_counter().get_value()).sum())
}

/// Connects each host to each other one, and measures the idle mesh.
async fn measure_mesh() {
    let mut hosts = Vec::new();
    for number in 0..MESH {
        hosts.push(start(number, |options| options.idle_keepalive = KEEPALIVE * 8).await);
        hosts[number].peers.send(HostId::from_name("warm"), message(1));
    }
    let (memory, time) = (resident(), cpu_time());

    let addresses: Vec<_> = hosts.iter().map(|host| host.peers.local_address()).collect();
    for (number, host) in hosts.iter().enumerate() {
        for (other, address) in addresses.iter().enumerate().filter(|(o, _)| *o != number) {
            host.peers.set_address(HostId::from_name(&name(other)), *address);
            host.peers.send(HostId::from_name(&name(other)), message(64));
        }
    }
    for host in &mut hosts {
        let mut received = 0;
        while received < MESH - 1 {
            if let Some(Inbound::Message { .. }) = host.inbound.recv().await {
                received += 1;
            }
        }
    }
    let connections = (MESH * (MESH - 1)) as f64;
    let (connected_memory, connected_time) = (resident(), cpu_time());

    let frames_before: f64 = hosts.iter().map(|host| count(host, "frames_total")).sum();
    let bytes_before: f64 = hosts.iter().map(|host| count(host, "bytes_total")).sum();
    let started = Instant::now();
    tokio::time::sleep(IDLE).await;
    let idle_time = cpu_time() - connected_time;
    let frames: f64 = hosts.iter().map(|host| count(host, "frames_total")).sum::<f64>();
    let bytes: f64 = hosts.iter().map(|host| count(host, "bytes_total")).sum::<f64>();

    let line = serde_json::json!({
        "connections": connections,
        "memory_bytes_per_connection": (connected_memory - memory) as f64 / connections,
        "connect_cpu_us": (connected_time - time) * 1e6 / connections,
        "idle_seconds": started.elapsed().as_secs_f64(),
        "idle_frames": frames - frames_before,
        "idle_bytes": bytes - bytes_before,
        "idle_cpu_s": idle_time,
    });
    println!("{line}");
}

/// Sends messages from one host to another as fast as possible.
async fn measure_messages(bytes: usize, messages: usize) {
    let one = start(1, |_| {}).await;
    let mut two = start(2, |_| {}).await;
    let to = HostId::from_name(&name(2));
    one.peers.set_address(to, two.peers.local_address());
    let (started, time) = (Instant::now(), cpu_time());

    let sender = tokio::spawn(async move {
        for _ in 0..messages {
            while !one.peers.send(to, message(bytes)) {
                // The queue is full. Busy waiting would be measured as the cost of messages.
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        one
    });
    let mut received = 0;
    while received < messages {
        if let Some(Inbound::Message { .. }) = two.inbound.recv().await {
            received += 1;
        }
    }
    let _one = sender.await.unwrap();

    let (wall, cpu) = (started.elapsed().as_secs_f64(), cpu_time() - time);
    let line = serde_json::json!({
        "message_bytes": bytes,
        "messages_per_second": messages as f64 / wall,
        "cpu_us_per_message": cpu * 1e6 / messages as f64,
        "megabytes_per_second": (bytes * messages) as f64 / wall / 1e6,
    });
    println!("{line}");
}
