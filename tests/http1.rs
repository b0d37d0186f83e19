//! HTTP/1.1 messages: heads, bodies, and what is rejected.

use bytes::BytesMut;
use dragonflylead::http1::BodyDecoder;
use dragonflylead::http1::Framing;
use dragonflylead::http1::head;
use dragonflylead::http1::head::MessageError;
use dragonflylead::http1::write;

const MAX_HEAD: usize = 512;

#[test]
fn requests_that_two_readers_could_split_differently_are_rejected() {
    struct Case {
        name: &'static str,
        text: &'static str,
        error: MessageError,
    }
    let cases = [
        Case {
            name: "two lengths",
            text: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n",
            error: MessageError::AmbiguousLength,
        },
        Case {
            name: "length and chunks",
            text: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            error: MessageError::AmbiguousLength,
        },
        Case {
            name: "unknown transfer encoding",
            text: "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
            error: MessageError::AmbiguousLength,
        },
        Case {
            name: "length with a sign",
            text: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\n",
            error: MessageError::AmbiguousLength,
        },
        Case {
            name: "list of lengths",
            text: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1, 1\r\n\r\n",
            error: MessageError::AmbiguousLength,
        },
        Case {
            name: "bare line feed",
            text: "GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n",
            error: MessageError::Malformed,
        },
        Case {
            name: "bare carriage return",
            text: "GET / HTTP/1.1\r\nHost: a\rX: b\r\n\r\n",
            error: MessageError::Malformed,
        },
        Case {
            name: "space before the colon",
            text: "GET / HTTP/1.1\r\nHost: a\r\nX : b\r\n\r\n",
            error: MessageError::Malformed,
        },
        Case {
            name: "folded header",
            text: "GET / HTTP/1.1\r\nHost: a\r\nX: b\r\n c\r\n\r\n",
            error: MessageError::Malformed,
        },
        Case {
            name: "no host",
            text: "GET / HTTP/1.1\r\n\r\n",
            error: MessageError::Malformed,
        },
        Case {
            name: "two hosts",
            text: "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
            error: MessageError::Malformed,
        },
        Case {
            name: "another protocol",
            text: "GET / HTTP/2.0\r\nHost: a\r\n\r\n",
            error: MessageError::Malformed,
        },
    ];
    for case in cases {
        let parsed = head::parse_request(case.text.as_bytes(), MAX_HEAD);
        assert_eq!(parsed.unwrap_err(), case.error, "{}", case.name);
    }
}

#[test]
fn a_head_is_read_once_it_is_complete_and_not_longer_than_allowed() {
    let text = b"GET /a/b?c=d HTTP/1.1\r\nHost: A.example:80\r\nX-Kept: 1\r\nConnection: close, X-Hop\r\nX-Hop: 2\r\n\r\nrest";
    for end in 0..text.len() - 4 {
        let parsed = head::parse_request(&text[..end], MAX_HEAD);
        assert_eq!(parsed, Ok(None), "{end} bytes");
    }
    let (head, len) = head::parse_request(text, MAX_HEAD).unwrap().unwrap();
    assert_eq!(len, text.len() - 4);
    assert_eq!(head.host, "a.example");
    assert_eq!(head.target, "/a/b?c=d");
    assert_eq!(head.path(), "/a/b");
    assert!(head.close);
    assert_eq!(head.headers, vec![("X-Kept".to_owned(), b"1".to_vec())]);
    assert_eq!(
        head::parse_request(text, 40),
        Err(MessageError::HeadTooLong)
    );
}

#[test]
fn responses_say_how_they_end() {
    struct Case {
        name: &'static str,
        text: &'static str,
        method: &'static str,
        framing: Framing,
        close: bool,
    }
    let cases = [
        Case {
            name: "length",
            text: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n",
            method: "GET",
            framing: Framing::Length(3),
            close: false,
        },
        Case {
            name: "chunks",
            text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            method: "GET",
            framing: Framing::Chunked,
            close: false,
        },
        Case {
            name: "no length",
            text: "HTTP/1.1 200 OK\r\n\r\n",
            method: "GET",
            framing: Framing::UntilClose,
            close: true,
        },
        Case {
            name: "answer to HEAD",
            text: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n",
            method: "HEAD",
            framing: Framing::Length(0),
            close: false,
        },
        Case {
            name: "no content",
            text: "HTTP/1.1 204 No Content\r\n\r\n",
            method: "GET",
            framing: Framing::Length(0),
            close: false,
        },
        Case {
            name: "leaving",
            text: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            method: "GET",
            framing: Framing::Length(0),
            close: true,
        },
    ];
    for case in cases {
        let parsed = head::parse_response(case.text.as_bytes(), MAX_HEAD, case.method);
        let (head, _) = parsed.unwrap().unwrap();
        assert_eq!(head.framing, case.framing, "{}", case.name);
        assert_eq!(head.close, case.close, "{}", case.name);
    }
    let garbage = head::parse_response(b"\x00\x01garbage", MAX_HEAD, "GET");
    assert_eq!(garbage, Err(MessageError::Malformed));
}

