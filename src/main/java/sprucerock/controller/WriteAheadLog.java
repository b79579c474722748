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
 * The controller's log entries in storage, each with its index and a checksum; now and then a
 * snapshot of the state that they led to, after which older files are deleted. What is appended is
 * durable once {@link #fsync} has returned. A record is: length and CRC-32C of what follows (4
 * bytes each), index (8 bytes), the entry. A torn tail is cut off, as it was never answered; damage
 * before the tail stops the start.
 */
final class WriteAheadLog {
  /** The files can't be replayed; the message says which, why, and what to do. */
  static final class DamagedException extends Exception {
    private static final long serialVersionUID = 1L;

    DamagedException(String message) {
      super(message);
    }
  }

  /** What a replay finds, in order: a snapshot, perhaps none, then entries. */
  interface Reader {
    /** The newest snapshot. */
    void snapshot(State state);

    /** The next entry after it. */
    void entry(Input entry);
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

  /** A snapshot is due each so many entries, which bounds the files and the time of a replay. */
  WriteAheadLog(Storage storage, int snapshotEvery) {
    this.storage = storage;
    this.snapshotEveryEntries = snapshotEvery;
  }

  private static String numberedName(String kind, long number) {
    return String.format("%s%016d", kind, number);
  }

  private static long indexInName(String name) {
    return Long.parseLong(name.substring(name.lastIndexOf('-') + 1));
  }

  /**
   * Reads all there is, and is ready for appending. {@code statusLine} is given a line on a tail
   * that was cut off.
   *
   * @throws DamagedException if a record before the last one is damaged or missing
   */
  void replay(Reader reader, Consumer<String> statusLine) throws IOException, DamagedException {
    List<String> names = storage.list();
    for (String name : names) {
      if (name.endsWith(".new")) {
        storage.delete(name); // a crash came before its rename
      }
    }
    String snapshot =
        names.stream()
            .filter(one -> one.startsWith(SNAPSHOT_PREFIX) && !one.endsWith(".new"))
            .reduce((a, b) -> b)
            .orElse(null);
    if (snapshot != null) {
      lastIndex = indexInName(snapshot);
      reader.snapshot(readSnapshot(snapshot));
    }
    List<String> logs = names.stream().filter(one -> one.startsWith(LOG_PREFIX)).toList();
    for (int i = 0; i < logs.size(); i++) {
      boolean last = i == logs.size() - 1;
      boolean superseded =
          !last && indexInName(logs.get(i + 1)) <= lastIndex; // all of it is in the snapshot
      if (!superseded) {
        replayEntries(logs.get(i), last, reader, statusLine);
      }
    }
    fileName = logs.isEmpty() ? numberedName(LOG_PREFIX, lastIndex) : logs.get(logs.size() - 1);
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

  private void replayEntries(String name, boolean last, Reader reader, Consumer<String> statusLine)
      throws IOException, DamagedException {
    byte[] bytes = storage.read(name);
    int offset = 0;
    while (offset < bytes.length) {
      int length = recordLength(bytes, offset);
      if (length < 0) {
        // nothing that is whole may follow a torn tail: else it is a hole
        if (!last || validRecordAfter(bytes, offset)) {
          throw damagedException(name, "is damaged at byte " + offset + " of " + bytes.length);
        }
        statusLine.accept(
            name
                + ": "
                + (bytes.length - offset)
                + " bytes of a record that was not finished are cut off; it was never told");
        storage.truncate(name, offset);
        return;
      }
      long found = ByteBuffer.wrap(bytes, offset + 8, 8).getLong();
      if (found > lastIndex + 1) {
        throw damagedException(name, "goes on with input " + found + " after " + lastIndex);
      }
      if (found == lastIndex + 1) {
        lastIndex = found;
        entriesSinceSnapshot++;
        try {
          reader.entry(Input.parser().parseFrom(bytes, offset + HEADER_BYTES, length - 8));
        } catch (InvalidProtocolBufferException e) {
          throw damagedException(name, "has an input at byte " + offset + " that can't be read");
        }
      }
      offset += 8 + length;
    }
  }

  /** The length after the checksum of a valid record that begins there; -1 where there is none. */
  private static int recordLength(byte[] bytes, int offset) {
    if (bytes.length - offset < HEADER_BYTES) {
      return -1;
    }
    ByteBuffer head = ByteBuffer.wrap(bytes, offset, HEADER_BYTES);
    int length = head.getInt();
    int sum = head.getInt();
    boolean fits = length >= 8 && length <= MAX_RECORD_BYTES && offset + 8 + length <= bytes.length;
    return fits && sum == checksum(bytes, offset + 8, length) ? length : -1;
  }

  private static boolean validRecordAfter(byte[] bytes, int offset) {
    for (int i = offset + 1; i + HEADER_BYTES <= bytes.length; i++) {
      if (recordLength(bytes, i) >= 0) {
        return true;
      }
    }
    return false;
  }

  /**
   * Appends an entry, which is durable after the next {@link #fsync}.
   *
   * @throws IOException if the storage does not take it; it can be tried again, and nothing stays
   */
  void append(Input entry) throws IOException {
    if (tailTorn) {
      storage.truncate(fileName, fileLength);
      tailTorn = false;
    }
    byte[] body = entry.toByteArray();
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

  /** All that was appended is durable from now on. */
  void fsync() throws IOException {
    file.fsync();
  }

  /** Whether it is time for a snapshot. */
  boolean snapshotDue() {
    return entriesSinceSnapshot >= snapshotEveryEntries;
  }

  /**
   * Stores the state that all entries so far led to, and deletes the files before the last snapshot
   * but one.
   */
  void snapshot(State state) throws IOException {
    file.fsync();
    byte[] body = state.toByteArray();
    ByteBuffer all =
        ByteBuffer.allocate(8 + body.length)
            .putInt(checksum(body, 0, body.length))
            .putInt(body.length)
            .put(body);
    storage.replaceAtomically(numberedName(SNAPSHOT_PREFIX, lastIndex), all.array());
    Storage.AppendFile next = storage.openForAppend(numberedName(LOG_PREFIX, lastIndex));
    file.close();
    file = next;
    fileName = numberedName(LOG_PREFIX, lastIndex);
    fileLength = 0;
    entriesSinceSnapshot = 0;
    List<String> snapshots =
        storage.list().stream().filter(one -> one.startsWith(SNAPSHOT_PREFIX)).toList();
    if (snapshots.size() <= 2) {
      return;
    }
    long keep = indexInName(snapshots.get(snapshots.size() - 2));
    for (String name : storage.list()) {
      if ((name.startsWith(SNAPSHOT_PREFIX) || name.startsWith(LOG_PREFIX))
          && indexInName(name) < keep) {
        storage.delete(name);
      }
    }
  }

  /** The index of the last entry, over all incarnations; 0 before the first. */
  long lastIndex() {
    return lastIndex;
  }

  void close() throws IOException {
    if (file != null) {
      file.close();
    }
  }
}
