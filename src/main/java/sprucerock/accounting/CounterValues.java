package sprucerock.accounting;

import java.util.Arrays;

/**
 * The value of each account, and which of them changed in the current turn. Changes reach the store
 * together, at the turn's end.
 */
final class CounterValues {
  private final long[] values;
  private final int[] changed;
  private final boolean[] isChanged;
  private int changedCount;
  private MetricsStore store = MetricsStore.NONE;
  private Runnable onFirstChange = () -> {};

  CounterValues(int size) {
    values = new long[size];
    changed = new int[size];
    isChanged = new boolean[size];
  }

  int size() {
    return values.length;
  }

  long get(int index) {
    return values[index];
  }

  /** The live array, for reading. */
  long[] all() {
    return values;
  }

  void add(int index, long amount) {
    values[index] += amount;
    markChanged(index);
  }

  /** Changes a value past the store, so that a test can show that the audit finds it. */
  void corrupt(int index, long by) {
    values[index] += by;
  }

  /** Writes all non-zero values to the store, and from now on what changes. */
  void persistTo(MetricsStore newStore, Runnable onFirstChangeOfTurn) {
    onFirstChange = onFirstChangeOfTurn;
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
    changed[changedCount++] = index;
  }

  void commit() {
    if (changedCount == 0) {
      return;
    }
    for (int i = 0; i < changedCount; i++) {
      isChanged[changed[i]] = false;
      store.put(changed[i], values[changed[i]]);
    }
    changedCount = 0;
    store.commit();
  }

  @Override
  public String toString() {
    return Arrays.toString(values);
  }
}
