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
    void snapshot(State state);

    void entry(Input input);
  }

  private static final int HEADER_BYTES = 4 + 4 + 8;
  private static final int MAX_RECORD_BYTES = 1 << 20;
  private static final String LOG_PREFIX = "inputs-";
  private static final String SNAPSHOT_PREFIX = "snapshot-";

  private final Storage storage;
  private final int snapshotEveryEntries;
  private Storage.AppendFile file;
  private String fileName;
  private long fileLength;
  private boolean tailTorn;
  private long lastIndex;
  private int entriesSinceSnapshot;

  /** {@code snapshotEvery} inputs, which bounds the files and the time to come back. */
  WriteAheadLog(Storage disk, int snapshotEvery) {
    this.storage = disk;
    this.snapshotEveryEntries = snapshotEvery;
  }

  private static String name(String kind, long number) {
    return String.format("%s%016d", kind, number);
  }

  private static long lastIndex(String name) {
    return Long.parseLong(name.substring(name.lastIndexOf('-') + 1));
  }

  /**
   * Reads all there is, and is ready to be added to. {@code say} is told in one line of a tail that
   * was cut off.
   *
   * @throws DamagedException if a record before the last one is damaged or missing
   */
  void replay(Reader reader, Consumer<String> say) throws IOException, DamagedException {
    List<String> names = storage.list();
    for (String one : names) {
      if (one.endsWith(".new")) {
        storage.delete(one); // never came into its place
      }
    }
    String snapshot =
        names.stream()
            .filter(one -> one.startsWith(SNAPSHOT_PREFIX) && !one.endsWith(".new"))
            .reduce((a, b) -> b)
            .orElse(null);
    if (snapshot != null) {
      lastIndex = lastIndex(snapshot);
      reader.snapshot(readSnapshot(snapshot));
    }
    List<String> logs = names.stream().filter(one -> one.startsWith(LOG_PREFIX)).toList();
    for (int i = 0; i < logs.size(); i++) {
      boolean last = i == logs.size() - 1;
      boolean older =
          !last && lastIndex(logs.get(i + 1)) <= lastIndex; // all of it is in the snapshot
      if (!older) {
        replayEntries(logs.get(i), last, reader, say);
      }
    }
    fileName = logs.isEmpty() ? name(LOG_PREFIX, lastIndex) : logs.get(logs.size() - 1);
    file = storage.openForAppend(fileName);
    fileLength = storage.read(fileName).length;
  }

  private State readSnapshot(String name) throws IOException, DamagedException {
    byte[] bytes = storage.read(name);
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    if (bytes.length < 8) {
      throw damagedException(name, "is cut short");
    }
    int sum = buffer.getInt();
    int length = buffer.getInt();
    if (length != buffer.remaining() || sum != checksum(bytes, 8, length)) {
      throw damagedException(name, "has a wrong checksum");
    }
    try {
      return State.parser().parseFrom(bytes, 8, length);
    } catch (InvalidProtocolBufferException e) {
      throw damagedException(name, "can't be read");
    }
  }

  private static DamagedException damagedException(String name, String what) {
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

  private void replayEntries(String name, boolean last, Reader reader, Consumer<String> say)
      throws IOException, DamagedException {
    byte[] bytes = storage.read(name);
    int at = 0;
    while (at < bytes.length) {
      int length = recordLength(bytes, at);
      if (length < 0) {
        // nothing that is whole may follow a torn tail: else it is a hole
        if (!last || validRecordAfter(bytes, at)) {
          throw damagedException(name, "is damaged at byte " + at + " of " + bytes.length);
        }
        say.accept(
            name
                + ": "
                + (bytes.length - at)
                + " bytes of a record that was not finished are cut off; it was never told");
        storage.truncate(name, at);
        return;
      }
      long found = ByteBuffer.wrap(bytes, at + 8, 8).getLong();
      if (found > lastIndex + 1) {
        throw damagedException(name, "goes on with input " + found + " after " + lastIndex);
      }
      if (found == lastIndex + 1) {
        lastIndex = found;
        entriesSinceSnapshot++;
        try {
          reader.entry(Input.parser().parseFrom(bytes, at + HEADER_BYTES, length - 8));
        } catch (InvalidProtocolBufferException e) {
          throw damagedException(name, "has an input at byte " + at + " that can't be read");
        }
      }
      at += 8 + length;
    }
  }

  /** The length after the checksum of a whole record that begins there; -1 where there is none. */
  private static int recordLength(byte[] bytes, int at) {
    if (bytes.length - at < HEADER_BYTES) {
      return -1;
    }
    ByteBuffer head = ByteBuffer.wrap(bytes, at, HEADER_BYTES);
    int length = head.getInt();
    int sum = head.getInt();
    boolean fits = length >= 8 && length <= MAX_RECORD_BYTES && at + 8 + length <= bytes.length;
    return fits && sum == checksum(bytes, at + 8, length) ? length : -1;
  }

  private static boolean validRecordAfter(byte[] bytes, int at) {
    for (int i = at + 1; i + HEADER_BYTES <= bytes.length; i++) {
      if (recordLength(bytes, i) >= 0) {
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
  void append(Input input) throws IOException {
    if (tailTorn) {
      storage.truncate(fileName, fileLength);
      tailTorn = false;
    }
    byte[] body = input.toByteArray();
    ByteArrayOutputStream record = new ByteArrayOutputStream(HEADER_BYTES + body.length);
    ByteBuffer rest = ByteBuffer.allocate(8 + body.length).putLong(lastIndex + 1).put(body);
    record.writeBytes(
        ByteBuffer.allocate(8)
            .putInt(rest.capacity())
            .putInt(checksum(rest.array(), 0, rest.capacity()))
            .array());
    record.writeBytes(rest.array());
    tailTorn = true;
    file.append(record.toByteArray());
    tailTorn = false;
    fileLength += record.size();
    lastIndex++;
    entriesSinceSnapshot++;
  }

  /** All that was added counts from now on. */
  void fsync() throws IOException {
    file.fsync();
  }

  /** Whether it is time for a snapshot. */
  boolean snapshotDue() {
    return entriesSinceSnapshot >= snapshotEveryEntries;
  }

  /**
   * Keeps the state that all inputs so far came to; older files but for one snapshot's worth go.
   */
  void snapshot(State state) throws IOException {
    file.fsync();
    byte[] body = state.toByteArray();
    ByteBuffer all =
        ByteBuffer.allocate(8 + body.length)
            .putInt(checksum(body, 0, body.length))
            .putInt(body.length)
            .put(body);
    storage.replaceAtomically(name(SNAPSHOT_PREFIX, lastIndex), all.array());
    Storage.AppendFile next = storage.openForAppend(name(LOG_PREFIX, lastIndex));
    file.close();
    file = next;
    fileName = name(LOG_PREFIX, lastIndex);
    fileLength = 0;
    entriesSinceSnapshot = 0;
    List<String> snapshots =
        storage.list().stream().filter(one -> one.startsWith(SNAPSHOT_PREFIX)).toList();
    if (snapshots.size() <= 2) {
      return;
    }
    long keep = lastIndex(snapshots.get(snapshots.size() - 2));
    for (String one : storage.list()) {
      if ((one.startsWith(SNAPSHOT_PREFIX) || one.startsWith(LOG_PREFIX))
          && lastIndex(one) < keep) {
        storage.delete(one);
      }
    }
  }

  /** Inputs so far, over all lives. */
  long lastIndex() {
    return lastIndex;
  }

  void close() throws IOException {
    if (file != null) {
      file.close();
    }
  }
}
