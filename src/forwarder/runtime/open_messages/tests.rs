use super::*;
use bytes::Bytes;
use tokio::sync::oneshot::Receiver;

fn submitted(client_id: &str) -> (OpenMessage, Receiver<ClientReply>) {
    let (client, reply) = oneshot::channel();
    let content = AcceptedMessage {
        id: client_id.to_owned(),
        class: "class".to_owned(),
        tenant: None,
        destination: 7,
        idempotency_key: None,
        deadline_unix_ms: 0,
        body: Bytes::new(),
    };
    (OpenMessage::submitted(content, 0, client), reply)
}

#[test]
fn a_message_is_found_by_both_ids_until_it_is_removed() {
    let mut messages = OpenMessages::default();
    let id = messages.insert(submitted("m-1").0);
    assert!(messages.contains(id));
    assert!(messages.by_client_id("m-1").is_some());
    messages.remove(id);
    assert!(!messages.contains(id));
    assert!(messages.by_client_id("m-1").is_none());
    assert!(messages.is_empty());
    assert_ne!(messages.insert(submitted("m-1").0), id, "numbers are not reused");
}

#[test]
fn only_submitted_messages_are_taken_for_the_commit_and_only_once() {
    let mut messages = OpenMessages::default();
    messages.insert(submitted("recovered").0);
    let first = messages.insert_submitted(submitted("m-1").0);
    let second = messages.insert_submitted(submitted("m-2").0);
    assert_eq!(messages.take_submitted(), [first, second]);
    assert!(messages.take_submitted().is_empty());
}

#[test]
fn every_waiting_client_gets_the_reply_and_one_too_many_is_rejected() {
    let (mut message, first) = submitted("m-1");
    let mut replies = vec![first];
    for _ in 1..MAX_CLIENTS_PER_MESSAGE {
        let (client, reply) = oneshot::channel();
        message.add_client(client);
        replies.push(reply);
    }
    let (client, mut rejected) = oneshot::channel();
    message.add_client(client);
    assert_eq!(rejected.try_recv(), Ok(ClientReply::Rejected(None)));
    assert!(message.reply(ClientReply::Accepted));
    for mut reply in replies {
        assert_eq!(reply.try_recv(), Ok(ClientReply::Accepted));
    }
}

#[test]
fn a_message_is_abandoned_once_its_last_client_has_disconnected() {
    let (mut message, first) = submitted("m-1");
    let (client, second) = oneshot::channel();
    message.add_client(client);
    drop(first);
    assert!(!message.is_abandoned_by_clients());
    drop(second);
    assert!(message.is_abandoned_by_clients());
    assert!(!message.reply(ClientReply::Accepted), "nobody receives it");
}
