package sprucerock.accounting;

/**
 * Where accounts are kept beyond the relay's life. What was put counts from {@link #commit} on, all
 * of it or none.
 */
public interface MetricsStore {
  MetricsStore NONE =
      new MetricsStore() {
        @Override
        public void name(int row, String label) {}

        @Override
        public void put(int account, long value) {}

        @Override
        public void commit() {}
      };

  /** A row, counted through all sheets, has this name from now on. */
  void name(int row, String label);

  void put(int account, long value);

  void commit();
}
