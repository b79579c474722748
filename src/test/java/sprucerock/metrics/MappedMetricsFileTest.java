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
import sprucerock.accounting.MethodMetrics;
import sprucerock.time.TimeSpan;

/** Figures through kills at every write, damage of every kind, and one life after another. */
public class MappedMetricsFileTest {
  private static final List<String> METHODS = List.of("read", "pay");
  private static final MethodAccounts.Capacity ROOM = new MethodAccounts.Capacity(2, 3, 2);

  /** Memory of a process that is killed at its n-th write, which gets so many of its bytes down. */
  private static final class Mortal implements MetricsMemory {
    private static final class Killed extends RuntimeException {
      private static final long serialVersionUID = 1L;
    }

    private final ByteBuffer bytes;
    private final BufferMetricsMemory memory;
    private long left;
    private final int torn;

    Mortal(int size, long writes, int torn) {
      bytes = ByteBuffer.allocate(size);
      memory = new BufferMetricsMemory(bytes);
      left = writes;
      this.torn = torn;
    }

    @Override
    public long get(int at) {
      return memory.get(at);
    }

    @Override
    public void get(int at, long[] into, int from, int count) {
      memory.get(at, into, from, count);
    }

    @Override
    public void put(int at, long value) {
      if (left-- > 0) {
        memory.put(at, value);
        return;
      }
      for (int i = 0; i < torn; i++) {
        bytes.put(at + i, (byte) (value >>> 8 * i));
      }
      throw new Killed();
    }

    @Override
    public void putLast(int at, long value) {
      put(at, value);
    }

    @Override
    public int size() {
      return bytes.capacity();
    }
  }

