package sprucerock.simulation;

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

/** Reads batches, hands each event to the relay that it is for, and writes one reply a batch. */
public final class SimulationHost {
  private static final int INIT = 10;
  private static final int ANNOUNCE = 20;
  private static final int DESTROY = 100;
  private static final int CENSUS = 140;

  /** One line of a list of units, as the wire has it. */
  record Entry(
      long endpoint,
      int zone,
      int kind,
      int cell,
      int build,
      int health,
      double weight,
      double since) {}

  private final SimulatedRelay.PolicyFactory maker;
  private final DataInputStream in;
  private final OutputStream out;
  private final Map<Long, SimulatedRelay> relays = new HashMap<>();
  private final Entry[][] lists = new Entry[16][];
  private final ReplyWriter replies = new ReplyWriter();

  public SimulationHost(InputStream in, OutputStream out) {
    this(in, out, RoutingPolicy::new);
  }

  SimulationHost(InputStream in, OutputStream out, SimulatedRelay.PolicyFactory maker) {
    this.maker = maker;
    this.in = new DataInputStream(new java.io.BufferedInputStream(in, 1 << 16));
    this.out = out;
  }

  /** Runs to the end of the input. */
  public void run() throws IOException {
    byte[] head = new byte[20];
    for (long seen = 0; ; seen++) {
      int first = in.read();
      if (first < 0) {
        return;
      }
      head[0] = (byte) first;
      fill(head, 1, 19, "batch after " + seen + " whole ones: header is cut short");
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
      play(wrap(body), records, now, where);
      out.write(replies.frame(batch));
      out.flush();
    }
  }

  private void play(ByteBuffer body, int records, Timestamp now, String where) {
    for (int i = 0; i < records; i++) {
      String record = where + ", record " + i;
      if (body.remaining() < 5) {
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
        one(code, fields, now, record);
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

  private void one(int code, ByteBuffer f, Timestamp now, String record) {
    if (code == CENSUS) {
      census(f, record);
      return;
    }
    long id = Integer.toUnsignedLong(f.getInt());
    if (code == INIT) {
      long seed = f.getLong();
      byte[] settings = new byte[count(f, Integer.toUnsignedLong(f.getInt()), 1)];
      f.get(settings);
      SimulatedRelay relay = new SimulatedRelay(id, replies, maker);
      relays.put(id, relay);
      relay.start(now, seed, new String(settings, StandardCharsets.UTF_8));
      return;
    }
    SimulatedRelay relay = relays.get(id);
    if (relay == null) {
      throw new FrameException(record + " (code " + code + "): relay " + id + " never started");
    }
    if (code == DESTROY) {
      relays.remove(id);
    } else if (code == ANNOUNCE) {
      int list = f.getShort() & 0xffff;
      f.getLong();
      int form = f.get() & 0xff;
      if (form > 3) {
        throw new FrameException(record + ": unknown form of list " + form);
      }
      Entry[] entries = list < lists.length ? lists[list] : null;
      if (form != 3 && entries == null) {
        throw new FrameException(record + ": list " + list + " was never sent");
      }
      relay.listed(now, form, entries);
    } else if (!relay.take(code, f, now)) {
      throw new FrameException(record + ": unknown code " + code);
    }
  }

  private void census(ByteBuffer f, String record) {
    int list = f.getShort() & 0xffff;
    if (list >= lists.length) {
      throw new FrameException(record + ": list number " + list + " is out of range");
    }
    Entry[] entries = new Entry[count(f, Integer.toUnsignedLong(f.getInt()), 26)];
    for (int i = 0; i < entries.length; i++) {
      long endpoint = Integer.toUnsignedLong(f.getInt());
      int zone = f.getShort() & 0xffff;
      int kind = f.get() & 0xff;
      int cell = f.getShort() & 0xffff;
      int build = Math.round(f.getFloat());
      int health = f.get() & 0xff;
      entries[i] =
          new Entry(endpoint, zone, kind, cell, build, health, f.getFloat(), f.getDouble());
      if (health > 2) {
        throw new FrameException(record + ": unknown health " + health);
      }
    }
    lists[list] = entries;
  }

  /** A count that its content must bear out, so that a bad one cannot ask for memory. */
  static int count(ByteBuffer f, long count, int size) {
    if (count * size > f.remaining()) {
      throw new BufferUnderflowException();
    }
    return (int) count;
  }

  private void fill(byte[] into, int from, int length, String trouble) throws IOException {
    try {
      in.readFully(into, from, length);
    } catch (EOFException e) {
      throw new FrameException(trouble);
    }
  }

  private static ByteBuffer wrap(byte[] bytes) {
    return ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
  }
}
