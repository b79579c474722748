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
 * Reads batches of records, passes each record to its relay and writes one reply frame per batch.
 * The host runs until the end of the input, or until the first malformed record, for which it
 * throws a {@link FrameException}.
 */
public final class SimulationHost {
  private static final int BATCH_HEADER_BYTES = 20;
  private static final int RECORD_HEADER_BYTES = 5;
  private static final int ENTRY_BYTES = 26;
  private static final int INPUT_BUFFER_BYTES = 1 << 16;
  private static final int MAX_LISTS = 16;
  private static final int MAX_HEALTH = 2;
  private static final int MAX_LIST_FORM = 3;

  /**
   * One entry of an endpoint list on the wire.
   *
   * @param startedMs when the endpoint started, in milliseconds; 0 if it started long ago
   */
  record ListedEndpoint(
      long endpoint,
      int zone,
      int kind,
      int cell,
      int build,
      int health,
      double weight,
      double startedMs) {}

  private final SimulatedRelay.PolicyFactory policyFactory;
  private final DataInputStream in;
  private final OutputStream out;
  private final Map<Long, SimulatedRelay> relays = new HashMap<>();
  private final ListedEndpoint[][] lists = new ListedEndpoint[MAX_LISTS][];
  private final ReplyWriter replies = new ReplyWriter();

  /** Creates a host whose relays run {@link RoutingPolicy}. */
  public SimulationHost(InputStream in, OutputStream out) {
    this(in, out, RoutingPolicy::new);
  }

  SimulationHost(InputStream in, OutputStream out, SimulatedRelay.PolicyFactory policyFactory) {
    this.policyFactory = policyFactory;
    this.in = new DataInputStream(new BufferedInputStream(in, INPUT_BUFFER_BYTES));
    this.out = out;
  }

  /**
   * Runs to the end of the input.
   *
   * @throws FrameException if the input violates the wire format
   * @throws IOException if a stream fails
   */
  public void run() throws IOException {
    byte[] headerBytes = new byte[BATCH_HEADER_BYTES];
    for (long batchesRead = 0; ; batchesRead++) {
      int first = in.read();
      if (first < 0) {
        return;
      }
      headerBytes[0] = (byte) first;
      readFully(
          headerBytes,
          1,
          BATCH_HEADER_BYTES - 1,
          "batch after " + batchesRead + " whole ones: header is cut short");
      ByteBuffer header = wrap(headerBytes);
      int batch = header.getInt();
      int length = header.getInt();
      int records = header.getInt();
      Timestamp now = Timestamp.ofMs(header.getDouble());
      String batchName = "batch " + Integer.toUnsignedString(batch);
      if (length < 0) {
        throw new FrameException(batchName + ": length is over 2 GiB");
      }
      byte[] body = in.readNBytes(length);
      if (body.length < length) {
        throw new FrameException(batchName + ": body is cut short");
      }
      process(wrap(body), records, now, batchName);
      out.write(replies.takeFrame(batch));
      out.flush();
    }
  }

  private void process(ByteBuffer body, int records, Timestamp now, String batchName) {
    for (int i = 0; i < records; i++) {
      String recordName = batchName + ", record " + i;
      if (body.remaining() < RECORD_HEADER_BYTES) {
        throw new FrameException(recordName + ": head is cut short");
      }
      int code = body.get() & 0xff;
      int length = body.getInt();
      if (length < 0 || length > body.remaining()) {
        throw new FrameException(recordName + " (code " + code + "): length runs past the batch");
      }
      ByteBuffer fields = body.slice(body.position(), length).order(ByteOrder.LITTLE_ENDIAN);
      body.position(body.position() + length);
      try {
        dispatch(code, fields, now, recordName);
      } catch (BufferUnderflowException e) {
        throw new FrameException(recordName + " (code " + code + "): fields are cut short");
      }
      if (fields.hasRemaining()) {
        throw new FrameException(recordName + " (code " + code + "): fields left over");
      }
    }
    if (body.hasRemaining()) {
      throw new FrameException(batchName + ": bytes left after the last record");
    }
  }

  private void dispatch(int code, ByteBuffer fields, Timestamp now, String recordName) {
    if (code == WireCodes.DEFINE_LIST) {
      defineList(fields, recordName);
      return;
    }
    long id = Integer.toUnsignedLong(fields.getInt());
    if (code == WireCodes.START_RELAY) {
      long seed = fields.getLong();
      byte[] settings = new byte[checkedCount(fields, Integer.toUnsignedLong(fields.getInt()), 1)];
      fields.get(settings);
      SimulatedRelay relay = new SimulatedRelay(id, replies, policyFactory);
      relays.put(id, relay);
      relay.start(now, seed, new String(settings, StandardCharsets.UTF_8));
      return;
    }
    SimulatedRelay relay = relays.get(id);
    if (relay == null) {
      throw new FrameException(recordName + " (code " + code + "): relay " + id + " never started");
    }
    if (code == WireCodes.STOP_RELAY) {
      relays.remove(id);
    } else if (code == WireCodes.ENDPOINT_LIST) {
      int listNumber = fields.getShort() & 0xffff;
      fields.getLong();
      int form = fields.get() & 0xff;
      if (form > MAX_LIST_FORM) {
        throw new FrameException(recordName + ": unknown form of list " + form);
      }
      ListedEndpoint[] entries = listNumber < lists.length ? lists[listNumber] : null;
      if (form != WireCodes.LIST_FAILED && entries == null) {
        throw new FrameException(recordName + ": list " + listNumber + " was never sent");
      }
      relay.endpointListReceived(now, form, entries);
    } else if (!relay.handleEvent(code, fields, now)) {
      throw new FrameException(recordName + ": unknown code " + code);
    }
  }

  private void defineList(ByteBuffer fields, String recordName) {
    int listNumber = fields.getShort() & 0xffff;
    if (listNumber >= lists.length) {
      throw new FrameException(recordName + ": list number " + listNumber + " is out of range");
    }
    int entryCount = checkedCount(fields, Integer.toUnsignedLong(fields.getInt()), ENTRY_BYTES);
    ListedEndpoint[] entries = new ListedEndpoint[entryCount];
    for (int i = 0; i < entries.length; i++) {
      long endpoint = Integer.toUnsignedLong(fields.getInt());
      int zone = fields.getShort() & 0xffff;
      int kind = fields.get() & 0xff;
      int cell = fields.getShort() & 0xffff;
      int build = Math.round(fields.getFloat());
      int health = fields.get() & 0xff;
      entries[i] =
          new ListedEndpoint(
              endpoint, zone, kind, cell, build, health, fields.getFloat(), fields.getDouble());
      if (health > MAX_HEALTH) {
        throw new FrameException(recordName + ": unknown health " + health);
      }
    }
    lists[listNumber] = entries;
  }

  /**
   * Checks a count against the remaining bytes, so that an invalid count cannot allocate memory.
   *
   * @throws BufferUnderflowException if fewer bytes remain than the count needs
   */
  static int checkedCount(ByteBuffer fields, long count, int size) {
    if (count * size > fields.remaining()) {
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
