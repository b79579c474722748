package sprucerock.transport.tls;

/** Who counts handshakes. Each begun one is told once as done or refused. */
public interface Counter {
  Counter NONE =
      new Counter() {
        @Override
        public void begun() {}

        @Override
        public void done(boolean resumed) {}

        @Override
        public void refused(Refusal why) {}
      };

  void begun();

  void done(boolean resumed);

  void refused(Refusal why);
}
