package sprucerock.accounting;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;

/** The latest postings, which are reported for an equation that does not hold. */
final class PostingHistory {
  // Holds the postings of some loop iterations. Must be a power of two.
  private static final int CAPACITY_POSTINGS = 64;
  private static final int MAX_SHOWN_POSTINGS = 5;

  private final int[] fromAccounts = new int[CAPACITY_POSTINGS];
  private final int[] toAccounts = new int[CAPACITY_POSTINGS];
  private long count;

  void record(int fromAccount, int toAccount) {
    int slot = (int) (count & CAPACITY_POSTINGS - 1);
    fromAccounts[slot] = fromAccount;
    toAccounts[slot] = toAccount;
    count++;
  }

  /**
   * Returns the last postings that touched an account from {@code firstAccount} (inclusive) to
   * {@code endAccount} (exclusive).
   */
  List<String> latestTouching(int firstAccount, int endAccount, IntFunction<String> accountName) {
    List<String> found = new ArrayList<>();
    for (long i = Math.max(0, count - CAPACITY_POSTINGS); i < count; i++) {
      int from = fromAccounts[(int) (i & CAPACITY_POSTINGS - 1)];
      int to = toAccounts[(int) (i & CAPACITY_POSTINGS - 1)];
      if (from >= firstAccount && from < endAccount || to >= firstAccount && to < endAccount) {
        found.add(accountName.apply(from) + " to " + accountName.apply(to));
      }
    }
    return found.subList(Math.max(0, found.size() - MAX_SHOWN_POSTINGS), found.size());
  }
}
