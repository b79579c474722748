package sprucerock.accounting;

import java.util.List;

/**
 * The columns of each sheet: first the total, then the columns whose sum it is. Columns are stored
 * and exported under these names and in this order.
 */
final class SheetColumns {
  static final List<String> CALLS =
      List.of("received", "taken", "turned_away", "refused", "lost", "at_door");
  static final List<String> RPCS =
      List.of("taken", "ok", "pushed_back", "aborted", "left", "lost", "open");
  static final List<String> TENANTS = List.of("taken", "ended", "lost", "open");

  /** After the total, in the order of {@link sprucerock.model.AttemptOutcome}. */
  static final List<String> ATTEMPTS =
      List.of(
          "sent",
          "ok",
          "error",
          "full",
          "timed_out",
          "not_connected",
          "broken",
          "cancelled",
          "moot",
          "lost",
          "out");

  static final List<String> ENDPOINTS = List.of("sent", "ok", "not_ok", "lost", "out");
  static final List<String> ANSWERS = List.of("answered", "in_time", "late", "too_late");
  static final List<String> FRAMES = List.of("wanted", "written", "unwritten", "lost", "waiting");
  static final List<String> LATE_RESULTS = List.of("came", "ok", "error", "full");
  static final List<String> HANDSHAKES =
      List.of(
          "begun",
          "full",
          "resumed",
          "wrong_name",
          "expired",
          "not_yet_valid",
          "wrong_use",
          "unknown_issuer",
          "weak",
          "chain_too_long",
          "revoked",
          "no_certificate",
          "malformed",
          "no_protocol",
          "not_tls",
          "peer_refused",
          "timed_out",
          "ended",
          "too_many",
          "failed",
          "lost",
          "under_way");
  static final List<String> TLS_FILES = List.of("changes", "taken", "refused");
  static final List<String> VOTES =
      List.of("cast", "counts", "moot", "too_many", "error", "unanswered", "lost", "waiting");
  static final List<String> MESSAGES = List.of("told", "sent", "dropped", "lost", "queued");
  static final List<String> STARTS = List.of("starts", "ended", "lost", "running");
  static final List<String> FILES =
      List.of("opened", "fresh", "carried", "set_aside", "lost", "unread");

  private SheetColumns() {}
}
