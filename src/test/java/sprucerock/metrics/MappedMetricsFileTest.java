package sprucerock.metrics;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;
import sprucerock.accounting.MethodAccounts;
import sprucerock.accounting.MetricsSheet;
import sprucerock.time.TimeSpan;

/** Tests metrics files with kills at every write, damaged content, and restarts. */
public class MappedMetricsFileTest {
  private static final List<String> METHODS = List.of("read", "pay");
  private static final MethodAccounts.Capacity CAPACITY = new MethodAccounts.Capacity(2, 3, 2);

  /**
   * The memory of a process that is killed after a number of complete writes. The first {@code
   * tornBytes} bytes of the next write still reach the memory.
   */
  private static final class KilledMemory implements MetricsMemory {
    private static final class Killed extends RuntimeException {
      private static final long serialVersionUID = 1L;
    }

    private final ByteBuffer bytes;
    private final BufferMetricsMemory memory;
    private long writesLeft;
    private final int tornBytes;

    KilledMemory(int size, long completeWrites, int tornBytes) {
      bytes = ByteBuffer.allocate(size);
      memory = new BufferMetricsMemory(bytes);
      writesLeft = completeWrites;
      this.tornBytes = tornBytes;
    }

    @Override
    public long get(int offset) {
      return memory.get(offset);
    }

    @Override
    public void get(int offset, long[] into, int from, int count) {
      memory.get(offset, into, from, count);
    }

    @Override
    public void put(int offset, long value) {
      if (writesLeft-- > 0) {
        memory.put(offset, value);
        return;
      }
      for (int i = 0; i < tornBytes; i++) {
        bytes.put(offset + i, (byte) (value >>> 8 * i));
      }
      throw new Killed();
    }

    @Override
    public void putOrdered(int offset, long value) {
      put(offset, value);
    }

    @Override
    public int sizeBytes() {
      return bytes.capacity();
    }
  }

  private static void postSome(MethodAccounts accounts, SplittableRandom random) {
    for (int i = random.nextInt(4); i >= 0; i--) {
      int method = random.nextInt(2);
      int build = accounts.row(accounts.builds, "" + random.nextInt(4));
      int endpoint = accounts.row(accounts.endpoints, "u" + random.nextInt(5));
      accounts.attemptSent(method, build, endpoint, false);
      accounts.attemptWritten();
      if (random.nextBoolean()) {
        accounts.attemptEnded(
            method, build, endpoint, false, true, 1, TimeSpan.ofMs(random.nextDouble(20)));
      }
    }
  }

  private static MappedMetricsFile file(MetricsMemory memory, MethodAccounts accounts) {
    return new MappedMetricsFile(
        memory, accounts.layout(), accounts.size(), accounts.rowCount(), 1);
  }

  private static int fileSizeBytes() {
    MethodAccounts accounts = new MethodAccounts(METHODS, CAPACITY);
    return MappedMetricsFile.fileSizeBytes(accounts.layout(), accounts.size(), accounts.rowCount());
  }

  /** Commits until the process is killed; adds the values of each commit to {@code states}. */
  private static void commitUntilKilled(KilledMemory memory, List<long[]> states) {
    MethodAccounts accounts = new MethodAccounts(METHODS, CAPACITY);
    SplittableRandom random = new SplittableRandom(4);
    MappedMetricsFile file = file(memory, accounts);
    accounts.persistTo(file, () -> {});
    for (int i = 0; i < 120; i++) {
      postSome(accounts, random);
      long[] values = new long[accounts.size()];
      for (MetricsSheet sheet : accounts.sheets()) {
        for (int row = 0; row < sheet.rowCount(); row++) {
          for (int column = 0; column < sheet.columns().size(); column++) {
            values[sheet.index(row, column)] = accounts.value(sheet, row, column);
          }
        }
      }
      states.add(values);
      accounts.commit();
    }
  }