#[test]
fn bodies_end_where_their_framing_says() {
    struct Case {
        name: &'static str,
        framing: Framing,
        bytes: &'static str,
        body: &'static str,
        rest: &'static str,
    }
    let cases = [
        Case {
            name: "length",
            framing: Framing::Length(3),
            bytes: "abcGET",
            body: "abc",
            rest: "GET",
        },
        Case {
            name: "empty",
            framing: Framing::Length(0),
            bytes: "GET",
            body: "",
            rest: "GET",
        },
        Case {
            name: "chunks with extension and trailer",
            framing: Framing::Chunked,
            bytes: "2;x=y\r\nab\r\n1\r\nc\r\n0\r\nX: y\r\n\r\nGET",
            body: "abc",
            rest: "GET",
        },
    ];
    for case in cases {
        // The bytes may arrive in any pieces.
        for piece in 1..=case.bytes.len() {
            let mut decoder = BodyDecoder::new(case.framing, 16);
            let mut buf = BytesMut::new();
            let mut complete = decoder.decode(&mut buf).unwrap();
            for bytes in case.bytes.as_bytes().chunks(piece) {
                buf.extend_from_slice(bytes);
                complete = complete || decoder.decode(&mut buf).unwrap();
            }
            assert!(complete, "{}, pieces of {piece}", case.name);
            assert_eq!(buf, case.rest.as_bytes(), "{}", case.name);
            assert_eq!(decoder.into_body(), case.body.as_bytes(), "{}", case.name);
        }
    }
}

#[test]
fn malformed_and_long_bodies_are_rejected() {
    struct Case {
        name: &'static str,
        framing: Framing,
        bytes: &'static str,
        error: MessageError,
    }
    let cases = [
        Case {
            name: "long length",
            framing: Framing::Length(17),
            bytes: "a",
            error: MessageError::BodyTooLong,
        },
        Case {
            name: "long chunk",
            framing: Framing::Chunked,
            bytes: "11\r\na",
            error: MessageError::BodyTooLong,
        },
        Case {
            name: "chunk size that overflows",
            framing: Framing::Chunked,
            bytes: "fffffffffffffffff\r\n",
            error: MessageError::Malformed,
        },
        Case {
            name: "chunk size with a prefix",
            framing: Framing::Chunked,
            bytes: "0x1\r\na\r\n",
            error: MessageError::Malformed,
        },
        Case {
            name: "chunk that is longer than stated",
            framing: Framing::Chunked,
            bytes: "1\r\nab\r\n",
            error: MessageError::Malformed,
        },
        Case {
            name: "bare line feed after a chunk size",
            framing: Framing::Chunked,
            bytes: "1\na\r\n",
            error: MessageError::Malformed,
        },
    ];
    for case in cases {
        let mut decoder = BodyDecoder::new(case.framing, 16);
        let mut buf = BytesMut::from(case.bytes.as_bytes());
        assert_eq!(decoder.decode(&mut buf), Err(case.error), "{}", case.name);
    }
}

#[test]
fn what_is_written_reads_back() {
    let headers = vec![("X-A".to_owned(), b"1".to_vec())];
    let mut out = Vec::new();
    write::request(&mut out, "POST", "/a", "h", &headers, b"body");
    let (head, len) = head::parse_request(&out, MAX_HEAD).unwrap().unwrap();
    assert_eq!(head.framing, Framing::Length(4));
    assert_eq!(head.headers, headers);
    assert_eq!(&out[len..], b"body");

    let mut out = Vec::new();
    write::response(&mut out, 503, &headers, b"full", true, false);
    let (head, len) = head::parse_response(&out, MAX_HEAD, "GET")
        .unwrap()
        .unwrap();
    assert_eq!((head.status, head.close), (503, true));
    assert_eq!(head.framing, Framing::Length(4));
    assert_eq!(&out[len..], b"full");
}
