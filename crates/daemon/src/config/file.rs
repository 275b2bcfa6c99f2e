//! What the platform tells a proxy at its start: addresses, limits, settings and the list as last had.
use crate::discovery::update::EndpointUpdate;
use birchhub::interface::Settings;
use birchhub_settings::ParsedSettings;
use serde_json::Value;
use serde_json::value::RawValue;
use socket2::{Socket, Type};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::fd::FromRawFd;
use std::sync::Arc;

const PASSED: &str = "LB_PASSED_SOCKET";
const SOCKET_NEEDS: u64 = 168 << 10; // bytes at worst: a body each way, one encoded, and what is read ahead

pub(crate) struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The second address, for staff and the platform.
    pub management: Option<SocketAddr>,
    pub seed: u64,
    pub max_sockets: usize,
    pub cached_endpoints: Option<EndpointUpdate>,
    /// Why the list in the file can't be read; the first answer of discovery is waited for then.
    pub cached_endpoints_error: Option<String>,
    pub parsed_settings: Arc<ParsedSettings>,
    /// Settings of another shape, whose decisions are only counted.
    pub shadow_settings: Option<Settings>,
}

impl Config {
    /// Keys beside the settings that differ in another one and are heard at a start only.
    pub(crate) fn restart_keys(&self, other: &Self) -> Vec<&'static str> {
        let keys = [
            ("name", self.name != other.name),
            ("listen", self.listen != other.listen),
            ("management", self.management != other.management),
            ("seed", self.seed != other.seed),
            ("limits", self.max_sockets != other.max_sockets),
        ];
        keys.into_iter()
            .filter(|(_, differs)| *differs)
            .map(|(key, _)| key)
            .collect()
    }
}

/// A value from the file, or from the variable where the file has none.
fn text(file: &Value, key: &str, variable: &str) -> Result<String, String> {
    let told = file.get(key).and_then(Value::as_str).map(str::to_owned);
    told.or_else(|| std::env::var(variable).ok())
        .ok_or_else(|| format!("{variable} is not set"))
}

fn address(file: &Value, key: &str, variable: &str) -> Result<SocketAddr, String> {
    let text = text(file, key, variable)?;
    text.parse()
        .map_err(|_| format!("{variable} is not an address and port: {text}"))
}

/// An address that may be missing.
fn optional_address(file: &Value, key: &str, variable: &str) -> Result<Option<SocketAddr>, String> {
    match file.get(key) {
        Some(Value::Null) | None if std::env::var_os(variable).is_none() => Ok(None),
        Some(Value::Null | Value::String(_)) | None => address(file, key, variable).map(Some),
        Some(other) => Err(format!("{key} is not a text in LB_CONFIG: {other}")),
    }
}

/// The clients' socket, where the platform holds it and names its descriptor. To be called before anything
/// else opens one.
pub(crate) fn inherited_listener() -> Result<Option<std::net::TcpListener>, String> {
    let Some(name) = std::env::var_os(PASSED) else {
        return Ok(None);
    };
    let bad = |what: &str| format!("{PASSED} {what}: {}", name.display());
    let number = name.to_str().and_then(|text| text.parse::<u32>().ok());
    let number = number
        .and_then(|number| i32::try_from(number).ok())
        .ok_or(bad("is not a number"))?;
    let stands =
        std::fs::read_link(format!("/proc/self/fd/{number}")).map_err(|_| bad("is not open"))?;
    if !stands.to_string_lossy().starts_with("socket:") {
        return Err(bad("is not a socket"));
    }
    // SAFETY: it is open, as was just seen, and this process was started with it: nothing else here owns it.
    let socket = unsafe { Socket::from_raw_fd(number) };
    let inet = socket.local_addr().is_ok_and(|at| at.as_socket().is_some());
    if !(inet
        && socket.r#type().is_ok_and(|kind| kind == Type::STREAM)
        && socket.is_listener().unwrap_or(false))
    {
        return Err(bad("is not a listening TCP socket"));
    }
    socket
        .set_nonblocking(true)
        .map_err(|e| bad(&e.to_string()))?;
    socket.set_cloexec(true).map_err(|e| bad(&e.to_string()))?;
    Ok(Some(socket.into()))
}

/// Settings at a path.
fn parse_settings(text: &RawValue, path: &str) -> Result<ParsedSettings, String> {
    birchhub_settings::parse(text.get()).map_err(|e| format!("{path}{e}"))
}

/// The settings to be watched, which must speak of the same RPCs.
fn parse_shadow_settings(text: &RawValue, conf: &ParsedSettings) -> Result<Settings, String> {
    let watch = parse_settings(text, "watch.")?;
    let same = [
        ("methods", watch.methods == conf.methods),
        ("accounts", watch.tenants == conf.tenants),
        ("failure-domains", watch.zones == conf.zones),
    ];
    if let Some((path, _)) = same.iter().find(|(_, same)| !same) {
        return Err(format!("watch.{path} has other names than settings.{path}"));
    }
    Ok(watch.settings)
}

/// Reads the file; the list in it where `known` is wanted.
pub(crate) fn load(known: bool) -> Result<Config, String> {
    let path = std::env::var("LB_CONFIG").map_err(|_| "LB_CONFIG is not set".to_owned())?;
    let bytes =
        std::fs::read(&path).map_err(|e| format!("LB_CONFIG cannot be read: {path}: {e}"))?;
    let fault = |e| format!("LB_CONFIG is not JSON: {path}: {e}");
    let mut file: BTreeMap<String, &RawValue> = serde_json::from_slice(&bytes).map_err(fault)?;
    let [settings, watch, list] = ["settings", "watch", "known"].map(|key| file.remove(key));
    let file = file
        .into_iter()
        .map(|(key, raw)| Ok((key, serde_json::from_str(raw.get())?)));
    let file = Value::Object(file.collect::<Result<_, _>>().map_err(fault)?);
    let seed = file
        .get("seed")
        .and_then(Value::as_str)
        .ok_or("seed is missing in LB_CONFIG")?;
    let settings = settings.ok_or("settings is missing in LB_CONFIG")?;
    let limit = |key| {
        file.get("limits")
            .and_then(|limits| limits.get(key))
            .and_then(Value::as_u64)
    };
    let bearable = limit("memory_mb").map_or(u64::MAX, |mb| (mb << 20) / SOCKET_NEEDS);
    let conf = parse_settings(settings, "settings: ")?;
    let watch = watch
        .filter(|watch| watch.get() != "null")
        .map(|watch| parse_shadow_settings(watch, &conf))
        .transpose()?;
    // Guards against a fleet that can't start for a copy of a list that is replaced a moment later anyway.
    let list = list.filter(|list| known && list.get() != "null");
    let known = list
        .map(|list| EndpointUpdate::parse(list.get()).map_err(|e| e.to_string()))
        .transpose();
    let (known, known_fault) =
        known.map_or_else(|fault| (None, Some(fault)), |known| (known, None));
    Ok(Config {
        name: text(&file, "name", "LB_NAME")?,
        listen: address(&file, "listen", "LB_LISTEN")?,
        discovery: address(&file, "discovery", "LB_DISCOVERY")?,
        management: optional_address(&file, "management", "LB_MANAGEMENT")?,
        seed: u64::from_str_radix(seed, 16)
            .map_err(|_| format!("seed is not a hex number: {seed}"))?,
        max_sockets: limit("sockets").unwrap_or(1024).min(bearable) as usize,
        cached_endpoints: known,
        cached_endpoints_error: known_fault,
        parsed_settings: Arc::new(conf),
        shadow_settings: watch,
    })
}
