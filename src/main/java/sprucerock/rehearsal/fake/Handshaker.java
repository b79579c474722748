package sprucerock.rehearsal.fake;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Connection;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.Timers;

/** Stands between a unit's connection and its TLS, and does to handshakes what a bad peer does. */
final class Handshaker implements ConnectionListener {
  enum How {
    SLOW,
    STALLS,
    RESETS
  }

  private final Timers timers;
  private final How how;
  private final TimeSpan by;
  private final ConnectionListener tls;
  private final ByteArrayOutputStream held = new ByteArrayOutputStream();
  private Connection connection;
  private boolean passes;
  private boolean closed;

  Handshaker(Timers timers, How how, TimeSpan by, ConnectionListener tls) {
    this.timers = timers;
    this.how = how;
    this.by = by;
    this.tls = tls;
  }

  @Override
  public void connected(Connection made) {
    connection = made;
    if (how != How.SLOW) {
      return;
    }
    timers.at(
        timers.now().plus(by),
        () -> {
          if (closed) {
            return;
          }
          passes = true;
          tls.connected(connection);
          if (held.size() > 0) {
            tls.received(ByteBuffer.wrap(held.toByteArray()));
          }
        });
  }

  @Override
  public void received(ByteBuffer bytes) {
    if (passes) {
      tls.received(bytes);
      return;
    }
    if (how == How.RESETS) {
      connection.cut("reset on purpose");
    }
    while (bytes.hasRemaining()) {
      held.write(bytes.get()); // what stalls keeps it for nothing
    }
  }

  @Override
  public void closed(String why) {
    closed = true;
    tls.closed(why);
  }
}
