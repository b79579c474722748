package sprucerock.controller;

import java.util.List;

/** The result of {@link Engine#append}. */
public sealed interface AppendResult
    permits AppendResult.Accepted, AppendResult.Rejected, AppendResult.Unknown {
  /** Why an entry was rejected. */
  enum Reason {
    /** Too many entries wait for the next flush. */
    QUEUE_FULL,
    /** This controller may have lost leadership. */
    NOT_LEADER,
    /** The storage did not accept the entry, or may have lost it. */
    STORAGE_FAILED
  }

  /**
   * The entry is durable and was applied.
   *
   * @param value the result of applying the entry
   */
  record Accepted(Value value) implements AppendResult {}

  /**
   * The entry is not in the log, and is applied by no incarnation and no other leader.
   *
   * @param message the reason in one line, for people
   */
  record Rejected(Reason reason, String message) implements AppendResult {}

  /**
   * The entry was not applied here, but it may be in the log, so that a later incarnation or
   * another leader applies it. The caller must not be told that it was rejected.
   *
   * @param message the reason in one line, for people
   */
  record Unknown(String message) implements AppendResult {}

  /** The result of applying an entry. */
  sealed interface Value permits Announced, Voted, WindowsOpened, NoEffect, Done {}

  /** The entry announced a build. */
  record Announced(RolloutManager.AnnouncementResult result) implements Value {}

  /** The entry was a relay's vote. */
  record Voted(RolloutManager.VoteResult result) implements Value {}

  /**
   * The entry opened maintenance windows.
   *
   * @param numbers the numbers of the new windows
   */
  record WindowsOpened(List<Long> numbers) implements Value {
    /** Copies the list. */
    public WindowsOpened {
      numbers = List.copyOf(numbers);
    }
  }

  /**
   * The entry was a command that changed nothing.
   *
   * @param reason the reason in one line, for people
   */
  record NoEffect(String reason) implements Value {}

  /** The entry was applied and has no further result. */
  record Done() implements Value {
    static final Done INSTANCE = new Done();

    /**
     * Converts the reason why a command had no effect to a value; a null reason means that the
     * command had an effect.
     */
    static Value unless(String reason) {
      return reason == null ? INSTANCE : new NoEffect(reason);
    }
  }
}
