package sprucerock.lab;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.google.protobuf.MessageLite;
import java.util.Map;
import java.util.TreeMap;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.FrameTap;

/**
 * Messages and bytes by kind on the links to the processes of one role, counted at the hollow end
 * and told as that role sees them: what goes out there comes in here. On one loop's thread.
 */
final class LinkCounts implements FrameTap {
  private static final class Sum {
    private long messages;
    private long bytes;
  }

  private final String role;
  private final Map<String, Sum> sums = new TreeMap<>();
  private long closed;

  LinkCounts(String role) {
    this.role = role;
  }

  @Override
  public void frame(
      FrameConnection connection, boolean out, FrameKind kind, MessageLite head, byte[] body) {
    Sum sum = sums.computeIfAbsent(kind + (out ? " in" : " out"), key -> new Sum());
    sum.messages++;
    sum.bytes += FrameConnection.wireSize(head, body);
  }

  @Override
  public void closed(FrameConnection connection, String why) {
    closed++;
  }

  /** Links that ended, for whatever reason, and such as never came up. */
  long closed() {
    return closed;
  }

  /** Counts from here on. */
  void begin() {
    sums.clear();
    closed = 0;
  }

  void tell(ArrayNode list) {
    sums.forEach(
        (key, sum) -> {
          String[] words = key.split(" ");
          list.addObject()
              .put("role", role)
              .put("kind", words[0])
              .put("direction", words[1])
              .put("messages", sum.messages)
              .put("bytes", sum.bytes);
        });
  }
}
