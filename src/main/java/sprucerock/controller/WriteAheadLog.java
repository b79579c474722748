package sprucerock.controller;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.Consumer;
import java.util.zip.CRC32C;
import sprucerock.controller.v1.Input;
import sprucerock.controller.v1.State;

/**
 * The controller's inputs on disk, one after another, each with its number and a checksum; now and
 * then a snapshot of all that they came to, after which the older ones go. What is added counts
 * once {@link #force} has returned. A record is: length, checksum of what follows, number, the
 * input. A torn tail is cut off, as it was never told; damage before the tail stops the start.
 */
final class WriteAheadLog {
  /** The files can't be gone on from; the message says which, why, and how to go on. */
  static final class DamagedException extends Exception {
    private static final long serialVersionUID = 1L;

    DamagedException(String message) {
      super(message);
    }
  }

  /** What a start finds, in order: a state, perhaps none, then inputs. */
  interface Reader {
    void state(State state);

    void input(Input input);
  }

  private static final int HEAD = 4 + 4 + 8;
  private static final int MOST_RECORD = 1 << 20;
  private static final String LOG = "inputs-";
  private static final String SNAPSHOT = "snapshot-";

  private final Storage disk;
  private final int snapshotEvery;
  private Storage.Log log;
  private String logName;
  private long length;
  private boolean torn;
  private long number;
  private int sinceSnapshot;

  /** {@code snapshotEvery} inputs, which bounds the files and the time to come back. */
  WriteAheadLog(Storage disk, int snapshotEvery) {
    this.disk = disk;
    this.snapshotEvery = snapshotEvery;
  }

  private static String name(String kind, long number) {
    return String.format("%s%016d", kind, number);
  }

  private static long number(String name) {
    return Long.parseLong(name.substring(name.lastIndexOf('-') + 1));
  }

  /**
   * Reads all there is, and is ready to be added to. {@code say} is told in one line of a tail that
   * was cut off.
   *
   * @throws DamagedException if a record before the last one is damaged or missing
   */
  void open(Reader reader, Consumer<String> say) throws IOException, DamagedException {
    List<String> names = disk.list();
    for (String one : names) {
      if (one.endsWith(".new")) {
        disk.delete(one); // never came into its place
      }
    }
    String snapshot =
        names.stream()
            .filter(one -> one.startsWith(SNAPSHOT) && !one.endsWith(".new"))
            .reduce((a, b) -> b)
            .orElse(null);
    if (snapshot != null) {
      number = number(snapshot);
      reader.state(state(snapshot));
    }
    List<String> logs = names.stream().filter(one -> one.startsWith(LOG)).toList();
    for (int i = 0; i < logs.size(); i++) {
      boolean last = i == logs.size() - 1;
      boolean older = !last && number(logs.get(i + 1)) <= number; // all of it is in the snapshot
      if (!older) {
        inputs(logs.get(i), last, reader, say);
      }
    }
    logName = logs.isEmpty() ? name(LOG, number) : logs.get(logs.size() - 1);
    log = disk.open(logName);
    length = disk.read(logName).length;
  }

  private State state(String name) throws IOException, DamagedException {
    byte[] bytes = disk.read(name);
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    if (bytes.length < 8) {
      throw damaged(name, "is cut short");
    }
    int sum = buffer.getInt();
    int length = buffer.getInt();
    if (length != buffer.remaining() || sum != checksum(bytes, 8, length)) {
      throw damaged(name, "has a wrong checksum");
    }
    try {
      return State.parser().parseFrom(bytes, 8, length);
    } catch (InvalidProtocolBufferException e) {
      throw damaged(name, "can't be read");
    }
  }

  private static DamagedException damaged(String name, String what) {
    return new DamagedException(
        name
            + " "
            + what
            + "; restore the folder from a copy, or from the other controller's, and start again: "
            + "nothing was changed");
  }

  private static int checksum(byte[] bytes, int from, int length) {
    CRC32C sum = new CRC32C();
    sum.update(bytes, from, length);
    return (int) sum.getValue();
  }

