package sprucerock.accounting;

/**
 * Stores the accounts beyond the relay's lifetime. Written values take effect together at {@link
 * #commit}.
 */
public interface MetricsStore {
  /** A store that discards everything. */
  MetricsStore NONE =
      new MetricsStore() {
        @Override
        public void nameRow(int row, String label) {}

        @Override
        public void put(int account, long value) {}

        @Override
        public void commit() {}
      };

  /** Sets the name of a row; rows are numbered consecutively across all sheets. */
  void nameRow(int row, String label);

  /** Writes the new value of an account; accounts are numbered consecutively across all sheets. */
  void put(int account, long value);

  /** Makes all values written since the last commit take effect together. */
  void commit();
}
