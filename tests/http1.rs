//! Parsing and serialization of HTTP/1.1 messages, and rejection of invalid ones.

use bytes::BytesMut;
use dragonflylead::http1::BodyDecoder;
use dragonflylead::http1::Framing;
use dragonflylead::http1::head;
use dragonflylead::http1::head::MessageError;
use dragonflylead::http1::write;

/// Size limit of a head in these tests, in bytes.
const MAX_HEAD_BYTES: usize = 512;

/// Guards against request smuggling: a request that two parsers could split differently must fail.
#[test]
fn ambiguous_and_malformed_requests_are_rejected() {
    struct Case {
        name: &'static str,
        text: &'static str,
        error: MessageError,
    }
    let cases = [
        Case {
            name: "two Content-Length headers",
            text: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n",
            error: MessageError::AmbiguousLength,
        },
        Case {
            name: "Content-Length and chunked encoding",
            text: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            error: MessageError::AmbiguousLength,
        },
        Case {
            name: "unknown transfer encoding",
            text: "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
            error: MessageError::AmbiguousLength,
        },
        Case {
            name: "Content-Length with a sign",
            text: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\n",
            error: MessageError::AmbiguousLength,
        },
        Case {
            name: "Content-Length with a list of values",
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
            name: "no Host header",
            text: "GET / HTTP/1.1\r\n\r\n",
            error: MessageError::Malformed,
        },
        Case {
            name: "two Host headers",
            text: "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
            error: MessageError::Malformed,
        },
        Case {
            name: "unsupported HTTP version",
            text: "GET / HTTP/2.0\r\nHost: a\r\n\r\n",
            error: MessageError::Malformed,
        },
    ];
    for case in cases {
        let parsed = head::parse_request(case.text.as_bytes(), MAX_HEAD_BYTES);
        assert_eq!(parsed.unwrap_err(), case.error, "{}", case.name);
    }
}

