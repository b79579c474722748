package sprucerock.rehearsal.fake;

import com.google.protobuf.MessageLite;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import sprucerock.rehearsal.trace.TraceWriter;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.Net;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameLimits;
import sprucerock.transport.wire.FrameListener;
import sprucerock.transport.wire.v1.Entry;
import sprucerock.transport.wire.v1.Form;
import sprucerock.transport.wire.v1.Health;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.Listing;
import sprucerock.transport.wire.v1.Role;

/**
 * The list of units: learns of a change some time after it happened, and then tells all who watch.
 */
public final class FakeDiscovery {
  private static final byte[] NO_BODY = {};

  private final Net net;
  private final TraceWriter trace;
  private final FrameLimits limits;
  private final TimeSpan notice;
  private final Map<Long, Entry> listed = new TreeMap<>();
  private final Map<Long, Timestamp> startedAt = new TreeMap<>();
  private final Set<Session> watchers = new LinkedHashSet<>();
  private final Set<Session> sessions = new LinkedHashSet<>();
  private TimeSpan late = TimeSpan.ZERO;
  private Timestamp lastKnown = Timestamp.ofMs(0);
  private Net.Listener listener;
  private boolean down;

  public FakeDiscovery(Net net, TraceWriter trace, FrameLimits limits, TimeSpan notice) {
    this.net = net;
    this.trace = trace;
    this.limits = limits;
    this.notice = notice;
  }

  public int start() throws IOException {
    listener =
        net.listen(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            1000,
            limits.maxUnsentBytes(),
            () -> {
              Session session = new Session();
              session.connection =
                  new FrameConnection(
                      net,
                      Hello.newBuilder()
                          .setVersion(FrameConnection.VERSION)
                          .setRole(Role.ROSTER)
                          .setName("roster")
                          .build(),
                      limits,
                      trace,
                      session);
              sessions.add(session);
              return session.connection;
            });
    return listener.address().getPort();
  }

  /** It is further behind by so much. */
  public void late(TimeSpan by) {
    late = by;
  }

  /** Away: all links are cut, and whoever comes is cut again. */
  public void down(boolean on) {
    down = on;
    if (on) {
      for (Session session : Set.copyOf(sessions)) {
        session.connection.cut("the roster is down");
      }
    }
  }

  /** A unit's state changed, now; a null start: its process runs since long ago. */
  public void changed(Entry entry, Timestamp started) {
    Timestamp known = net.now().plus(notice).plus(late).laterOf(lastKnown); // never out of order
    lastKnown = known;
    net.at(
        known,
        () -> {
          if (entry.getHealth() == Health.GONE) {
            listed.remove(entry.getUnit());
          } else {
            listed.put(entry.getUnit(), entry);
          }
          if (started == null) {
            startedAt.remove(entry.getUnit());
          } else {
            startedAt.put(entry.getUnit(), started);
          }
          Listing change =
              Listing.newBuilder().setForm(Form.CHANGES).addEntries(aged(entry)).build();
          for (Session watcher : Set.copyOf(watchers)) {
            watcher.connection.send(FrameKind.LISTING, change, NO_BODY);
          }
        });
  }

  private Entry aged(Entry entry) {
    Timestamp started = startedAt.get(entry.getUnit());
    if (started == null) {
      return entry;
    }
    return entry.toBuilder()
        .setAgeUs(Math.max(1, (long) (net.now().since(started).ms() * 1000)))
        .build();
  }

  private final class Session implements FrameListener {
    private FrameConnection connection;

    @Override
    public void helloReceived(FrameConnection made, Hello other) {
      if (down) {
        made.cut("the roster is down");
      }
    }

    @Override
    public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
      if (kind != FrameKind.WATCH) {
        connection.cut("a roster takes no " + kind);
        return;
      }
      watchers.add(this);
      Listing.Builder whole = Listing.newBuilder().setForm(Form.WHOLE);
      for (Entry entry : listed.values()) {
        whole.addEntries(aged(entry));
      }
      connection.send(FrameKind.LISTING, whole.build(), NO_BODY);
    }

    @Override
    public void closed(String why) {
      watchers.remove(this);
      sessions.remove(this);
    }
  }
}
