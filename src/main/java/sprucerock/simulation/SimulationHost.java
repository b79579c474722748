package sprucerock.simulation;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import sprucerock.policy.RoutingPolicy;
import sprucerock.time.Timestamp;

/**
 * Reads batches of records, hands each to the relay that it is for, and writes one reply frame a
 * batch. It ends at the end of the input, or with a {@link FrameException} at the first malformed
 * record.
 */
public final class SimulationHost {
  private static final int BATCH_HEADER_BYTES = 20;
  private static final int RECORD_HEADER_BYTES = 5;
  private static final int ENTRY_BYTES = 26;
  private static final int INPUT_BUFFER_BYTES = 1 << 16;
  private static final int MAX_LISTS = 16;
  private static final int MAX_HEALTH = 2;
  private static final int MAX_LIST_FORM = 3;

  /** One line of a list of endpoints, as the wire has it. */
  record ListedEndpoint(
      long endpoint,
      int zone,
      int kind,
      int cell,
      int build,
      int health,
      double weight,
      double since) {}

  private final SimulatedRelay.PolicyFactory policyFactory;
  private final DataInputStream in;
  private final OutputStream out;
  private final Map<Long, SimulatedRelay> relays = new HashMap<>();
  private final ListedEndpoint[][] lists = new ListedEndpoint[MAX_LISTS][];
  private final ReplyWriter replies = new ReplyWriter();

  /** A host whose relays have the program's own routing policy. */
  public SimulationHost(InputStream in, OutputStream out) {
    this(in, out, RoutingPolicy::new);
  }

  SimulationHost(InputStream in, OutputStream out, SimulatedRelay.PolicyFactory policies) {
    this.policyFactory = policies;
    this.in = new DataInputStream(new BufferedInputStream(in, INPUT_BUFFER_BYTES));
    this.out = out;
  }

  /**
   * Runs to the end of the input.
   *
   * @throws FrameException if the input breaks the wire format
   * @throws IOException if a stream fails
   */
  public void run() throws IOException {
    byte[] head = new byte[BATCH_HEADER_BYTES];
    for (long seen = 0; ; seen++) {
      int first = in.read();
      if (first < 0) {
        return;
      }
      head[0] = (byte) first;
      readFully(
          head,
          1,
          BATCH_HEADER_BYTES - 1,
          "batch after " + seen + " whole ones: header is cut short");
      ByteBuffer header = wrap(head);
      int batch = header.getInt();
      int length = header.getInt();
      int records = header.getInt();
      Timestamp now = Timestamp.ofMs(header.getDouble());
      String where = "batch " + Integer.toUnsignedString(batch);
      if (length < 0) {
        throw new FrameException(where + ": length is over 2 GiB");
      }
      byte[] body = in.readNBytes(length);
      if (body.length < length) {
        throw new FrameException(where + ": body is cut short");
      }
      process(wrap(body), records, now, where);
      out.write(replies.takeFrame(batch));
      out.flush();
    }
  }

  private void process(ByteBuffer body, int records, Timestamp now, String where) {
    for (int i = 0; i < records; i++) {
      String record = where + ", record " + i;
      if (body.remaining() < RECORD_HEADER_BYTES) {
        throw new FrameException(record + ": head is cut short");
      }
      int code = body.get() & 0xff;
      int length = body.getInt();
      if (length < 0 || length > body.remaining()) {
        throw new FrameException(record + " (code " + code + "): length runs past the batch");
      }
      ByteBuffer fields = body.slice(body.position(), length).order(ByteOrder.LITTLE_ENDIAN);
      body.position(body.position() + length);
      try {
        dispatch(code, fields, now, record);
      } catch (BufferUnderflowException e) {
        throw new FrameException(record + " (code " + code + "): fields are cut short");
      }
      if (fields.hasRemaining()) {
        throw new FrameException(record + " (code " + code + "): fields left over");
      }
    }
    if (body.hasRemaining()) {
      throw new FrameException(where + ": bytes left after the last record");
    }
  }

  private void dispatch(int code, ByteBuffer f, Timestamp now, String record) {
    if (code == WireCodes.DEFINE_LIST) {
      defineList(f, record);
      return;
    }
    long id = Integer.toUnsignedLong(f.getInt());
    if (code == WireCodes.START_RELAY) {
      long seed = f.getLong();
      byte[] settings = new byte[checkedCount(f, Integer.toUnsignedLong(f.getInt()), 1)];
      f.get(settings);
      SimulatedRelay relay = new SimulatedRelay(id, replies, policyFactory);
      relays.put(id, relay);
      relay.start(now, seed, new String(settings, StandardCharsets.UTF_8));
      return;
    }
    SimulatedRelay relay = relays.get(id);
    if (relay == null) {
      throw new FrameException(record + " (code " + code + "): relay " + id + " never started");
    }
    if (code == WireCodes.STOP_RELAY) {
      relays.remove(id);
    } else if (code == WireCodes.ENDPOINT_LIST) {
      int list = f.getShort() & 0xffff;
      f.getLong();
      int form = f.get() & 0xff;
      if (form > MAX_LIST_FORM) {
        throw new FrameException(record + ": unknown form of list " + form);
      }
      ListedEndpoint[] entries = list < lists.length ? lists[list] : null;
      if (form != WireCodes.LIST_FAILED && entries == null) {
        throw new FrameException(record + ": list " + list + " was never sent");
      }
      relay.endpointListReceived(now, form, entries);
    } else if (!relay.handleEvent(code, f, now)) {
      throw new FrameException(record + ": unknown code " + code);
    }
  }

  private void defineList(ByteBuffer f, String record) {
    int list = f.getShort() & 0xffff;
    if (list >= lists.length) {
      throw new FrameException(record + ": list number " + list + " is out of range");
    }
    ListedEndpoint[] entries =
        new ListedEndpoint[checkedCount(f, Integer.toUnsignedLong(f.getInt()), ENTRY_BYTES)];
    for (int i = 0; i < entries.length; i++) {
      long endpoint = Integer.toUnsignedLong(f.getInt());
      int zone = f.getShort() & 0xffff;
      int kind = f.get() & 0xff;
      int cell = f.getShort() & 0xffff;
      int build = Math.round(f.getFloat());
      int health = f.get() & 0xff;
      entries[i] =
          new ListedEndpoint(
              endpoint, zone, kind, cell, build, health, f.getFloat(), f.getDouble());
      if (health > MAX_HEALTH) {
        throw new FrameException(record + ": unknown health " + health);
      }
    }
    lists[list] = entries;
  }

  /**
   * Checks a count against the bytes that are left, so that a bad one can't ask for memory.
   *
   * @throws BufferUnderflowException if the content is too short for it
   */
  static int checkedCount(ByteBuffer f, long count, int size) {
    if (count * size > f.remaining()) {
      throw new BufferUnderflowException();
    }
    return (int) count;
  }

  private void readFully(byte[] into, int from, int length, String message) throws IOException {
    try {
      in.readFully(into, from, length);
    } catch (EOFException e) {
      throw new FrameException(message);
    }
  }

  private static ByteBuffer wrap(byte[] bytes) {
    return ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
  }
}
