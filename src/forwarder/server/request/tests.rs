use super::*;
use hyper::header::HeaderValue;

const VALID_HEADERS: [(&str, &str); 5] = [
    (ID_HEADER, "m-1"),
    (TENANT_HEADER, "tenant-b"),
    (DEADLINE_HEADER, "1500"),
    (KEY_HEADER, "key-1"),
    (ENVELOPE_HEADER, "a=b, dest=7"),
];

fn headers(fields: &[(&'static str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        headers.append(*name, HeaderValue::from_str(value).expect("a header value"));
    }
    headers
}

fn name_list(names: &[&str]) -> NameList {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// The valid headers, with the value of the header `name` replaced.
fn valid_headers_with(name: &'static str, value: &str) -> HeaderMap {
    let mut headers = headers(&VALID_HEADERS);
    headers.insert(name, HeaderValue::from_str(value).expect("a header value"));
    headers
}

fn parse(headers: &HeaderMap) -> Result<MessageHeaders, RequestRejection> {
    MessageHeaders::parse(headers, &name_list(&["tenant-a", "tenant-b"]), true)
}

#[test]
fn valid_headers_are_parsed() {
    let parsed = parse(&headers(&VALID_HEADERS)).expect("the headers are valid");
    assert_eq!((parsed.id.as_str(), parsed.tenant, parsed.destination), ("m-1", Some(1), 7));
    assert_eq!((parsed.key.as_deref(), parsed.remaining), (Some("key-1"), Duration::from_millis(1500)));
}

#[test]
fn repeated_header_is_rejected_even_with_equal_values() {
    for (name, value) in VALID_HEADERS {
        let mut repeated = headers(&VALID_HEADERS);
        repeated.append(name, HeaderValue::from_str(value).expect("a header value"));
        assert_eq!(parse(&repeated).err(), Some(RequestRejection::RepeatedHeader(name)));
    }
}

#[test]
fn missing_or_invalid_header_is_rejected() {
    let too_long = "x".repeat(MAX_NAME_BYTES + 1);
    let too_late = (MAX_DEADLINE_MS + 1).to_string();
    for (name, value) in [
        (ID_HEADER, ""),
        (ID_HEADER, too_long.as_str()),
        (TENANT_HEADER, "tenant-c"),
        (DEADLINE_HEADER, "-1"),
        (DEADLINE_HEADER, too_late.as_str()),
        (KEY_HEADER, too_long.as_str()),
        (ENVELOPE_HEADER, "dest=x"),
        (ENVELOPE_HEADER, "destination=7"),
    ] {
        assert_eq!(
            parse(&valid_headers_with(name, value)).err(),
            Some(RequestRejection::InvalidHeader(name)),
            "{value:?}"
        );
    }
    for (name, _) in VALID_HEADERS {
        let mut incomplete = headers(&VALID_HEADERS);
        incomplete.remove(name);
        assert_eq!(parse(&incomplete).err(), Some(RequestRejection::InvalidHeader(name)));
    }
}

#[test]
fn tenant_and_key_are_optional_where_settings_do_not_require_them() {
    let mut minimal = headers(&VALID_HEADERS);
    minimal.remove(TENANT_HEADER);
    minimal.remove(KEY_HEADER);
    let parsed = MessageHeaders::parse(&minimal, &name_list(&[]), false).expect("the headers are valid");
    assert_eq!((parsed.tenant, parsed.key), (None, None));
}

#[test]
fn first_destination_that_is_a_number_is_used() {
    let parsed = parse(&valid_headers_with(ENVELOPE_HEADER, "dest=x,dest = 5,dest=9,dest=8"))
        .expect("the headers are valid");
    assert_eq!(parsed.destination, 9);
}

#[test]
fn class_is_the_only_segment_of_the_path() {
    let classes = name_list(&["alert", "digest"]);
    assert_eq!(parse_class("/digest", &classes), Ok(1));
    assert_eq!(parse_class("/other", &classes), Err(RequestRejection::UnknownClass));
    assert_eq!(parse_class("/digest/other", &classes), Err(RequestRejection::NotFound));
}
