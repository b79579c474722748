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
public class FileLeadershipTest {
  private static final TimeSpan LEASE_DURATION = TimeSpan.ofMs(1000);

  /** A folder in memory, of which leadership needs little. */
  private static final class InMemoryStorage implements Storage {
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

  private long nowMs;
  private Storage storage;
  private final Engine.Clock clock =
      new Engine.Clock() {
        @Override
        public long wallMs() {
          return 0;
        }

        @Override
        public long steadyMs() {
          return nowMs;
        }
      };

  @BeforeMethod
  public void createStorage() throws Exception {
    nowMs = 0;
    storage = new InMemoryStorage();
  }

  private FileLeadership leadership(String holder) throws Exception {
    return new FileLeadership(storage, clock, LEASE_DURATION, holder);
  }

  private long acquireWithin(FileLeadership leadership, long timeoutMs) throws Exception {
    long from = nowMs;
    while (!leadership.tryAcquire()) {
      nowMs += 100;
      if (nowMs - from > timeoutMs) {
        return -1;
      }
    }
    return nowMs - from;
  }

  @Test
  public void firstAcquiresAndSecondWaits() throws Exception {
    FileLeadership a = leadership("a");
    FileLeadership b = leadership("b");
    assertTrue(acquireWithin(a, 5000) >= 0);
    for (int i = 0; i < 50; i++) {
      nowMs += 200;
      assertTrue(a.renew() && a.isHeld());
      assertFalse(b.tryAcquire());
    }
  }

  @Test
  public void takenOverAfterItExpiresAndAtOnceAfterRelease() throws Exception {
    FileLeadership a = leadership("a");
    acquireWithin(a, 5000);
    FileLeadership b = leadership("b");
    b.tryAcquire();
    long after = acquireWithin(b, 10_000);
    assertTrue(after >= LEASE_DURATION.ms() && after <= 2 * LEASE_DURATION.ms(), after + " ms");
    assertFalse(a.isHeld());
    b.release();
    FileLeadership c = leadership("c");
    c.tryAcquire();
    assertTrue(acquireWithin(c, 5000) <= LEASE_DURATION.ms());
  }

  @Test
  public void stalledLeaderHasLostLeadership() throws Exception {
    FileLeadership a = leadership("a");
    acquireWithin(a, 5000);
    FileLeadership b = leadership("b");
    acquireWithin(b, 10_000); // while a stands still
    assertFalse(a.isHeld());
    assertFalse(a.renew());
    assertTrue(b.renew());
    assertFalse(a.tryAcquire()); // and stands in line like any other
  }

  @Test
  public void atMostOneOfManyHoldsLeadership() throws Exception {
    for (int seed = 0; seed < 60; seed++) {
      storage = new InMemoryStorage();
      SplittableRandom random = new SplittableRandom(seed);
      List<FileLeadership> all = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        all.add(leadership("h" + i));
      }
      boolean[] has = new boolean[4];
      int maxHolders = 0;
      for (int step = 0; step < 400; step++) {
        nowMs += random.nextInt(120);
        int who = random.nextInt(4);
        boolean stalls = random.nextInt(25) == 0; // one stands still for longer than the time
        if (stalls) {
          nowMs += 1500;
        }
        FileLeadership leadership = all.get(who);
        has[who] = has[who] ? leadership.renew() : leadership.tryAcquire();
        int holders = 0;
        for (FileLeadership one : all) {
          holders += one.isHeld() ? 1 : 0;
        }
        maxHolders = Math.max(maxHolders, holders);
        assertTrue(holders <= 1, holders + " hold it, seed " + seed + ", step " + step);
      }
      assertEquals(maxHolders, 1, "nobody ever had it, seed " + seed);
    }
  }
}
