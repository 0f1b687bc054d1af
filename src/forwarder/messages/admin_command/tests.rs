use super::*;
use serde_json::json;

#[test]
fn a_line_is_parsed_to_its_command_and_anything_else_is_rejected_with_its_reason() {
    for (line, command) in [
        ("ready", AdminCommand::Ready),
        ("  drain \r", AdminCommand::Drain),
        ("resume", AdminCommand::Resume),
        ("disable-server s-1", AdminCommand::Disable("s-1".into())),
        ("enable-server\ts-1\r", AdminCommand::Enable("s-1".into())),
    ] {
        assert_eq!(AdminCommand::parse(line.as_bytes()), Ok(command), "{line:?}");
    }
    for (line, error) in [
        (&b""[..], CommandError::Empty),
        (b" \r", CommandError::Empty),
        (b"READY", CommandError::Unknown),
        (b"enable-server", CommandError::ExpectedOneId),
        (b"disable-server a b", CommandError::ExpectedOneId),
        (b"drain now", CommandError::UnexpectedArgument),
        (b"dr\xffin", CommandError::NotText),
    ] {
        assert_eq!(AdminCommand::parse(line), Err(error), "{line:?}");
    }
}

#[test]
fn replies_keep_their_texts_for_operators_and_between_processes() {
    for (success, text) in [
        (AdminSuccess::Ready, "ready"),
        (AdminSuccess::Draining, "draining"),
        (AdminSuccess::AcceptingClients, "taking clients"),
        (AdminSuccess::EndpointDisabled("s-1".into()), "s-1 left out"),
        (AdminSuccess::EndpointEnabled("s-1".into()), "s-1 put back"),
        (AdminSuccess::Other("of a later version".into()), "of a later version"),
    ] {
        assert_eq!(success.to_string(), text);
        check_serialized(Ok(success), json!({"Ok": text}));
    }
    for (error, text) in [
        (AdminError::UnknownEndpoint, "no such endpoint was ever listed"),
        (AdminError::Draining, "draining"),
        (AdminError::Terminating, "about to end"),
        (AdminError::NotReady, "not ready: another process still serves"),
        (AdminError::TakenOver, "a new version has taken over"),
        (AdminError::SuccessorGone, "the new version has gone"),
        (AdminError::NoReply, "no answer in time"),
        (AdminError::Other("disk full".into()), "disk full"),
    ] {
        assert_eq!(error.to_string(), text);
        check_serialized(Err(error), json!({"Err": text}));
    }
    assert_eq!(AdminError::from(CommandError::ExpectedOneId).to_string(), "this call takes one id");
}

fn check_serialized(reply: AdminReply, expected: serde_json::Value) {
    let serialized = serde_json::to_value(&reply).expect("a reply is serializable");
    assert_eq!(serialized, expected);
    assert_eq!(
        serde_json::from_value::<AdminReply>(serialized).expect("the reply was just serialized"),
        reply
    );
}
