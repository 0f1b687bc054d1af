use super::*;

#[test]
fn calls_are_told_apart_and_anything_else_has_its_reason() {
    for (line, call) in [
        ("ready", AdminCommand::Ready),
        ("  drain \r", AdminCommand::Drain),
        ("resume", AdminCommand::Resume),
        ("disable-server s-1", AdminCommand::Disable("s-1".into())),
        ("enable-server\ts-1\r", AdminCommand::Enable("s-1".into())),
    ] {
        assert_eq!(AdminCommand::parse(line.as_bytes()), Ok(call), "{line:?}");
    }
    for (line, bad) in [
        (&b""[..], CommandError::Empty),
        (b" \r", CommandError::Empty),
        (b"READY", CommandError::Unknown),
        (b"enable-server", CommandError::NeedsId),
        (b"disable-server a b", CommandError::NeedsId),
        (b"drain now", CommandError::TakesNothing),
        (b"dr\xffin", CommandError::NotText),
    ] {
        assert_eq!(AdminCommand::parse(line), Err(bad), "{line:?}");
    }
}
