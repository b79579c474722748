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

/** The picture on a request's path. */
public class RackSnapshotTest {
  @Test
  public void workIsPlacedWhereItEndsInTime() {
    RackSnapshot picture =
        new RackSnapshot(
            1,
            Map.of(
                RackSnapshot.key(1, 7),
                Timestamp.ofMs(1000),
                RackSnapshot.key(2, 7),
                Timestamp.ofMs(-5)));
    assertTrue(picture.mayPlace(RackSnapshot.key(1, 7), 900, 100));
    assertFalse(picture.mayPlace(RackSnapshot.key(1, 7), 900, 101));
    assertFalse(picture.mayPlace(RackSnapshot.key(2, 7), 0, 0));
    assertTrue(picture.mayPlace(RackSnapshot.key(3, 7), 1e9, 1e9));
    assertNull(picture.freeUntil(RackSnapshot.key(1, 8)));
    assertEquals(picture.freeUntil(RackSnapshot.key(1, 7)), Timestamp.ofMs(1000));
  }

  @Test
  public void everyRackIsFoundAmongMany() {
    Map<Integer, Timestamp> until = new HashMap<>();
    for (int zone = 0; zone < 30; zone++) {
      for (int cell = 0; cell < 40; cell++) {
        until.put(RackSnapshot.key(zone, cell * 256), Timestamp.ofMs(zone * 1000 + cell));
      }
    }
    RackSnapshot picture = new RackSnapshot(1, until);
    until.forEach((key, moment) -> assertEquals(picture.freeUntil(key), moment));
    assertEquals(picture.size(), 1200);
  }

  @Test
  public void anOlderStateTakesNoNewerOnesPlace() {
    SharedSnapshot shared = new SharedSnapshot();
    assertTrue(shared.publish(new RackSnapshot(5, Map.of())));
    assertFalse(shared.publish(new RackSnapshot(4, Map.of())));
    assertEquals(shared.current().sequence(), 5);
  }

  /**
   * In every picture all racks have the same moment, that of its number: a reader that saw parts of
   * two would see two.
   */
  @Test
  public void readersSeeOnePictureWholeWhileItIsSwapped() throws Exception {
    SharedSnapshot shared = new SharedSnapshot();
    AtomicReference<String> wrong = new AtomicReference<>();
    Thread[] readers = new Thread[4];
    for (int i = 0; i < readers.length; i++) {
      readers[i] =
          new Thread(
              () -> {
                long before = 0;
                while (before < 20_000 && wrong.get() == null) {
                  RackSnapshot picture = shared.current();
                  if (picture.sequence() < before) {
                    wrong.set("went back from " + before + " to " + picture.sequence());
                  }
                  before = picture.sequence();
                  for (int cell = 0; cell < 50 && before > 0; cell++) {
                    Timestamp until = picture.freeUntil(RackSnapshot.key(1, cell));
                    if (until == null || until.ms() != before) {
                      wrong.set("in " + before + " a rack has " + until);
                    }
                  }
                }
              });
      readers[i].start();
    }
    for (long n = 1; n <= 20_000; n++) {
      Map<Integer, Timestamp> until = new HashMap<>();
      for (int cell = 0; cell < 50; cell++) {
        until.put(RackSnapshot.key(1, cell), Timestamp.ofMs(n));
      }
      shared.publish(new RackSnapshot(n, until));
    }
    for (Thread one : readers) {
      one.join(60_000);
    }
    assertNull(wrong.get());
  }
}
