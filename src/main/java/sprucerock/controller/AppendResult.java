package sprucerock.controller;

import java.util.List;

/** What became of an entry that was given to {@link Engine#append}. */
public sealed interface AppendResult permits AppendResult.Accepted, AppendResult.Rejected {
  /** Why an entry was not taken. */
  enum Reason {
    /** Too many entries wait for the next flush. */
    QUEUE_FULL,
    /** This controller may not be the leader any more. */
    NOT_LEADER,
    /** The storage did not take the entry, or may have lost it. */
    STORAGE_FAILED
  }

  /**
   * The entry is durable and was applied.
   *
   * @param value what applying it came to
   */
  record Accepted(Value value) implements AppendResult {}

  /**
   * The entry was neither kept nor applied.
   *
   * @param text the reason in one line, for people
   */
  record Rejected(Reason reason, String message) implements AppendResult {}

  /** What applying an entry came to. */
  sealed interface Value permits Announced, Voted, WindowsOpened, NoEffect, Done {}

  /** An announcement of a build. */
  record Announced(RolloutManager.AnnouncementResult result) implements Value {}

  /** A relay's vote. */
  record Voted(RolloutManager.VoteResult result) implements Value {}

  /**
   * Maintenance windows were opened.
   *
   * @param numbers of the new windows
   */
  record WindowsOpened(List<Long> numbers) implements Value {
    /** Keeps a copy of the list. */
    public WindowsOpened {
      numbers = List.copyOf(numbers);
    }
  }

  /**
   * A command that changed nothing.
   *
   * @param reason in one line, for people
   */
  record NoEffect(String reason) implements Value {}

  /** There is nothing more to say than that it was applied. */
  record Done() implements Value {
    static final Done INSTANCE = new Done();

    /** The value of a command that says why it had no effect, or null. */
    static Value unless(String refusal) {
      return refusal == null ? INSTANCE : new NoEffect(refusal);
    }
  }
}
