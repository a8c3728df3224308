//! Configuration files of the gateways that tests start.

use crate::network::Network;
use std::net::SocketAddr;
use std::time::Duration;

/// The membership's protocol period in tests.
pub const PROTOCOL_PERIOD: Duration = Duration::from_millis(200);

/// The platform's settings, with three request classes: look-ups that may be repeated, what must run once only, and loads with
/// idempotency keys that run in the order of their key.
pub fn settings() -> String {
    r#"{"az":0,"instances":1,"me":0,"models":["std"],"zones":["east"],"discovery":"automatic","period":5000,
    "caps":{"cancel":true,"connect_timeout":250000,"idle_close":15000000,"max_attempts":3,
            "max_retry_after":500000,"probes":false,"retry_after":true},
    "classes":[
      {"name":"look","effect":"read_like","aim":1000000,"hard_limit":30000000,"worth":1.0},
      {"name":"once","effect":"non_idempotent","aim":1000000,"hard_limit":30000000,"worth":1.0},
      {"name":"load","effect":"idempotency_key","key_scope":"all","dedup_window":12000000,"keep_order":true,
       "aim":1000000,"hard_limit":30000000,"worth":2.0}],
    "domain":{"threads_by_class":[1,1,1],"size_cores":[64],"size_mb":[65536],"grants":true,"note_period":0},
    "parties":[{"name":"acme","allowance_per_s":1000}],
    "safety":{"cold_from":0.3,"fall":2000000,"fall_multiple":3.0,"ramp_time":14000000,"drain_grace":2000000}}"#
        .to_owned()
}

/// [`settings`] for this many gateways.
pub fn settings_for(gateways: usize) -> String {
    settings().replace("\"instances\":1", &format!("\"instances\":{gateways}"))
}

/// The same settings for engines that send load reports only when they are asked for them.
pub fn with_load_requests(settings: &str) -> String {
    settings
        .replace("\"probes\":false", "\"probes\":true")
        .replace("\"domain\"", "\"stats\":{\"how\":\"probe\"},\"prices\":{\"probe\":0.01},\"domain\"")
}

/// A configuration with [`settings`]; the engine, if any, is known at the start.
pub fn config(
    listen: &str,
    discovery: SocketAddr,
    engine: Option<SocketAddr>,
    max_connections: usize,
) -> String {
    config_of(listen, discovery, engine.as_slice(), max_connections, &settings())
}

/// A configuration with these settings; the engines are known at the start, under ids from 1 up.
pub fn config_of(
    listen: &str,
    discovery: SocketAddr,
    engines: &[SocketAddr],
    max_connections: usize,
    settings: &str,
) -> String {
    let known: Vec<String> = (1..)
        .zip(engines)
        .map(|(id, address)| {
            format!(
                r#"{{"instanceId":"s-{id:08x}","hostPort":"{address}","zone":"east","machineType":"std",
                "cell":0,"lifecycle":"up","weight":1,"startedAtMs":0}}"#
            )
        })
        .collect();
    format!(
        r#"{{"name":"n0","listen":"{listen}","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":192,"sockets":{max_connections}}},"board":"{discovery}",
            "known":{{"rev":1,"notices":[{{"rev":1,"pool":{{"generation":1,"reset":true,"instances":[{}]}}}}]}},
            "settings":{settings}}}"#,
        known.join(",")
    )
}

/// An operator's file with these lines for the paged protocol.
pub fn operator_config(rest: &str) -> String {
    format!(
        r#"[rest]
listen = "127.0.0.1:0"
{rest}
[rest.batch]
group = [{{ header = "source" }}]
customer = [{{ header = "user" }}]
reference = [{{ field = "Idempotency-Key" }}]
key = [{{ session = "order_key" }}]
time-limit = [{{ session = "time_limit_ms" }}]
"#
    )
}

/// The name of the gateway with this number.
pub fn gateway_name(gateway: usize) -> String {
    format!("n{gateway:02}")
}

/// The names of these gateways as a list in TOML.
pub fn name_list(gateways: impl IntoIterator<Item = usize>) -> String {
    let names: Vec<String> = gateways.into_iter().map(|i| format!("\"{}\"", gateway_name(i))).collect();
    format!("[{}]", names.join(", "))
}

/// How a gateway takes part in the membership.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Its own place in the network.
    pub gateway: usize,
    /// The gateway whose name it has, itself as a rule.
    pub named_as: usize,
    /// Gateways that it asks first.
    pub seeds: Vec<usize>,
    /// The name of its zone.
    pub zone: String,
    /// Whether quotas are divided by the number of living gateways, rather than by the settings' number.
    pub counts_living: bool,
}

impl MembershipConfig {
    /// As gateways of a cluster have it unless they are told otherwise.
    pub fn of(gateway: usize, seeds: &[usize]) -> MembershipConfig {
        MembershipConfig {
            gateway,
            named_as: gateway,
            seeds: seeds.to_vec(),
            zone: "east".to_owned(),
            counts_living: true,
        }
    }

    /// The table of the operator's file.
    pub fn table(&self, network: &Network) -> String {
        let seeds: Vec<String> =
            self.seeds.iter().map(|seed| format!("\"{}\"", network.advertised_address(*seed))).collect();
        let mut table = format!(
            "[fronts]\ncluster = \"toy\"\nname = \"{}\"\naddress = \"{}\"\ntold = \"{}\"\nseeds = [{}]\n\
             networks = [\"127.0.0.0/8\"]\nzone = \"{}\"\nperiod-ms = {}\nanswer-ms = 60\ntable-ms = 600\n",
            gateway_name(self.named_as),
            network.bind_address(self.gateway),
            network.advertised_address(self.gateway),
            seeds.join(", "),
            self.zone,
            PROTOCOL_PERIOD.as_millis()
        );
        if self.counts_living {
            table += "shares = true\n";
        }
        table += "count-within-ms = 500\ncount-step-ms = 100\n";
        table
    }
}
