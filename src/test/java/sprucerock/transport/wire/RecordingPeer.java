package sprucerock.transport.wire;

import com.google.protobuf.MessageLite;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Net;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.Role;

/** A peer at the other end of a connection, which records the frames that come. */
public final class RecordingPeer implements FrameListener {
  public static final FrameLimits LIMITS = new FrameLimits(1 << 16, 1 << 20, TimeSpan.ofMs(1000));

  public record ReceivedFrame(FrameKind kind, MessageLite head, byte[] body) {}

  public final List<ReceivedFrame> received = new ArrayList<>();
  public final FrameConnection connection;
  public String closeReason;

  public RecordingPeer(Net net, Role role, int number) {
    connection =
        new FrameConnection(
            net,
            Hello.newBuilder()
                .setVersion(FrameConnection.VERSION)
                .setRole(role)
                .setNumber(number)
                .build(),
            LIMITS,
            FrameTap.NONE,
            this);
  }

  /** One that connects. */
  public static RecordingPeer connect(Net net, Role role, int number, int port) {
    RecordingPeer person = new RecordingPeer(net, role, number);
    net.connect(
        new InetSocketAddress("127.0.0.1", port), TimeSpan.ofMs(500), 1 << 20, person.connection);
    return person;
  }

  /** Those that come to a port. */
  public static List<RecordingPeer> listen(Net net, Role role, int number, int port)
      throws java.io.IOException {
    List<RecordingPeer> all = new ArrayList<>();
    net.listen(
        new InetSocketAddress("127.0.0.1", port),
        100,
        1 << 20,
        () -> {
          RecordingPeer person = new RecordingPeer(net, role, number);
          all.add(person);
          return person.connection;
        });
    return all;
  }

  @SuppressWarnings("unchecked")
  public <M> List<M> heads(FrameKind kind) {
    return received.stream().filter(one -> one.kind == kind).map(one -> (M) one.head).toList();
  }

  public void send(FrameKind kind, MessageLite head, byte... body) {
    connection.send(kind, head, body);
  }

  @Override
  public void helloReceived(FrameConnection made, Hello other) {}

  @Override
  public void frameReceived(FrameKind kind, MessageLite head, byte[] body) {
    received.add(new ReceivedFrame(kind, head, body));
  }

  @Override
  public void closed(String why) {
    closeReason = why;
  }
}
