use super::*;

#[test]
fn calls_are_told_apart_and_anything_else_has_its_reason() {
    for (line, call) in [
        ("ready", Call::Ready),
        ("  drain \r", Call::Drain),
        ("resume", Call::Resume),
        ("disable-server s-1", Call::Disable("s-1".into())),
        ("enable-server\ts-1\r", Call::Enable("s-1".into())),
    ] {
        assert_eq!(Call::parse(line.as_bytes()), Ok(call), "{line:?}");
    }
    for (line, bad) in [
        (&b""[..], Bad::Empty),
        (b" \r", Bad::Empty),
        (b"READY", Bad::Unknown),
        (b"enable-server", Bad::NeedsId),
        (b"disable-server a b", Bad::NeedsId),
        (b"drain now", Bad::TakesNothing),
        (b"dr\xffin", Bad::NoText),
    ] {
        assert_eq!(Call::parse(line), Err(bad), "{line:?}");
    }
}
