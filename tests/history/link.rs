//! A lossy link in front of a port: it breaks a connection after some bytes of answers.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::recorder::draw;

/// Most bytes of answers that pass before a connection breaks.
const BREAK_WITHIN_BYTES: u64 = 6_000;

const CHUNK_BYTES: usize = 4096;

/// A link that is being served.
pub(crate) struct Link {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Link {
    /// Serves a link to `to`. Every connection breaks sooner or later, by `seed`.
    pub(crate) async fn start(to: SocketAddr, seed: u64) -> Link {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any).await.unwrap();
        let address = listener.local_addr().unwrap();
        let task = tokio::spawn(accept(listener, to, seed));
        Link { address, task }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, seed: u64) {
    for connection in 0_u64.. {
        let Ok((near, _)) = listener.accept().await else {
            return;
        };
        let bytes = draw(seed, connection) * BREAK_WITHIN_BYTES / 1000;
        tokio::spawn(pass(near, to, bytes as usize));
    }
}

/// Passes bytes both ways until either end closes or `left` bytes of answers have passed.
async fn pass(near: TcpStream, to: SocketAddr, mut left: usize) {
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    let (mut near_in, mut near_out) = near.into_split();
    let (mut far_in, mut far_out) = far.into_split();
    let requests = tokio::io::copy(&mut near_in, &mut far_out);
    let answers = async {
        let mut buf = [0; CHUNK_BYTES];
        while left > 0 {
            let room = left.min(CHUNK_BYTES);
            let n = match far_in.read(&mut buf[..room]).await {
                Ok(0) | Err(_) => return,
                Ok(n) => n,
            };
            left -= n;
            if near_out.write_all(&buf[..n]).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        _ = requests => {}
        () = answers => {}
    }
}
