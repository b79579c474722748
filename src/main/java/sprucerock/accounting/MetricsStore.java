package sprucerock.accounting;

/**
 * Where accounts are kept beyond the relay's life. What was put counts from {@link #commit} on, all
 * of it or none.
 */
public interface MetricsStore {
  /** Keeps nothing. */
  MetricsStore NONE =
      new MetricsStore() {
        @Override
        public void nameRow(int row, String label) {}

        @Override
        public void put(int account, long value) {}

        @Override
        public void commit() {}
      };

  /** From now on, a row has this name; rows are counted through all tables. */
  void nameRow(int row, String label);

  /** An account's new value; accounts are counted through all tables. */
  void put(int account, long value);

  /** Makes all that was put since the last commit count at once. */
  void commit();
}
