//! HTTP/1.1 as the stand-ins need it: whole requests and the parts of responses.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
};

/// A request that has been read whole.
pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// Returns a decoded parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let found = query.split('&').find_map(|item| {
            let (key, value) = item.split_once('=').unwrap_or((item, ""));
            (key == name).then_some(value)
        })?;
        let (mut out, bytes, mut at) = (Vec::new(), found.as_bytes(), 0);
        while at < bytes.len() {
            match bytes[at] {
                b'+' => out.push(b' '),
                b'%' if at + 2 < bytes.len() => {
                    let digits = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("3f");
                    out.push(u8::from_str_radix(digits, 16).unwrap_or(b'?'));
                    at += 2;
                }
                other => out.push(other),
            }
            at += 1;
        }
        Some(String::from_utf8_lossy(&out).into_owned())
    }
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers.iter().find(|(key, _)| key == name);
    found.map_or("", |(_, value)| value)
}

type Head = (String, Vec<(String, String)>);

/// Reads the first line and the headers, with names in lower case; `None` at the end.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk of a chunked body; `None` at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
    let mut bytes = vec![0; size + 2];
    reader.read_exact(&mut bytes)?;
    bytes.truncate(size);
    Ok((size > 0).then_some(bytes))
}

/// Reads a body by its headers.
pub fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if header(headers, "transfer-encoding") == "chunked" {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
    } else if let Ok(length) = header(headers, "content-length").parse() {
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    }
    Ok(body)
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let mut word = || words.next().unwrap_or("").to_owned();
    let (_method, target) = (word(), word());
    let body = read_body(reader, &headers)?;
    Ok(Some(Request {
        target,
        headers,
        body,
    }))
}

/// Serves each connection on a thread of its own; `answer` returns whether the connection is kept.
pub fn serve<F>(listener: TcpListener, answer: F)
where
    F: Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + Clone + 'static,
{
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(input) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(input);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    if !answer(&request, &mut stream).unwrap_or(false) {
                        return;
                    }
                }
            });
        }
    });
}

/// Sends a response with a JSON body.
pub fn respond(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<bool> {
    let head = format!(
        "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes())?;
    Ok(true)
}

/// Binds a free port of an address.
pub fn listen(ip: &str) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}
