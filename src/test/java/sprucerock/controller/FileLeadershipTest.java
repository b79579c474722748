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

/** Tests that of several controllers that share a folder at most one holds leadership. */
public class FileLeadershipTest {
  private static final TimeSpan LEASE_DURATION = TimeSpan.ofMs(1000);

  /** Storage in memory with the operations that leadership needs. */
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
    long startMs = nowMs;
    while (!leadership.tryAcquire()) {
      nowMs += 100;
      if (nowMs - startMs > timeoutMs) {
        return -1;
      }
    }
    return nowMs - startMs;
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
    long delayMs = acquireWithin(b, 10_000);
    assertTrue(
        delayMs >= LEASE_DURATION.ms() && delayMs <= 2 * LEASE_DURATION.ms(), delayMs + " ms");
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
    // Controller a is stalled meanwhile.
    acquireWithin(b, 10_000);
    assertFalse(a.isHeld());
    assertFalse(a.renew());
    assertTrue(b.renew());
    // The former leader has to wait like any other controller.
    assertFalse(a.tryAcquire());
  }

  @Test
  public void atMostOneOfManyHoldsLeadership() throws Exception {
    for (int seed = 0; seed < 60; seed++) {
      storage = new InMemoryStorage();
      SplittableRandom random = new SplittableRandom(seed);
      List<FileLeadership> candidates = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        candidates.add(leadership("h" + i));
      }
      boolean[] acquired = new boolean[4];
      int maxHolders = 0;
      for (int step = 0; step < 400; step++) {
        nowMs += random.nextInt(120);
        int controller = random.nextInt(4);
        // A stalled controller does nothing for longer than the lease duration.
        boolean stalls = random.nextInt(25) == 0;
        if (stalls) {
          nowMs += 1500;
        }
        FileLeadership leadership = candidates.get(controller);
        acquired[controller] = acquired[controller] ? leadership.renew() : leadership.tryAcquire();
        int holders = 0;
        for (FileLeadership candidate : candidates) {
          holders += candidate.isHeld() ? 1 : 0;
        }
        maxHolders = Math.max(maxHolders, holders);
        assertTrue(
            holders <= 1,
            holders + " controllers hold leadership, seed " + seed + ", step " + step);
      }
      assertEquals(maxHolders, 1, "no controller ever held leadership, seed " + seed);
    }
  }
}
