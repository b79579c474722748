package sprucerock.relay.snapshot;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.testng.annotations.Test;
import sprucerock.time.Timestamp;

/** Rack snapshots and the shared reference to the latest one. */
public class RackSnapshotTest {
  @Test
  public void placesWorkThatEndsInTime() {
    RackSnapshot snapshot =
        new RackSnapshot(
            1,
            Map.of(
                RackSnapshot.key(1, 7),
                Timestamp.ofMs(1000),
                RackSnapshot.key(2, 7),
                Timestamp.ofMs(-5)));
    assertTrue(snapshot.mayPlace(RackSnapshot.key(1, 7), 900, 100));
    assertFalse(snapshot.mayPlace(RackSnapshot.key(1, 7), 900, 101));
    assertFalse(snapshot.mayPlace(RackSnapshot.key(2, 7), 0, 0));
    assertTrue(snapshot.mayPlace(RackSnapshot.key(3, 7), 1e9, 1e9));
    assertNull(snapshot.mayPlaceUntil(RackSnapshot.key(1, 8)));
    assertEquals(snapshot.mayPlaceUntil(RackSnapshot.key(1, 7)), Timestamp.ofMs(1000));
  }

  @Test
  public void findsEveryRackAmongMany() {
    Map<Integer, Timestamp> until = new HashMap<>();
    for (int zone = 0; zone < 30; zone++) {
      for (int cell = 0; cell < 40; cell++) {
        until.put(RackSnapshot.key(zone, cell * 256), Timestamp.ofMs(zone * 1000 + cell));
      }
    }
    RackSnapshot snapshot = new RackSnapshot(1, until);
    until.forEach((key, time) -> assertEquals(snapshot.mayPlaceUntil(key), time));
    assertEquals(snapshot.size(), 1200);
  }

  @Test
  public void publishRejectsAnOlderSequence() {
    SharedSnapshot shared = new SharedSnapshot();
    assertTrue(shared.publish(new RackSnapshot(5, Map.of())));
    assertFalse(shared.publish(new RackSnapshot(4, Map.of())));
    assertEquals(shared.current().sequence(), 5);
  }

  /**
   * In each snapshot the times of all racks equal its sequence number, so a reader that saw parts
   * of two snapshots would see different times.
   */
  @Test
  public void readersSeeConsistentSnapshotsWhilePublishing() throws Exception {
    SharedSnapshot shared = new SharedSnapshot();
    AtomicReference<String> violation = new AtomicReference<>();
    Thread[] readers = new Thread[4];
    for (int i = 0; i < readers.length; i++) {
      readers[i] =
          new Thread(
              () -> {
                long before = 0;
                while (before < 20_000 && violation.get() == null) {
                  RackSnapshot snapshot = shared.current();
                  if (snapshot.sequence() < before) {
                    violation.set(
                        "the sequence number went back from "
                            + before
                            + " to "
                            + snapshot.sequence());
                  }
                  before = snapshot.sequence();
                  for (int cell = 0; cell < 50 && before > 0; cell++) {
                    Timestamp until = snapshot.mayPlaceUntil(RackSnapshot.key(1, cell));
                    if (until == null || until.ms() != before) {
                      violation.set("a rack of snapshot " + before + " has the time " + until);
                    }
                  }
                }
              });
      readers[i].start();
    }
    for (long sequence = 1; sequence <= 20_000; sequence++) {
      Map<Integer, Timestamp> until = new HashMap<>();
      for (int cell = 0; cell < 50; cell++) {
        until.put(RackSnapshot.key(1, cell), Timestamp.ofMs(sequence));
      }
      shared.publish(new RackSnapshot(sequence, until));
    }
    for (Thread reader : readers) {
      reader.join(60_000);
    }
    assertNull(violation.get());
  }
}