  private void inputs(String name, boolean last, Reader reader, Consumer<String> say)
      throws IOException, DamagedException {
    byte[] bytes = disk.read(name);
    int at = 0;
    while (at < bytes.length) {
      int length = whole(bytes, at);
      if (length < 0) {
        // nothing that is whole may follow a torn tail: else it is a hole
        if (!last || followed(bytes, at)) {
          throw damaged(name, "is damaged at byte " + at + " of " + bytes.length);
        }
        say.accept(
            name
                + ": "
                + (bytes.length - at)
                + " bytes of a record that was not finished are cut off; it was never told");
        disk.cut(name, at);
        return;
      }
      long found = ByteBuffer.wrap(bytes, at + 8, 8).getLong();
      if (found > number + 1) {
        throw damaged(name, "goes on with input " + found + " after " + number);
      }
      if (found == number + 1) {
        number = found;
        sinceSnapshot++;
        try {
          reader.input(Input.parser().parseFrom(bytes, at + HEAD, length - 8));
        } catch (InvalidProtocolBufferException e) {
          throw damaged(name, "has an input at byte " + at + " that can't be read");
        }
      }
      at += 8 + length;
    }
  }

  /** The length after the checksum of a whole record that begins there; -1 where there is none. */
  private static int whole(byte[] bytes, int at) {
    if (bytes.length - at < HEAD) {
      return -1;
    }
    ByteBuffer head = ByteBuffer.wrap(bytes, at, HEAD);
    int length = head.getInt();
    int sum = head.getInt();
    boolean fits = length >= 8 && length <= MOST_RECORD && at + 8 + length <= bytes.length;
    return fits && sum == checksum(bytes, at + 8, length) ? length : -1;
  }

  private static boolean followed(byte[] bytes, int at) {
    for (int i = at + 1; i + HEAD <= bytes.length; i++) {
      if (whole(bytes, i) >= 0) {
        return true;
      }
    }
    return false;
  }

  /**
   * Adds an input, which counts once it is forced.
   *
   * @throws IOException if the disk takes it not; it can be tried again, and nothing of it stays
   */
  void add(Input input) throws IOException {
    if (torn) {
      disk.cut(logName, length);
      torn = false;
    }
    byte[] body = input.toByteArray();
    ByteArrayOutputStream record = new ByteArrayOutputStream(HEAD + body.length);
    ByteBuffer rest = ByteBuffer.allocate(8 + body.length).putLong(number + 1).put(body);
    record.writeBytes(
        ByteBuffer.allocate(8)
            .putInt(rest.capacity())
            .putInt(checksum(rest.array(), 0, rest.capacity()))
            .array());
    record.writeBytes(rest.array());
    torn = true;
    log.add(record.toByteArray());
    torn = false;
    length += record.size();
    number++;
    sinceSnapshot++;
  }

  /** All that was added counts from now on. */
  void force() throws IOException {
    log.force();
  }

  /** Whether it is time for a snapshot. */
  boolean full() {
    return sinceSnapshot >= snapshotEvery;
  }

  /**
   * Keeps the state that all inputs so far came to; older files but for one snapshot's worth go.
   */
  void snapshot(State state) throws IOException {
    log.force();
    byte[] body = state.toByteArray();
    ByteBuffer all =
        ByteBuffer.allocate(8 + body.length)
            .putInt(checksum(body, 0, body.length))
            .putInt(body.length)
            .put(body);
    disk.put(name(SNAPSHOT, number), all.array());
    Storage.Log next = disk.open(name(LOG, number));
    log.close();
    log = next;
    logName = name(LOG, number);
    length = 0;
    sinceSnapshot = 0;
    List<String> snapshots = disk.list().stream().filter(one -> one.startsWith(SNAPSHOT)).toList();
    if (snapshots.size() <= 2) {
      return;
    }
    long keep = number(snapshots.get(snapshots.size() - 2));
    for (String one : disk.list()) {
      if ((one.startsWith(SNAPSHOT) || one.startsWith(LOG)) && number(one) < keep) {
        disk.delete(one);
      }
    }
  }

  /** Inputs so far, over all lives. */
  long number() {
    return number;
  }

  void close() throws IOException {
    if (log != null) {
      log.close();
    }
  }
}
