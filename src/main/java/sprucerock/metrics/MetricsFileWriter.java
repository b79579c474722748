package sprucerock.metrics;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.function.Consumer;
import sprucerock.accounting.MethodAccounts;
import sprucerock.accounting.MetricsSheet;

/**
 * Keeps a relay's accounts in a file across restarts. Each start is a generation that goes on from
 * the last one's values; what was pending in a process that was killed is booked as lost with it.
 *
 * <p>The next generation's file is written completely beside the old one and takes its place by one
 * renaming, so that a crash at any moment, or two in a row, leaves one or the other. Written by the
 * relay's thread; {@link #snapshot} is for any thread.
 */
public final class MetricsFileWriter {
  /** The numbers of columns in the accounts: how a generation found its file. */
  private static final int FOUND_NONE = 1;

  private static final int FOUND_CARRIED = 2;
  private static final int FOUND_SET_ASIDE = 3;
  private static final int FOUND_UNREADABLE = 5;

  /** The numbers of columns in the accounts: what became of a start. */
  private static final int START_ENDED = 1;

  private static final int START_RUNNING = 3;

  private static final int MAX_FILES_SET_ASIDE = 999;

  private final MethodAccounts accounts;
  private final MappedMetricsFile file;
  private final boolean persistent;

  private MetricsFileWriter(MethodAccounts accounts, MappedMetricsFile file, boolean persistent) {
    this.accounts = accounts;
    this.file = file;
    this.persistent = persistent;
  }

  /**
   * Goes on from a file, or begins one. Nothing that is wrong with it stops the relay: a file that
   * is damaged is set aside, and where the disk takes nothing the metrics stay in memory.
   *
   * @param path null: the metrics are kept in memory only
   * @param onFirstPostingOfTurn runs at the first change after each commit
   * @param log gets one line for each thing that is wrong
   */
  public static MetricsFileWriter open(
      Path path, MethodAccounts accounts, Runnable onFirstPostingOfTurn, Consumer<String> log) {
    long generation = carryOverLastGeneration(path, accounts, log) + 1;
    accounts.postNew(accounts.starts, 0, START_RUNNING);
    String layout = accounts.layout();
    ByteBuffer bytes =
        ByteBuffer.allocate(
            MappedMetricsFile.fileSizeBytes(layout, accounts.size(), accounts.rowCount()));
    MappedMetricsFile file =
        new MappedMetricsFile(
            new BufferMetricsMemory(bytes),
            layout,
            accounts.size(),
            accounts.rowCount(),
            generation);
    accounts.persistTo(file, onFirstPostingOfTurn);
    boolean persistent = false;
    try {
      if (path != null) {
        file.switchMemory(new BufferMetricsMemory(publish(path, bytes)));
        persistent = true;
      }
    } catch (IOException e) {
      log.accept(
          path
              + ": can't be written: "
              + e.getMessage()
              + "; figures stay in memory until the next start");
    }
    return new MetricsFileWriter(accounts, file, persistent);
  }

  /** Takes over the last generation's values; returns its number, 0 where there is none. */
  private static long carryOverLastGeneration(
      Path path, MethodAccounts accounts, Consumer<String> log) {
    long lastGeneration = 0;
    int found = FOUND_NONE;
    try {
      if (path != null && Files.exists(path)) {
        MetricsSnapshot last = MetricsSnapshot.read(path);
        carryOverValues(last, accounts);
        lastGeneration = last.generation;
        found = FOUND_CARRIED;
      }
    } catch (MetricsSnapshot.InvalidFileException e) {
      found = FOUND_SET_ASIDE;
      log.accept(e.getMessage() + "; " + setAside(path));
    } catch (IOException e) {
      found = FOUND_UNREADABLE;
      log.accept(path + ": can't be read: " + e.getMessage() + "; figures begin anew");
    }
    accounts.postNew(accounts.metricsFiles, 0, found);
    return lastGeneration;
  }

  /** Renames a damaged file for later study; returns what became of it, for the log. */
  private static String setAside(Path file) {
    for (int i = 1; i <= MAX_FILES_SET_ASIDE; i++) {
      Path aside = file.resolveSibling(file.getFileName() + ".aside-" + i);
      if (Files.exists(aside)) {
        continue;
      }
      try {
        Files.move(file, aside);
        return "it is kept as " + aside.getFileName() + ", and figures begin anew";
      } catch (IOException e) {
        return "it could not be kept aside (" + e.getMessage() + "), and figures begin anew";
      }
    }
    return "a thousand such files are there already, and figures begin anew";
  }

  /**
   * Writes and maps a file. It is written out in full first: a mapped file that finds no disk space
   * later would end the process.
   */
  private static ByteBuffer publish(Path file, ByteBuffer bytes) throws IOException {
    Path next = file.resolveSibling(file.getFileName() + ".next");
    ByteBuffer mapped;
    try (FileChannel channel =
        FileChannel.open(
            next,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.READ,
            StandardOpenOption.WRITE)) {
      ByteBuffer content = bytes.duplicate().clear();
      while (content.hasRemaining()) {
        channel.write(content);
      }
      channel.force(false);
      mapped = channel.map(FileChannel.MapMode.READ_WRITE, 0, bytes.capacity());
    }
    Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    return mapped;
  }

  private static void carryOverValues(MetricsSnapshot last, MethodAccounts accounts)
      throws MetricsSnapshot.InvalidFileException {
    MethodAccounts lastAccounts = last.accounts();
    for (MetricsSheet from : lastAccounts.sheets()) {
      MetricsSheet to = accounts.sheets().get(lastAccounts.sheets().indexOf(from));
      for (int row = 0; row < from.rowCount(); row++) {
        for (int column = 0; column < from.columns().size(); column++) {
          long value = last.values[from.index(row, column)];
          if (value != 0) {
            accounts.carryOver(to, lastAccounts.name(from, row), column, value);
          }
        }
      }
    }
  }

  /** Whether the metrics outlive a kill: there is a file, and it could be written. */
  public boolean isPersistent() {
    return persistent;
  }

  /** All metrics as last committed; from any thread, without holding the relay up. */
  public MetricsSnapshot snapshot() {
    try {
      return MetricsSnapshot.read(file.memory(), "this relay");
    } catch (MetricsSnapshot.InvalidFileException e) {
      throw new IllegalStateException("the metrics in memory can't be read", e);
    }
  }

  /** Notes that the relay shuts down cleanly, and commits what is posted. */
  public void close() {
    accounts.postTransfer(accounts.starts, 0, START_RUNNING, START_ENDED);
    accounts.commit();
    file.close();
  }
}
