package sprucerock.transport.wire;

import com.google.protobuf.MessageLite;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Net;
import sprucerock.transport.wire.v1.Hello;
import sprucerock.transport.wire.v1.Role;

/** Somebody at a link's other end who writes down what comes. */
public final class Person implements FrameListener {
  public static final Limits LIMITS = new Limits(1 << 16, 1 << 20, TimeSpan.ofMs(1000));

  public record Got(Kind kind, MessageLite head, byte[] body) {}

  public final List<Got> got = new ArrayList<>();
  public final FrameConnection connection;
  public String gone;

  public Person(Net net, Role role, int number) {
    connection =
        new FrameConnection(
            net,
            Hello.newBuilder()
                .setVersion(FrameConnection.VERSION)
                .setRole(role)
                .setNumber(number)
                .build(),
            LIMITS,
            Tap.NONE,
            this);
  }

  /** One that connects. */
  public static Person at(Net net, Role role, int number, int port) {
    Person person = new Person(net, role, number);
    net.connect(
        new InetSocketAddress("127.0.0.1", port), TimeSpan.ofMs(500), 1 << 20, person.connection);
    return person;
  }

  /** Those that come to a port. */
  public static List<Person> listen(Net net, Role role, int number, int port)
      throws java.io.IOException {
    List<Person> all = new ArrayList<>();
    net.listen(
        new InetSocketAddress("127.0.0.1", port),
        100,
        1 << 20,
        () -> {
          Person person = new Person(net, role, number);
          all.add(person);
          return person.connection;
        });
    return all;
  }

  @SuppressWarnings("unchecked")
  public <M> List<M> all(Kind kind) {
    return got.stream().filter(one -> one.kind == kind).map(one -> (M) one.head).toList();
  }

  public void send(Kind kind, MessageLite head, byte... body) {
    connection.send(kind, head, body);
  }

  @Override
  public void greeted(FrameConnection made, Hello other) {}

  @Override
  public void frame(Kind kind, MessageLite head, byte[] body) {
    got.add(new Got(kind, head, body));
  }

  @Override
  public void closed(String why) {
    gone = why;
  }
}
