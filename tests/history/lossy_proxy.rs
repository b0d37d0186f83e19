//! A TCP proxy in front of a port that closes each connection after a number of response bytes.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::recorder::hash_per_mille;

/// Maximum number of response bytes that a connection carries before it is closed.
const MAX_BYTES_BEFORE_CLOSE: u64 = 6_000;

/// Size of the buffer for responses.
const CHUNK_BYTES: usize = 4096;

/// A running proxy. Dropping it stops accepting connections.
pub(crate) struct LossyProxy {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl LossyProxy {
    /// Starts a proxy to `upstream`. The number of response bytes that each connection carries
    /// depends on `seed`.
    pub(crate) async fn start(upstream: SocketAddr, seed: u64) -> LossyProxy {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any).await.unwrap();
        let address = listener.local_addr().unwrap();
        let task = tokio::spawn(accept(listener, upstream, seed));
        LossyProxy { address, task }
    }

    /// Returns the address on which the proxy listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for LossyProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts connections and forwards each with its own byte limit.
async fn accept(listener: TcpListener, upstream: SocketAddr, seed: u64) {
    for connection in 0_u64.. {
        let Ok((client, _)) = listener.accept().await else {
            return;
        };
        let bytes = hash_per_mille(seed, connection) * MAX_BYTES_BEFORE_CLOSE / 1000;
        tokio::spawn(forward(client, upstream, bytes as usize));
    }
}

/// Forwards bytes in both directions until either side closes or `bytes_left` response bytes have
/// been forwarded.
async fn forward(client: TcpStream, upstream: SocketAddr, mut bytes_left: usize) {
    let Ok(server) = TcpStream::connect(upstream).await else {
        return;
    };
    let (mut client_in, mut client_out) = client.into_split();
    let (mut server_in, mut server_out) = server.into_split();
    let requests = tokio::io::copy(&mut client_in, &mut server_out);
    let responses = async {
        let mut buf = [0; CHUNK_BYTES];
        while bytes_left > 0 {
            let max_len = bytes_left.min(CHUNK_BYTES);
            let n = match server_in.read(&mut buf[..max_len]).await {
                Ok(0) | Err(_) => return,
                Ok(n) => n,
            };
            bytes_left -= n;
            if client_out.write_all(&buf[..n]).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        _ = requests => {}
        () = responses => {}
    }
}