  @Test
  public void killAtAnyWriteLeavesTheValuesOfACommit() throws Exception {
    int kills = 0;
    int checked = 0;
    for (int tornBytes = 0; tornBytes < 8; tornBytes += tornBytes == 0 ? 1 : 3) {
      for (long writes = 0; ; writes++) {
        KilledMemory memory = new KilledMemory(fileSizeBytes(), writes, tornBytes);
        List<long[]> states = new ArrayList<>();
        boolean killed = false;
        try {
          commitUntilKilled(memory, states);
        } catch (KilledMemory.Killed e) {
          killed = true;
        }
        if (states.size() > 1) {
          // A relay puts a file in place only after its first commit, so kills before that don't
          // count.
          MetricsSnapshot snapshot = MetricsSnapshot.read(memory, "f");
          long[] last = states.get(states.size() - 1);
          long[] secondLast = states.get(states.size() - 2);
          assertTrue(
              Arrays.equals(snapshot.values, last) || Arrays.equals(snapshot.values, secondLast),
              "killed at write " + writes + ", torn at " + tornBytes);
          assertEquals(snapshot.accounts().check(snapshot.values), List.of());
          checked++;
        }
        if (!killed) {
          break;
        }
        kills++;
      }
    }
    assertTrue(kills > 5000 && checked > 4000, kills + " kills, " + checked + " of them checked");
  }

  private static Path folder() throws Exception {
    return Files.createTempDirectory("figures");
  }

  private static MethodAccounts runRelay(
      Path file, List<String> logged, boolean shutsDown, int commits) {
    MethodAccounts accounts = new MethodAccounts(METHODS, CAPACITY);
    MetricsFileWriter writer = MetricsFileWriter.open(file, accounts, () -> {}, logged::add);
    SplittableRandom random = new SplittableRandom(commits);
    for (int i = 0; i < commits; i++) {
      postSome(accounts, random);
      accounts.commit();
    }
    if (shutsDown) {
      writer.close();
    }
    return accounts;
  }

  @Test
  public void nextGenerationCarriesValuesAndCountsPendingAsLost() throws Exception {
    Path file = folder().resolve("r.figures");
    List<String> logged = new ArrayList<>();
    MethodAccounts first = runRelay(file, logged, false, 50);
    long sent = first.sum(first.attempts, 0);
    long out = first.sum(first.attempts, first.attempts.pendingColumn());
    assertTrue(out > 0);
    // The second relay is killed before any posting.
    MethodAccounts second = runRelay(file, logged, false, 0);
    assertEquals(second.sum(second.attempts, second.attempts.lostColumn()), out);
    MethodAccounts third = runRelay(file, logged, true, 20);
    assertTrue(third.sum(third.attempts, 0) > sent);
    assertEquals(third.sum(third.attempts, third.attempts.lostColumn()), out);
    MetricsSnapshot snapshot = MetricsSnapshot.read(file);
    assertEquals(snapshot.generation, 3);
    assertTrue(snapshot.cleanShutdown);
    assertEquals(snapshot.accounts().check(snapshot.values), List.of());
    assertEquals(third.value(third.starts, 0, 0), 3);
    assertEquals(third.value(third.starts, 0, third.starts.lostColumn()), 2);
    assertEquals(logged, List.of());
  }

  @Test
  public void carriesRowsByNameAcrossChangedSettings() throws Exception {
    Path file = folder().resolve("r.figures");
    runRelay(file, new ArrayList<>(), true, 30);
    long[] oldValues = MetricsSnapshot.read(file).values;
    MethodAccounts newAccounts =
        new MethodAccounts(List.of("pay", "extra", "read"), new MethodAccounts.Capacity(1, 1, 1));
    List<String> logged = new ArrayList<>();
    MetricsFileWriter.open(file, newAccounts, () -> {}, logged::add);
    assertEquals(logged, List.of());
    MethodAccounts oldAccounts = new MethodAccounts(METHODS, CAPACITY);
    assertEquals(
        newAccounts.value(newAccounts.attempts, 2, 0), oldValues[oldAccounts.attempts.index(0, 0)]);
    assertEquals(
        newAccounts.value(newAccounts.attempts, 0, 1), oldValues[oldAccounts.attempts.index(1, 1)]);
    assertEquals(newAccounts.check(), List.of());
    assertEquals(MetricsSnapshot.read(file).rowNames[0], "all");
  }

