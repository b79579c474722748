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
 * Persists a relay's accounts in a file across restarts. Each start is a generation that continues
 * from the values of the last generation. Values that were pending when a process was killed are
 * counted as lost.
 *
 * <p>The next generation's file is written completely next to the old file and replaces it by a
 * single rename, so that after one or several crashes at any moment either the old or the new file
 * is in place. Only the relay's thread may call the methods, except {@link #snapshot}, which is
 * thread-safe.
 */
public final class MetricsFileWriter {
  // Columns of the sheet of metrics files: the state in which a generation found its file.
  private static final int FILE_FRESH = 1;
  private static final int FILE_CARRIED = 2;
  private static final int FILE_SET_ASIDE = 3;
  private static final int FILE_UNREAD = 5;

  // Columns of the sheet of starts: how the run of a start ended.
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
   * Continues from a metrics file, or starts a new one. No fault of the file stops the relay: a
   * damaged file is set aside, and if the file can't be written the metrics stay in memory.
   *
   * @param path the metrics file; null to keep the metrics in memory only
   * @param onFirstPostingOfIteration runs at the first change after each commit
   * @param log receives one line for each fault
   */
  public static MetricsFileWriter open(
      Path path,
      MethodAccounts accounts,
      Runnable onFirstPostingOfIteration,
      Consumer<String> log) {
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
    accounts.persistTo(file, onFirstPostingOfIteration);
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
              + "; metrics stay in memory until the next start");
    }
    return new MetricsFileWriter(accounts, file, persistent);
  }

  /** Carries over the last generation's values; returns its number, 0 if there is none. */
  private static long carryOverLastGeneration(
      Path path, MethodAccounts accounts, Consumer<String> log) {
    long lastGeneration = 0;
    int fileState = FILE_FRESH;
    try {
      if (path != null && Files.exists(path)) {
        MetricsSnapshot last = MetricsSnapshot.read(path);
        carryOverValues(last, accounts);
        lastGeneration = last.generation;
        fileState = FILE_CARRIED;
      }
    } catch (MetricsSnapshot.InvalidFileException e) {
      fileState = FILE_SET_ASIDE;
      log.accept(e.getMessage() + "; " + setAside(path));
    } catch (IOException e) {
      fileState = FILE_UNREAD;
      log.accept(path + ": can't be read: " + e.getMessage() + "; metrics start from zero");
    }
    accounts.postNew(accounts.metricsFiles, 0, fileState);
    return lastGeneration;
  }

  /** Renames a damaged file for later analysis; returns the result as text for the log. */
  private static String setAside(Path file) {
    for (int i = 1; i <= MAX_FILES_SET_ASIDE; i++) {
      Path aside = file.resolveSibling(file.getFileName() + ".aside-" + i);
      if (Files.exists(aside)) {
        continue;
      }
      try {
        Files.move(file, aside);
        return "the file is kept as " + aside.getFileName() + "; metrics start from zero";
      } catch (IOException e) {
        return "the file can't be renamed to "
            + aside.getFileName()
            + ": "
            + e.getMessage()
            + "; metrics start from zero";
      }
    }
    return "the file is not kept because "
        + MAX_FILES_SET_ASIDE
        + " damaged files were set aside before; metrics start from zero";
  }

  /**
   * Writes a file, maps it and puts it in place. The file is written completely before it is
   * mapped, because a later write to a mapped page without disk space would end the process.
   */
  private static ByteBuffer publish(Path file, ByteBuffer bytes) throws IOException {
    Path nextFile = file.resolveSibling(file.getFileName() + ".next");
    ByteBuffer mapped;
    try (FileChannel channel =
        FileChannel.open(
            nextFile,
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
    Files.move(nextFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
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

  /** Returns whether the metrics survive a kill: there is a file, and it could be written. */
  public boolean isPersistent() {
    return persistent;
  }

  /** Returns all metrics as of the last commit. Thread-safe; never blocks the relay. */
  public MetricsSnapshot snapshot() {
    try {
      return MetricsSnapshot.read(file.memory(), "this relay");
    } catch (MetricsSnapshot.InvalidFileException e) {
      throw new IllegalStateException("the relay's own metrics can't be read", e);
    }
  }

  /** Records a clean shutdown and commits all postings. */
  public void close() {
    accounts.postTransfer(accounts.starts, 0, START_RUNNING, START_ENDED);
    accounts.commit();
    file.close();
  }
}
