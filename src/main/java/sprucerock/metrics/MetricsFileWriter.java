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
import sprucerock.accounting.MethodMetrics;

/**
 * Keeps a relay's accounts in a file through its lives: each start is a generation that goes on
 * from the last one's figures, with what was pending in a life that was cut off booked as lost with
 * the relay. The next generation's file is written whole beside the old one and takes its place by
 * one renaming, so that a crash at any moment, or two in a row, leaves one or the other.
 */
public final class MetricsFileWriter {
  private static final int FRESH = 1;
  private static final int CARRIED = 2;
  private static final int SET_ASIDE = 3;
  private static final int UNREAD = 5;
  private static final int RUNNING = 3;
  private static final int ENDED = 1;

  private final MethodAccounts accounts;
  private final MappedMetricsFile pages;
  private final boolean isPersistent;

  private MetricsFileWriter(MethodAccounts accounts, MappedMetricsFile pages, boolean kept) {
    this.isPersistent = kept;
    this.accounts = accounts;
    this.pages = pages;
  }

  /**
   * Goes on from a file, or begins one. Nothing that is wrong with it stops the relay: what can't
   * be read is kept aside, a disk that takes nothing leaves the figures in memory; {@code say} is
   * told in one line. Without a file, null, they are in memory from the first.
   */
  public static MetricsFileWriter open(
      Path file, MethodAccounts accounts, Runnable onFirstPostingOfATurn, Consumer<String> say) {
    long generation = 1;
    int found = FRESH;
    try {
      if (file != null && Files.exists(file)) {
        MetricsSnapshot last = MetricsSnapshot.read(file);
        carry(last, accounts);
        generation = last.generation + 1;
        found = CARRIED;
      }
    } catch (MetricsSnapshot.InvalidFileException e) {
      found = SET_ASIDE;
      say.accept(e.getMessage() + "; " + setAside(file));
    } catch (IOException e) {
      found = UNREAD;
      say.accept(file + ": can't be read: " + e.getMessage() + "; figures begin anew");
    }
    accounts.postNew(accounts.files, 0, found);
    accounts.postNew(accounts.starts, 0, RUNNING);
    String layout = accounts.layout();
    ByteBuffer bytes =
        ByteBuffer.allocate(MappedMetricsFile.size(layout, accounts.size(), accounts.rows()));
    MappedMetricsFile pages =
        new MappedMetricsFile(
            new BufferMetricsMemory(bytes), layout, accounts.size(), accounts.rows(), generation);
    accounts.persistTo(pages, onFirstPostingOfATurn);
    boolean kept = false;
    try {
      if (file != null) {
        pages.moveTo(new BufferMetricsMemory(place(file, bytes)));
      }
      kept = file != null;
    } catch (IOException e) {
      say.accept(
          file
              + ": can't be written: "
              + e.getMessage()
              + "; figures stay in memory until the next start");
    }
    return new MetricsFileWriter(accounts, pages, kept);
  }

  private static String setAside(Path file) {
    for (int i = 1; i < 1000; i++) {
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

  /** Written out in full first: a mapped file that finds no room later would end the process. */
  private static ByteBuffer place(Path file, ByteBuffer bytes) throws IOException {
    Path next = file.resolveSibling(file.getFileName() + ".next");
    ByteBuffer mapped;
    try (FileChannel channel =
        FileChannel.open(
            next,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.READ,
            StandardOpenOption.WRITE)) {
      ByteBuffer all = bytes.duplicate().clear();
      while (all.hasRemaining()) {
        channel.write(all);
      }
      channel.force(false);
      mapped = channel.map(FileChannel.MapMode.READ_WRITE, 0, bytes.capacity());
    }
    Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    return mapped;
  }

  private static void carry(MetricsSnapshot last, MethodAccounts accounts)
      throws MetricsSnapshot.InvalidFileException {
    MethodAccounts old = last.accounts();
    for (MethodMetrics from : old.tables()) {
      MethodMetrics to = accounts.tables().get(old.tables().indexOf(from));
      for (int row = 0; row < from.rows(); row++) {
        for (int column = 0; column < from.columns().size(); column++) {
          long value = last.values[from.index(row, column)];
          if (value != 0) {
            accounts.carryOver(to, old.name(from, row), column, value);
          }
        }
      }
    }
  }

  /** Whether they outlive a kill: there is a file, and it could be written. */
  public boolean isPersistent() {
    return isPersistent;
  }

  /** All figures at the end of a turn; from any thread, without holding the relay up. */
  public MetricsSnapshot snapshot() {
    try {
      return MetricsSnapshot.read(pages.memory(), "this relay");
    } catch (MetricsSnapshot.InvalidFileException e) {
      throw new IllegalStateException(e.getMessage());
    }
  }

  /** The relay ends in good order. */
  public void close() {
    accounts.postTransfer(accounts.starts, 0, RUNNING, ENDED);
    accounts.commit();
    pages.close();
  }
}
