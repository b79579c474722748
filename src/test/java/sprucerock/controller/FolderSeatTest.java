package sprucerock.controller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;

/** Two controllers over one folder: never do both act. */
public class FolderSeatTest {
  private static final TimeSpan TIME = TimeSpan.ofMs(1000);

  /** A folder in memory, of which a lease needs little. */
  private static final class Memory implements Storage {
    private final TreeMap<String, byte[]> files = new TreeMap<>();

    @Override
    public List<String> list() {
      return List.copyOf(files.keySet());
    }

    @Override
    public byte[] read(String name) {
      return files.get(name);
    }

    @Override
    public void replaceAtomically(String name, byte[] bytes) {
      files.put(name, bytes);
    }

    @Override
    public AppendFile openForAppend(String name) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void delete(String name) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void truncate(String name, long length) {
      throw new UnsupportedOperationException();
    }
  }

  private long now;
  private Storage disk;
  private final Engine.Clock clock =
      new Engine.Clock() {
        @Override
        public long wallMs() {
          return 0;
        }

        @Override
        public long steadyMs() {
          return now;
        }
      };

  @BeforeMethod
  public void begin() throws Exception {
    now = 0;
    disk = new Memory();
  }

  private FileLeadership lease(String holder) throws Exception {
    return new FileLeadership(disk, clock, TIME, holder);
  }

  private long takes(FileLeadership lease, long patience) throws Exception {
    long from = now;
    while (!lease.take()) {
      now += 100;
      if (now - from > patience) {
        return -1;
      }
    }
    return now - from;
  }

  @Test
  public void theFirstTakesItAndTheSecondWaits() throws Exception {
    FileLeadership a = lease("a");
    FileLeadership b = lease("b");
    assertTrue(takes(a, 5000) >= 0);
    for (int i = 0; i < 50; i++) {
      now += 200;
      assertTrue(a.renew() && a.holds());
      assertFalse(b.take());
    }
  }

  @Test
  public void itIsTakenOverAfterItsTimeAndAtOnceWhereItWasGivenBack() throws Exception {
    FileLeadership a = lease("a");
    takes(a, 5000);
    FileLeadership b = lease("b");
    b.take();
    long after = takes(b, 10_000);
    assertTrue(after >= TIME.ms() && after <= 2 * TIME.ms(), after + " ms");
    assertFalse(a.holds());
    b.release();
    FileLeadership c = lease("c");
    c.take();
    assertTrue(takes(c, 5000) <= TIME.ms());
  }

  @Test
  public void oneThatWasHeldUpWakesWithoutIt() throws Exception {
    FileLeadership a = lease("a");
    takes(a, 5000);
    FileLeadership b = lease("b");
    takes(b, 10_000); // while a stands still
    assertFalse(a.holds());
    assertFalse(a.renew());
    assertTrue(b.renew());
    assertFalse(a.take()); // and stands in line like any other
  }

  @Test
  public void ofManyThatWantItAtOnceOneHasIt() throws Exception {
    for (int seed = 0; seed < 60; seed++) {
      disk = new Memory();
      SplittableRandom random = new SplittableRandom(seed);
      List<FileLeadership> all = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        all.add(lease("h" + i));
      }
      boolean[] has = new boolean[4];
      int most = 0;
      for (int step = 0; step < 400; step++) {
        now += random.nextInt(120);
        int who = random.nextInt(4);
        boolean stalls = random.nextInt(25) == 0; // one stands still for longer than the time
        if (stalls) {
          now += 1500;
        }
        FileLeadership lease = all.get(who);
        has[who] = has[who] ? lease.renew() : lease.take();
        int holders = 0;
        for (FileLeadership one : all) {
          holders += one.holds() ? 1 : 0;
        }
        most = Math.max(most, holders);
        assertTrue(holders <= 1, holders + " hold it, seed " + seed + ", step " + step);
      }
      assertEquals(most, 1, "nobody ever had it, seed " + seed);
    }
  }
}