#[test]
fn heads_are_parsed_when_complete_and_within_the_size_limit() {
    let text = b"GET /a/b?c=d HTTP/1.1\r\nHost: A.example:80\r\nX-Kept: 1\r\nConnection: close, X-Hop\r\nX-Hop: 2\r\n\r\nrest";
    for end in 0..text.len() - 4 {
        let parsed = head::parse_request(&text[..end], MAX_HEAD_BYTES);
        assert_eq!(parsed, Ok(None), "{end} bytes");
    }
    let (head, len) = head::parse_request(text, MAX_HEAD_BYTES).unwrap().unwrap();
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
fn responses_have_the_right_framing_and_close_flag() {
    struct Case {
        name: &'static str,
        text: &'static str,
        method: &'static str,
        framing: Framing,
        close: bool,
    }
    let cases = [
        Case {
            name: "Content-Length",
            text: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n",
            method: "GET",
            framing: Framing::Length(3),
            close: false,
        },
        Case {
            name: "chunked encoding",
            text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            method: "GET",
            framing: Framing::Chunked,
            close: false,
        },
        Case {
            name: "no Content-Length",
            text: "HTTP/1.1 200 OK\r\n\r\n",
            method: "GET",
            framing: Framing::UntilClose,
            close: true,
        },
        Case {
            name: "response to HEAD",
            text: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n",
            method: "HEAD",
            framing: Framing::Length(0),
            close: false,
        },
        Case {
            name: "204 No Content",
            text: "HTTP/1.1 204 No Content\r\n\r\n",
            method: "GET",
            framing: Framing::Length(0),
            close: false,
        },
        Case {
            name: "Connection: close",
            text: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            method: "GET",
            framing: Framing::Length(0),
            close: true,
        },
    ];
    for case in cases {
        let parsed = head::parse_response(case.text.as_bytes(), MAX_HEAD_BYTES, case.method);
        let (head, _) = parsed.unwrap().unwrap();
        assert_eq!(head.framing, case.framing, "{}", case.name);
        assert_eq!(head.close, case.close, "{}", case.name);
    }
    let not_http = head::parse_response(b"\x00\x01garbage", MAX_HEAD_BYTES, "GET");
    assert_eq!(not_http, Err(MessageError::Malformed));
}

/// Length of the header names that are tested byte by byte. It exceeds the blocks in which a parser
/// may look at many bytes at once.
const TESTED_NAME_BYTES: usize = 70;

/// Returns whether a header name may contain `byte` (RFC 9110, section 5.6.2).
fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Guards against header names with blanks or control bytes, which parsers treat differently.
#[test]
fn a_header_name_with_any_invalid_byte_is_rejected() {
    let headers: [(&[u8], &[u8]); 2] = [
        (b"HTTP/1.1 200 OK\r\nX-A: 1\r\n", b"\r\n"),
        (b"HTTP/1.1 200 OK\r\n", b"X-A: 1\r\n\r\n"),
    ];
    for byte in 0..=u8::MAX {
        for at in 0..TESTED_NAME_BYTES {
            // The first colon ends the name.
            if byte == b':' && at > 0 {
                continue;
            }
            let mut name = [b'x'; TESTED_NAME_BYTES];
            name[at] = byte;
            for (before, after) in headers {
                let text = [before, &name, b": 1\r\n", after].concat();
                let parsed = head::parse_response(&text, MAX_HEAD_BYTES, "GET");
                let valid = parsed.is_ok_and(|parsed| parsed.is_some());
                assert_eq!(valid, is_name_byte(byte), "byte {byte:#04x} at {at}");
            }
        }
    }
}

#[test]
fn bodies_end_as_their_framing_defines() {
    struct Case {
        name: &'static str,
        framing: Framing,
        bytes: &'static str,
        body: &'static str,
        rest: &'static str,
    }
    let cases = [
        Case {
            name: "fixed length",
            framing: Framing::Length(3),
            bytes: "abcGET",
            body: "abc",
            rest: "GET",
        },
        Case {
            name: "empty body",
            framing: Framing::Length(0),
            bytes: "GET",
            body: "",
            rest: "GET",
        },
        Case {
            name: "chunked with extension and trailer",
            framing: Framing::Chunked,
            bytes: "2;x=y\r\nab\r\n1\r\nc\r\n0\r\nX: y\r\n\r\nGET",
            body: "abc",
            rest: "GET",
        },
    ];
    for case in cases {
        // Bodies may arrive in pieces of any size.
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
            assert_eq!(
                decoder.into_body().to_vec(),
                case.body.as_bytes(),
                "{}",
                case.name
            );
        }
    }
}

#[test]
fn malformed_and_oversized_bodies_are_rejected() {
    struct Case {
        name: &'static str,
        framing: Framing,
        bytes: &'static str,
        error: MessageError,
    }
    let cases = [
        Case {
            name: "length above the limit",
            framing: Framing::Length(17),
            bytes: "a",
            error: MessageError::BodyTooLong,
        },
        Case {
            name: "chunk above the limit",
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
            name: "chunk size with 0x prefix",
            framing: Framing::Chunked,
            bytes: "0x1\r\na\r\n",
            error: MessageError::Malformed,
        },
        Case {
            name: "chunk longer than its stated size",
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
fn written_messages_round_trip() {
    let headers = vec![("X-A".to_owned(), b"1".to_vec())];
    let mut out = Vec::new();
    write::request(&mut out, "POST", "/a", "h", &headers, b"body");
    let (head, len) = head::parse_request(&out, MAX_HEAD_BYTES).unwrap().unwrap();
    assert_eq!(head.framing, Framing::Length(4));
    assert_eq!(head.headers, headers);
    assert_eq!(&out[len..], b"body");

    let mut out = Vec::new();
    write::response(&mut out, 503, &headers, b"full", true, false);
    let (head, len) = head::parse_response(&out, MAX_HEAD_BYTES, "GET")
        .unwrap()
        .unwrap();
    assert_eq!((head.status, head.close), (503, true));
    assert_eq!(head.framing, Framing::Length(4));
    assert_eq!(&out[len..], b"full");
}
