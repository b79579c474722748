package sprucerock.relay.platform.soak;

/** The classes of requests in the relay's settings. */
enum RequestClass {
  LOOK("look", "read_like"),
  ORDER("order", "idempotency_key"),
  PAY("pay", "non_idempotent");

  final String wireName;
  final String effect;

  RequestClass(String wireName, String effect) {
    this.wireName = wireName;
    this.effect = effect;
  }

  /** The text of a request: a row is read or written, and the comment says what the relay needs. */
  String statement(String id, int deadlineMs, int valueBytes) {
    String comment = " /* id=" + id + ",c=" + wireName + ",d=" + deadlineMs;
    if (this == LOOK) {
      return "SELECT v FROM records WHERE k = '00000000000000aa'" + comment + " */";
    }
    String key = this == ORDER ? ",k=" + id : "";
    return "INSERT INTO records (k, v) VALUES ('00000000000000ab', '\\x"
        + "0f".repeat(Math.max(1, valueBytes))
        + "') RETURNING v"
        + comment
        + key
        + " */";
  }
}
