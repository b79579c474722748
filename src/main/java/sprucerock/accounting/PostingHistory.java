package sprucerock.accounting;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;

/** The latest postings, to be named where an equation doesn't hold. */
final class PostingHistory {
  private static final int CAPACITY = 64; // postings, some turns' worth; a power of two
  private static final int MAX_SHOWN = 5; // postings

  private final int[] from = new int[CAPACITY];
  private final int[] to = new int[CAPACITY];
  private long count;

  void record(int fromAccount, int toAccount) {
    int slot = (int) (count & CAPACITY - 1);
    from[slot] = fromAccount;
    to[slot] = toAccount;
    count++;
  }

  /** The last ones that touched an account from {@code first} to before {@code end}. */
  List<String> latest(int first, int end, IntFunction<String> accountName) {
    List<String> found = new ArrayList<>();
    for (long i = Math.max(0, count - CAPACITY); i < count; i++) {
      int one = from[(int) (i & CAPACITY - 1)];
      int other = to[(int) (i & CAPACITY - 1)];
      if (one >= first && one < end || other >= first && other < end) {
        found.add(accountName.apply(one) + " to " + accountName.apply(other));
      }
    }
    return found.subList(Math.max(0, found.size() - MAX_SHOWN), found.size());
  }
}
