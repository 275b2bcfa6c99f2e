//! The sockets on which a process accepts: the clients' and the administrators'.

use crate::config::file::Config;
use crate::lifecycle::start_error::StartError;
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that wait to be accepted: none of a burst may be refused.
const BACKLOG: u32 = 1024;

/// The listening sockets of a process.
pub(crate) struct Listeners {
    /// For clients.
    pub clients: TcpListener,
    /// The one for clients was inherited: it belongs to the platform and outlives this process.
    pub inherited: bool,
    /// For administrators, where they have an address.
    pub admin: Option<TcpListener>,
}

impl Listeners {
    /// Binds the addresses of the configuration; clients are accepted on `inherited` instead, if there is such a socket.
    pub(crate) fn bind(
        config: &Config,
        inherited: Option<std::net::TcpListener>,
    ) -> Result<Self, StartError> {
        let is_inherited = inherited.is_some();
        let clients = match inherited {
            Some(socket) => TcpListener::from_std(socket).map_err(StartError::InheritedListener)?,
            None => bind("LB_LISTEN", config.listen)?,
        };
        let admin = config
            .management
            .map(|address| bind("LB_MANAGEMENT", address))
            .transpose()?;
        Ok(Self {
            clients,
            inherited: is_inherited,
            admin,
        })
    }
}

fn bind(setting: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    listen(address).map_err(|source| StartError::Bind {
        setting,
        address,
        source,
    })
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    // A restart takes its address over at once.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
