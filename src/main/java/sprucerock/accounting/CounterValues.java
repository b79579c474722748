package sprucerock.accounting;

import java.util.Arrays;

/**
 * The value of each account, and which accounts changed in the current loop iteration. All changes
 * of an iteration reach the store together, at its end.
 */
final class CounterValues {
  private final long[] values;
  private final int[] changedAccounts;
  private final boolean[] isChanged;
  private int changedCount;
  private MetricsStore store = MetricsStore.NONE;
  private Runnable onFirstChange = () -> {};

  CounterValues(int size) {
    values = new long[size];
    changedAccounts = new int[size];
    isChanged = new boolean[size];
  }

  int size() {
    return values.length;
  }

  long get(int index) {
    return values[index];
  }

  /** Returns the live array; callers must not write to it. */
  long[] liveValues() {
    return values;
  }

  void add(int index, long amount) {
    values[index] += amount;
    markChanged(index);
  }

  /**
   * Changes a value but never writes it to the store; for a test that the audit finds the error.
   */
  void corrupt(int index, long by) {
    values[index] += by;
  }

  /** Writes all non-zero values to a store, and from now on each change at {@link #commit}. */
  void persistTo(MetricsStore newStore, Runnable onFirstChangeOfIteration) {
    onFirstChange = onFirstChangeOfIteration;
    store = newStore;
    for (int i = 0; i < values.length; i++) {
      if (values[i] != 0) {
        markChanged(i);
      }
    }
    commit();
  }

  private void markChanged(int index) {
    if (isChanged[index]) {
      return;
    }
    isChanged[index] = true;
    if (changedCount == 0) {
      onFirstChange.run();
    }
    changedAccounts[changedCount++] = index;
  }

  void commit() {
    if (changedCount == 0) {
      return;
    }
    for (int i = 0; i < changedCount; i++) {
      isChanged[changedAccounts[i]] = false;
      store.put(changedAccounts[i], values[changedAccounts[i]]);
    }
    changedCount = 0;
    store.commit();
  }

  @Override
  public String toString() {
    return Arrays.toString(values);
  }
}
