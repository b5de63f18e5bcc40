//! Stand-in servers on plain sockets of the standard library.

use std::io::{BufRead, BufReader, Read, Write};
use std::net;
use std::sync::mpsc;
use std::thread;
use std::time;

/// How a stand-in server handles one connection.
#[derive(Clone)]
pub(crate) enum Script {
    /// Answers this many requests, then closes the connection.
    Answer {
        /// The status code and reason phrase of the status line.
        status: &'static str,
        /// The body of each answer.
        body: String,
        /// How many requests are answered.
        requests: usize,
    },
    /// Reads one request and answers with these bytes.
    Bytes(Vec<u8>),
    /// Reads the request and never answers; ends when the peer closes the connection.
    NoAnswer,
}

/// Serves one connection after another, one for each script. The receiver returns the
/// first line of each request.
pub(crate) fn serve(scripts: Vec<Script>) -> (net::SocketAddr, mpsc::Receiver<String>) {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        for script in scripts {
            let (stream, _) = listener.accept().unwrap();
            serve_one(stream, script, &sender);
        }
    });
    (address, receiver)
}

fn serve_one(mut stream: net::TcpStream, script: Script, sender: &mpsc::Sender<String>) {
    stream
        .set_read_timeout(Some(time::Duration::from_secs(30)))
        .unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    match script {
        Script::Answer {
            status,
            body,
            requests,
        } => {
            for _ in 0..requests {
                if !read_request(&mut reader, sender) {
                    return;
                }
                let length = body.len();
                let head = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n");
                let _ = stream.write_all(head.as_bytes());
                let _ = stream.write_all(body.as_bytes());
            }
        }
        Script::Bytes(bytes) => {
            read_request(&mut reader, sender);
            let _ = stream.write_all(&bytes);
        }
        Script::NoAnswer => {
            read_request(&mut reader, sender);
            let _ = reader.read(&mut [0]);
        }
    }
}

fn read_request(reader: &mut BufReader<net::TcpStream>, sender: &mpsc::Sender<String>) -> bool {
    let mut first = String::new();
    if reader.read_line(&mut first).unwrap_or(0) == 0 {
        return false;
    }
    let _ = sender.send(first.trim_end().to_owned());
    let mut line = String::new();
    while reader.read_line(&mut line).unwrap_or(0) > 2 {
        line.clear();
    }
    true
}
