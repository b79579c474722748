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
 * The controller's log entries in storage, each with its index and a checksum, and snapshots of the
 * state that the entries led to. A new snapshot deletes the files from before the second newest
 * one. Appended entries are durable once {@link #fsync} has returned.
 *
 * <p>A record consists of the length and the CRC-32C of its remaining bytes (4 bytes each), the
 * entry's index (8 bytes), and the entry. A torn tail is cut off, as its entry was never answered;
 * damage before the tail stops the start.
 */
final class WriteAheadLog {
  /** Thrown if a file can't be replayed; the message names the file, the damage and the remedy. */
  static final class DamagedException extends Exception {
    private static final long serialVersionUID = 1L;

    DamagedException(String message) {
      super(message);
    }
  }

  /** Receives what a replay reads, in order: at most one snapshot, then entries. */
  interface Reader {
    /** Receives the newest snapshot. */
    void snapshot(State state);

    /** Receives the next entry. */
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

  /** The file's length and the last entry in it when it was last synced. */
  private long syncedLength;

  private long syncedIndex;

  /**
   * Creates a log over a storage.
   *
   * @param snapshotEveryEntries the number of entries after which a snapshot is due; it bounds the
   *     files and the time of a replay
   */
  WriteAheadLog(Storage storage, int snapshotEveryEntries) {
    this.storage = storage;
    this.snapshotEveryEntries = snapshotEveryEntries;
  }

  private static String numberedName(String prefix, long number) {
    return String.format("%s%016d", prefix, number);
  }

  private static long indexInName(String name) {
    return Long.parseLong(name.substring(name.lastIndexOf('-') + 1));
  }

  /**
   * Replays all files and opens the log for appending.
   *
   * @param statusLine receives a line if a torn tail is cut off
   * @throws DamagedException if a record before the last one is damaged or missing
   */
  void replay(Reader reader, Consumer<String> statusLine) throws IOException, DamagedException {
    List<String> names = storage.list();
    for (String name : names) {
      if (name.endsWith(".new")) {
        // A crash came before the file was renamed.
        storage.delete(name);
      }
    }
    String snapshot =
        names.stream()
            .filter(name -> name.startsWith(SNAPSHOT_PREFIX) && !name.endsWith(".new"))
            .reduce((older, newer) -> newer)
            .orElse(null);
    if (snapshot != null) {
      lastIndex = indexInName(snapshot);
      reader.snapshot(readSnapshot(snapshot));
    }
    List<String> logs = names.stream().filter(name -> name.startsWith(LOG_PREFIX)).toList();
    for (int i = 0; i < logs.size(); i++) {
      boolean last = i == logs.size() - 1;
      // The snapshot contains all entries of a superseded file.
      boolean superseded = !last && indexInName(logs.get(i + 1)) <= lastIndex;
      if (!superseded) {
        replayEntries(logs.get(i), last, reader, statusLine);
      }
    }
    fileName = logs.isEmpty() ? numberedName(LOG_PREFIX, lastIndex) : logs.get(logs.size() - 1);
    file = storage.openForAppend(fileName);
    fileLength = storage.read(fileName).length;
    noteSynced();
  }

  private State readSnapshot(String name) throws IOException, DamagedException {
    byte[] bytes = storage.read(name);
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    if (bytes.length < 8) {
      throw damagedException(name, "is truncated: its header is incomplete");
    }
    int checksum = buffer.getInt();
    int length = buffer.getInt();
    if (length != buffer.remaining() || checksum != checksum(bytes, 8, length)) {
      throw damagedException(name, "has a wrong length or checksum");
    }
    try {
      return State.parser().parseFrom(bytes, 8, length);
    } catch (InvalidProtocolBufferException e) {
      throw damagedException(name, "is not a valid snapshot message");
    }
  }

  private static DamagedException damagedException(String name, String damage) {
    return new DamagedException(
        name
            + " "
            + damage
            + "; restore the folder from a backup, or from the other controller's folder, and start"
            + " again: "
            + "nothing was changed");
  }

  private static int checksum(byte[] bytes, int from, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, from, length);
    return (int) crc.getValue();
  }

  private void replayEntries(String name, boolean last, Reader reader, Consumer<String> statusLine)
      throws IOException, DamagedException {
    byte[] bytes = storage.read(name);
    int offset = 0;
    while (offset < bytes.length) {
      int length = recordLength(bytes, offset);
      if (length < 0) {
        // No valid record may follow a torn tail: otherwise the file has a hole.
        if (!last || validRecordAfter(bytes, offset)) {
          throw damagedException(name, "is damaged at byte " + offset + " of " + bytes.length);
        }
        statusLine.accept(
            name
                + ": "
                + (bytes.length - offset)
                + " bytes of an unfinished record are cut off; its entry was never answered");
        storage.truncate(name, offset);
        return;
      }
      long index = ByteBuffer.wrap(bytes, offset + 8, 8).getLong();
      if (index > lastIndex + 1) {
        throw damagedException(name, "continues with entry " + index + " after entry " + lastIndex);
      }
      if (index == lastIndex + 1) {
        lastIndex = index;
        entriesSinceSnapshot++;
        try {
          reader.entry(Input.parser().parseFrom(bytes, offset + HEADER_BYTES, length - 8));
        } catch (InvalidProtocolBufferException e) {
          throw damagedException(
              name, "has an entry at byte " + offset + " that is not a valid message");
        }
      }
      offset += 8 + length;
    }
  }

  /** Returns the length field of a valid record that begins at an offset; -1 if there is none. */
  private static int recordLength(byte[] bytes, int offset) {
    if (bytes.length - offset < HEADER_BYTES) {
      return -1;
    }
    ByteBuffer head = ByteBuffer.wrap(bytes, offset, HEADER_BYTES);
    int length = head.getInt();
    int checksum = head.getInt();
    boolean fits = length >= 8 && length <= MAX_RECORD_BYTES && offset + 8 + length <= bytes.length;
    return fits && checksum == checksum(bytes, offset + 8, length) ? length : -1;
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
   * @throws IOException if the storage does not accept the entry; what was written of it is cut off
   *     at once, or before the next entry is appended, see {@link #isTailTorn}
   */
  void append(Input entry) throws IOException {
    cutTornTail();
    byte[] body = entry.toByteArray();
    ByteArrayOutputStream record = new ByteArrayOutputStream(HEADER_BYTES + body.length);
    ByteBuffer indexAndBody = ByteBuffer.allocate(8 + body.length).putLong(lastIndex + 1).put(body);
    record.writeBytes(
        ByteBuffer.allocate(8)
            .putInt(indexAndBody.capacity())
            .putInt(checksum(indexAndBody.array(), 0, indexAndBody.capacity()))
            .array());
    record.writeBytes(indexAndBody.array());
    tailTorn = true;
    try {
      file.append(record.toByteArray());
    } catch (IOException e) {
      tryToCutTornTail(e);
      throw e;
    }
    tailTorn = false;
    fileLength += record.size();
    lastIndex++;
    entriesSinceSnapshot++;
  }

  private void cutTornTail() throws IOException {
    if (tailTorn) {
      storage.truncate(fileName, fileLength);
      tailTorn = false;
    }
  }

  private void tryToCutTornTail(IOException cause) {
    try {
      cutTornTail();
    } catch (IOException e) {
      cause.addSuppressed(e);
    }
  }

  /** Whether the log may end with an entry that was not accepted, or with a part of it. */
  boolean isTailTorn() {
    return tailTorn;
  }

  /** Makes all appended entries durable. */
  void fsync() throws IOException {
    file.fsync();
    noteSynced();
  }

  private void noteSynced() {
    syncedLength = fileLength;
    syncedIndex = lastIndex;
  }

  /**
   * Cuts off all entries that were appended since the last successful {@link #fsync}, so that no
   * replay finds them.
   *
   * @throws IOException if they may still be in the log
   */
  void discardUnsynced() throws IOException {
    storage.truncate(fileName, syncedLength);
    entriesSinceSnapshot -= (int) (lastIndex - syncedIndex);
    fileLength = syncedLength;
    lastIndex = syncedIndex;
    tailTorn = false;
  }

  /** Whether a snapshot is due. */
  boolean snapshotDue() {
    return entriesSinceSnapshot >= snapshotEveryEntries;
  }

  /**
   * Stores a snapshot of the state that all entries so far led to, and deletes the files from
   * before the second newest snapshot.
   */
  void snapshot(State state) throws IOException {
    file.fsync();
    byte[] body = state.toByteArray();
    ByteBuffer snapshot =
        ByteBuffer.allocate(8 + body.length)
            .putInt(checksum(body, 0, body.length))
            .putInt(body.length)
            .put(body);
    storage.replaceAtomically(numberedName(SNAPSHOT_PREFIX, lastIndex), snapshot.array());
    Storage.AppendFile next = storage.openForAppend(numberedName(LOG_PREFIX, lastIndex));
    file.close();
    file = next;
    fileName = numberedName(LOG_PREFIX, lastIndex);
    fileLength = 0;
    noteSynced();
    entriesSinceSnapshot = 0;
    List<String> snapshots =
        storage.list().stream().filter(name -> name.startsWith(SNAPSHOT_PREFIX)).toList();
    if (snapshots.size() <= 2) {
      return;
    }
    long oldestKept = indexInName(snapshots.get(snapshots.size() - 2));
    for (String name : storage.list()) {
      if ((name.startsWith(SNAPSHOT_PREFIX) || name.startsWith(LOG_PREFIX))
          && indexInName(name) < oldestKept) {
        storage.delete(name);
      }
    }
  }

  /** Returns the index of the last entry over all incarnations; 0 before the first. */
  long lastIndex() {
    return lastIndex;
  }

  void close() throws IOException {
    if (file != null) {
      file.close();
    }
  }
}
