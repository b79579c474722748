package sprucerock.relay.platform;

/** Why a client's command, message or connection was refused; the names stand in log lines. */
enum RefusalReason {
  /** It gave way to other clients, or came when none could. */
  TOO_MANY_CONNECTIONS,
  /** No memory for a command. */
  NO_ROOM,
  /** More commands wait on one connection than are kept. */
  TOO_MANY_WAITING,
  /** A statement that is of no served form, or whose comment can't be read. */
  UNREADABLE_STATEMENT,
  /** Bytes that are no message of the protocol, or a message that is not served. */
  UNREADABLE_MESSAGE,
  /** Nothing was asked, or a message was begun and not ended, for too long. */
  SILENT
}