  @Test
  public void setsAsideDamagedFilesWithOneLogLine() throws Exception {
    Path folder = folder();
    Path file = folder.resolve("r.figures");
    runRelay(file, new ArrayList<>(), true, 30);
    byte[] good = Files.readAllBytes(file);
    List<byte[]> bad = new ArrayList<>();
    for (int length : new int[] {0, 1, 63, 64, 200, good.length / 2, good.length - 1}) {
      bad.add(Arrays.copyOf(good, length));
    }
    bad.add("a text that is not a metrics file but as long as a header".repeat(9).getBytes());
    byte[] newerVersion = good.clone();
    newerVersion[7]++;
    bad.add(newerVersion);
    byte[] bothCopies = good.clone();
    MethodAccounts accounts = new MethodAccounts(METHODS, CAPACITY);
    int copySizeBytes = (accounts.size() + 2) * 8;
    bothCopies[good.length - 24] ^= 1;
    bothCopies[good.length - copySizeBytes - 24] ^= 1;
    bad.add(bothCopies);
    for (byte[] damaged : bad) {
      Files.write(file, damaged);
      List<String> logged = new ArrayList<>();
      MethodAccounts restarted = runRelay(file, logged, true, 3);
      assertEquals(logged.size(), 1, logged.toString());
      assertTrue(
          logged.get(0).startsWith(file + ": ")
              && logged.get(0).contains("kept as r.figures.aside-"),
          logged.get(0));
      assertEquals(restarted.value(restarted.metricsFiles, 0, 3), 1);
      assertTrue(MetricsSnapshot.read(file).cleanShutdown);
    }
    try (var files = Files.list(folder)) {
      assertEquals(files.filter(path -> path.toString().contains(".aside-")).count(), bad.size());
    }
  }

  @Test
  public void readsOtherCopyWhereOneIsDamaged() throws Exception {
    Path file = folder().resolve("r.figures");
    runRelay(file, new ArrayList<>(), false, 30);
    byte[] bytes = Files.readAllBytes(file);
    MetricsSnapshot good = MetricsSnapshot.read(file);
    MethodAccounts accounts = new MethodAccounts(METHODS, CAPACITY);
    for (int copy = 0; copy < 2; copy++) {
      byte[] damaged = bytes.clone();
      damaged[bytes.length - 24 - copy * (accounts.size() + 2) * 8] ^= 4;
      MetricsSnapshot read =
          MetricsSnapshot.read(new BufferMetricsMemory(ByteBuffer.wrap(damaged)), "f");
      assertEquals(read.accounts().check(read.values), List.of());
      assertTrue(
          read.values[accounts.attempts.index(0, 0)] <= good.values[accounts.attempts.index(0, 0)]);
    }
  }

  @Test
  public void keepsMetricsInMemoryWhereTheFolderCannotBeWritten() throws Exception {
    Path folder = folder();
    Path file = folder.resolve("none").resolve("r.figures");
    List<String> logged = new ArrayList<>();
    MethodAccounts accounts = runRelay(file, logged, true, 5);
    assertTrue(accounts.sum(accounts.attempts, 0) > 0);
    assertEquals(logged.size(), 1);
    assertTrue(logged.get(0).contains("metrics stay in memory"), logged.get(0));
    assertTrue(
        !MetricsFileWriter.open(file, new MethodAccounts(METHODS, CAPACITY), () -> {}, logged::add)
            .isPersistent());
    assertTrue(
        PosixFilePermissions.toString(Files.getPosixFilePermissions(folder)).startsWith("rwx"));
    expectThrows(java.io.IOException.class, () -> MetricsSnapshot.read(file));
  }

  /** A reader that runs concurrently with a busy writer sees only complete commits. */
  @Test
  public void concurrentReaderNeverSeesPartOfACommit() throws Exception {
    Path file = folder().resolve("r.figures");
    MethodAccounts accounts = new MethodAccounts(METHODS, CAPACITY);
    MetricsFileWriter.open(file, accounts, () -> {}, line -> {});
    boolean[] writerEnded = new boolean[1];
    Thread writer =
        new Thread(
            () -> {
              SplittableRandom random = new SplittableRandom(1);
              for (int i = 0; i < 200_000; i++) {
                postSome(accounts, random);
                accounts.commit();
              }
              synchronized (writerEnded) {
                writerEnded[0] = true;
              }
            });
    writer.start();
    int reads = 0;
    for (boolean last = false; !last; reads++) {
      synchronized (writerEnded) {
        last = writerEnded[0];
      }
      MetricsSnapshot snapshot = MetricsSnapshot.read(file);
      assertEquals(snapshot.accounts().check(snapshot.values), List.of());
    }
    writer.join();
    assertTrue(reads > 1);
  }
}