  private static void someTurn(MethodAccounts accounts, SplittableRandom random) {
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

  private static MappedMetricsFile pages(MetricsMemory memory, MethodAccounts accounts) {
    return new MappedMetricsFile(memory, accounts.layout(), accounts.size(), accounts.rows(), 1);
  }

  private static int size() {
    MethodAccounts accounts = new MethodAccounts(METHODS, ROOM);
    return MappedMetricsFile.size(accounts.layout(), accounts.size(), accounts.rows());
  }

  /** Turns of a relay until it is killed; the values after each turn go into {@code states}. */
  private static void live(Mortal memory, List<long[]> states) {
    MethodAccounts accounts = new MethodAccounts(METHODS, ROOM);
    SplittableRandom random = new SplittableRandom(4);
    MappedMetricsFile pages = pages(memory, accounts);
    accounts.persistTo(pages, () -> {});
    for (int i = 0; i < 120; i++) {
      someTurn(accounts, random);
      long[] after = new long[accounts.size()];
      for (MethodMetrics sheet : accounts.tables()) {
        for (int row = 0; row < sheet.rows(); row++) {
          for (int column = 0; column < sheet.columns().size(); column++) {
            after[sheet.index(row, column)] = accounts.value(sheet, row, column);
          }
        }
      }
      states.add(after);
      accounts.commit();
    }
  }

  @Test
  public void aKillAtAnyWriteLeavesTheFiguresOfATurnsEndAndEverySumHolds() throws Exception {
    int kills = 0;
    int whole = 0;
    for (int torn = 0; torn < 8; torn += torn == 0 ? 1 : 3) {
      for (long writes = 0; ; writes++) {
        Mortal memory = new Mortal(size(), writes, torn);
        List<long[]> states = new ArrayList<>();
        boolean killed = false;
        try {
          live(memory, states);
        } catch (Mortal.Killed e) {
          killed = true;
        }
        if (states.size() > 1) { // before, the file is not in its place yet
          MetricsSnapshot snapshot = MetricsSnapshot.read(memory, "f");
          long[] last = states.get(states.size() - 1);
          long[] before = states.get(states.size() - 2);
          assertTrue(
              Arrays.equals(snapshot.values, last) || Arrays.equals(snapshot.values, before),
              "killed at write " + writes + ", torn at " + torn);
          assertEquals(snapshot.accounts().check(snapshot.values), List.of());
          whole++;
        }
        if (!killed) {
          break;
        }
        kills++;
      }
    }
    assertTrue(kills > 5000 && whole > 4000, kills + " kills, " + whole + " in turns");
  }

  private static Path folder() throws Exception {
    return Files.createTempDirectory("figures");
  }

  private static MethodAccounts life(Path file, List<String> said, boolean ends, int turns) {
    MethodAccounts accounts = new MethodAccounts(METHODS, ROOM);
    MetricsFileWriter keeper = MetricsFileWriter.open(file, accounts, () -> {}, said::add);
    SplittableRandom random = new SplittableRandom(turns);
    for (int i = 0; i < turns; i++) {
      someTurn(accounts, random);
      accounts.commit();
    }
    if (ends) {
      keeper.close();
    }
    return accounts;
  }

  @Test
  public void eachLifeGoesOnFromTheLastAndWhatWasOutIsLostWithTheRelay() throws Exception {
    Path file = folder().resolve("r.figures");
    List<String> said = new ArrayList<>();
    MethodAccounts first = life(file, said, false, 50);
    long sent = first.sum(first.attempts, 0);
    long out = first.sum(first.attempts, first.attempts.pending());
    assertTrue(out > 0);
    MethodAccounts second = life(file, said, false, 0); // killed again before anything happened
    assertEquals(second.sum(second.attempts, second.attempts.lost()), out);
    MethodAccounts third = life(file, said, true, 20);
    assertTrue(third.sum(third.attempts, 0) > sent);
    assertEquals(third.sum(third.attempts, third.attempts.lost()), out);
    MetricsSnapshot snapshot = MetricsSnapshot.read(file);
    assertEquals(snapshot.generation, 3);
    assertTrue(snapshot.cleanShutdown);
    assertEquals(snapshot.accounts().check(snapshot.values), List.of());
    assertEquals(third.value(third.starts, 0, 0), 3);
    assertEquals(third.value(third.starts, 0, third.starts.lost()), 2);
    assertEquals(said, List.of());
  }

  @Test
  public void rowsAreCarriedByNameWhateverTheSettingsAreNow() throws Exception {
    Path file = folder().resolve("r.figures");
    life(file, new ArrayList<>(), true, 30);
    long[] before = MetricsSnapshot.read(file).values;
    MethodAccounts now =
        new MethodAccounts(List.of("pay", "extra", "read"), new MethodAccounts.Capacity(1, 1, 1));
    List<String> said = new ArrayList<>();
    MetricsFileWriter.open(file, now, () -> {}, said::add);
    assertEquals(said, List.of());
    MethodAccounts old = new MethodAccounts(METHODS, ROOM);
    assertEquals(now.value(now.attempts, 2, 0), before[old.attempts.index(0, 0)]);
    assertEquals(now.value(now.attempts, 0, 1), before[old.attempts.index(1, 1)]);
    assertEquals(now.check(), List.of());
    assertEquals(MetricsSnapshot.read(file).rowNames[0], "all");
  }

  @Test
  public void aFileThatIsCutForeignOrDamagedIsKeptAsideWithOneLine() throws Exception {
    Path folder = folder();
    Path file = folder.resolve("r.figures");
    life(file, new ArrayList<>(), true, 30);
    byte[] good = Files.readAllBytes(file);
    List<byte[]> bad = new ArrayList<>();
    for (int length : new int[] {0, 1, 63, 64, 200, good.length / 2, good.length - 1}) {
      bad.add(Arrays.copyOf(good, length));
    }
    bad.add("something else entirely, and long enough to be looked into".repeat(9).getBytes());
    byte[] newer = good.clone();
    newer[7]++;
    bad.add(newer);
    byte[] bothCopies = good.clone();
    MethodAccounts accounts = new MethodAccounts(METHODS, ROOM);
    int copy = (accounts.size() + 2) * 8;
    bothCopies[good.length - 24] ^= 1;
    bothCopies[good.length - copy - 24] ^= 1;
    bad.add(bothCopies);
    for (byte[] one : bad) {
      Files.write(file, one);
      List<String> said = new ArrayList<>();
      MethodAccounts life = life(file, said, true, 3);
      assertEquals(said.size(), 1, said.toString());
      assertTrue(
          said.get(0).startsWith(file + ": ") && said.get(0).contains("kept as r.figures.aside-"),
          said.get(0));
      assertEquals(life.value(life.files, 0, 3), 1);
      assertTrue(MetricsSnapshot.read(file).cleanShutdown);
    }
    try (var files = Files.list(folder)) {
      assertEquals(files.filter(path -> path.toString().contains(".aside-")).count(), bad.size());
    }
  }

  @Test
  public void oneDamagedCopyIsNotMissedAsTheOtherIsATurnOld() throws Exception {
    Path file = folder().resolve("r.figures");
    life(file, new ArrayList<>(), false, 30);
    byte[] bytes = Files.readAllBytes(file);
    MetricsSnapshot good = MetricsSnapshot.read(file);
    MethodAccounts accounts = new MethodAccounts(METHODS, ROOM);
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
  public void aFolderThatCantBeWrittenStopsNothing() throws Exception {
    Path folder = folder();
    Path file = folder.resolve("none").resolve("r.figures");
    List<String> said = new ArrayList<>();
    MethodAccounts accounts = life(file, said, true, 5);
    assertTrue(accounts.sum(accounts.attempts, 0) > 0);
    assertEquals(said.size(), 1);
    assertTrue(said.get(0).contains("figures stay in memory"), said.get(0));
    assertTrue(
        !MetricsFileWriter.open(file, new MethodAccounts(METHODS, ROOM), () -> {}, said::add)
            .isPersistent());
    assertTrue(
        PosixFilePermissions.toString(Files.getPosixFilePermissions(folder)).startsWith("rwx"));
    expectThrows(java.io.IOException.class, () -> MetricsSnapshot.read(file));
  }

  /** A reader beside a writer that never rests: what it reads is always whole. */
  @Test
  public void aReaderBesideTheRelayNeverSeesHalfATurn() throws Exception {
    Path file = folder().resolve("r.figures");
    MethodAccounts accounts = new MethodAccounts(METHODS, ROOM);
    MetricsFileWriter.open(file, accounts, () -> {}, line -> {});
    boolean[] over = new boolean[1];
    Thread writer =
        new Thread(
            () -> {
              SplittableRandom random = new SplittableRandom(1);
              for (int i = 0; i < 200_000; i++) {
                someTurn(accounts, random);
                accounts.commit();
              }
              synchronized (over) {
                over[0] = true;
              }
            });
    writer.start();
    int reads = 0;
    for (boolean last = false; !last; reads++) {
      synchronized (over) {
        last = over[0];
      }
      MetricsSnapshot snapshot = MetricsSnapshot.read(file);
      assertEquals(snapshot.accounts().check(snapshot.values), List.of());
    }
    writer.join();
    assertTrue(reads > 1);
  }
}
