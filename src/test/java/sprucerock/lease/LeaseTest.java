package sprucerock.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Granters and candidates, one thing at a time. A granter's word is "1 granted 5" and so on, in the
 * order it was said.
 */
public class LeaseTest {
  private static final LeaseTerms TERMS =
      new LeaseTerms(3, TimeSpan.ofMs(1000), TimeSpan.ofMs(2000), 0.01);
  private final List<String> said = new ArrayList<>();
  private LeaseGrantor granter;
  private LeaseClient candidate;

  private final LeaseGrantor.Replies granting =
      new LeaseGrantor.Replies() {
        @Override
        public void granted(int who, String name, long number, long round) {
          said.add(who + " granted " + number);
        }

        @Override
        public void rejected(
            int who,
            String name,
            long number,
            long round,
            long highest,
            TimeSpan left,
            LeaseGrantor.Rejection why) {
          said.add(who + " refused " + why + " " + Math.round(left.ms()));
        }

        @Override
        public void available(int who, String name) {
          said.add(who + " freed");
        }
      };

  private final LeaseClient.Transport asking =
      new LeaseClient.Transport() {
        @Override
        public void request(int to, String name, long number, long round) {
          if (to == 0) {
            said.add("ask " + (number >> 16) + " round " + round);
          }
        }

        @Override
        public void release(int to, String name, long number, int heir) {
          said.add("back to " + to);
        }

        @Override
        public void acquired(String name, long number) {
          said.add("taken");
        }

        @Override
        public void lost(String name, long number, String why) {
          said.add("lost: " + why);
        }
      };

  @BeforeMethod
  public void fresh() {
    granter = new LeaseGrantor(TERMS, granting, at(0));
    candidate = new LeaseClient("seat", TERMS, asking, () -> 0.5, 7, 70);
    said.clear();
  }

  private static Timestamp at(double ms) {
    return Timestamp.ofMs(ms);
  }

  private void ask(int who, long number, double ms) {
    granter.request(who, who, "seat", number, 1, at(ms));
  }

  private void heard(String... words) {
    assertEquals(said, List.of(words));
    said.clear();
  }

  @Test
  public void aGranterThatJustStartedSitsOutWhatItsLastLifeMayHaveGranted() {
    ask(1, 5, 1999);
    ask(1, 5, 2000);
    heard("1 refused STARTING 1", "1 granted 5");
  }

  @Test
  public void oneHoldsItAndHoldsOnUnderItsNumber() {
    ask(1, 5, 3000);
    ask(2, 6, 3100);
    ask(1, 5, 3800);
    ask(2, 6, 4100); // it runs from 3800 by now
    ask(2, 6, 4800);
    ask(1, 5, 4900); // too late: another has it
    heard(
        "1 granted 5",
        "2 refused HELD 900",
        "1 granted 5",
        "2 refused HELD 700",
        "2 granted 6",
        "1 refused HELD 900");
  }

  @Test
  public void aNumberThatIsNoHigherIsRefusedEvenOnceAllIsOver() {
    ask(1, 5, 3000);
    ask(2, 5, 9000);
    ask(2, 4, 9000);
    ask(1, 5, 9000); // nobody took it since: it is still the same grant
    heard("1 granted 5", "2 refused LOWER 0", "2 refused LOWER 0", "1 granted 5");
  }

  @Test
  public void twoLivesUnderOneNumberInTheFleetAreTwo() {
    granter.request(1, 11, "seat", 5, 1, at(3000));
    granter.request(1, 12, "seat", 5, 1, at(3000));
    granter.release(1, 12, "seat", 5, -1, at(3000)); // not its own to give back
    granter.request(1, 12, "seat", 6, 1, at(3000));
    heard("1 granted 5", "1 refused HELD 1000", "1 refused HELD 1000");
  }

  @Test
  public void whoWaitsLongestIsToldThatItIsFreeAndAnOldAskRevivesNothing() {
    ask(1, 5, 3000);
    ask(2, 6, 3000);
    ask(3, 7, 3000);
    said.clear();
    granter.release(1, 1, "seat", 5, -1, at(3100));
    granter.release(1, 1, "seat", 5, -1, at(3100));
    ask(1, 5, 3200);
    ask(3, 7, 3200);
    heard("2 freed", "1 refused RETURNED 0", "3 granted 7");
  }

  @Test
  public void anHeirByNameComesFirstForHalfATerm() {
    ask(1, 5, 3000);
    ask(2, 6, 3000);
    said.clear();
    granter.release(1, 1, "seat", 5, 3, at(3100));
    ask(2, 6, 3101);
    ask(3, 7, 3102);
    heard("3 freed", "2 refused KEPT 499", "3 granted 7");
    granter.release(3, 3, "seat", 7, 9, at(3200)); // which is dead
    ask(2, 8, 3701);
    heard("9 freed", "2 granted 8");
  }

  @Test
  public void theLineIsBoundedAndWhoFindsItFullComesLater() {
    ask(1, 5, 3000);
    for (int who = 2; who < 2 + LeaseGrantor.MAX_WAITERS; who++) {
      ask(who, 5 + who, 3000);
    }
    said.clear();
    ask(90, 100, 3000);
    ask(2, 7, 3000);
    granter.disconnected(2);
    ask(90, 100, 3000);
    heard("90 refused HELD 9000", "2 refused HELD 1000", "90 refused HELD 1000");
  }

  @Test
  public void namesAreBoundedAndLongEndedOnesGiveWay() {
    for (int i = 0; i < LeaseGrantor.MAX_LEASES; i++) {
      granter.request(1, 1, "name" + i, 5, 1, at(3000));
    }
    said.clear();
    ask(1, 5, 4500);
    ask(1, 5, 6001);
    heard("1 refused TOO_MANY 2000", "1 granted 5");
    assertEquals(granter.grants().size(), LeaseGrantor.MAX_LEASES);
  }

  @Test
  public void aMajorityInOneRoundHoldsItFromBeforeItWasAsked() {
    candidate.acquire(at(0), 40);
    candidate.granted(0, 40 << 16 | 7, 1, at(100));
    assertFalse(candidate.isHeldAt(at(100)));
    candidate.granted(0, 40 << 16 | 7, 1, at(100)); // twice is once
    candidate.granted(2, 40 << 16 | 7, 9, at(100)); // of no round of ours
    assertFalse(candidate.isHeldAt(at(100)));
    candidate.granted(2, 40 << 16 | 7, 1, at(100));
    heard("ask 40 round 1", "taken");
    double until = 1000 * 0.99 / 1.01;
    assertTrue(candidate.isHeldAt(at(until - 1)));
    assertFalse(candidate.isHeldAt(at(until)));
  }

  @Test
  public void itAsksAgainInTimeAndKeepsItWhileNobodyAnswers() {
    candidate.acquire(at(0), 40);
    long number = 40 << 16 | 7;
    for (int g = 0; g < 3; g++) {
      candidate.granted(g, number, 1, at(1));
    }
    double renew = candidate.nextTick().ms();
    assertTrue(renew > 320 && renew < 500, "" + renew);
    candidate.tick(at(renew), 40);
    candidate.granted(0, number, 2, at(renew + 1));
    candidate.granted(1, number, 1, at(renew + 1)); // from the first round, late
    candidate.tick(at(985), 40);
    heard(
        "ask 40 round 1",
        "taken",
        "ask 40 round 2",
        "back to 0",
        "back to 1",
        "back to 2",
        "lost: it ran out, not renewed in time",
        "ask 41 round 3");
  }

  @Test
  public void withoutAMajorityItGivesBackAndWaitsLongerEachTime() {
    candidate.acquire(at(0), 40);
    candidate.granted(0, 40 << 16 | 7, 1, at(1));
    candidate.rejected(1, 40 << 16 | 7, 1, 90L << 16, TimeSpan.ZERO, false, at(1));
    candidate.rejected(2, 40 << 16 | 7, 1, 0, TimeSpan.ZERO, false, at(1));
    heard("ask 40 round 1", "back to 0");
    double first = candidate.nextTick().ms();
    candidate.tick(at(first), 40);
    candidate.tick(candidate.nextTick(), 40); // nobody answered
    heard("ask 91 round 2", "back to 0", "back to 1", "back to 2");
    assertTrue(candidate.nextTick().ms() - first > 2 * first, "it should wait longer");
  }

  @Test
  public void whatIsGrantedForANumberThatWasGivenUpIsGivenBack() {
    candidate.acquire(at(0), 40);
    candidate.release(-1);
    said.clear();
    candidate.granted(1, 40 << 16 | 7, 1, at(5));
    heard("back to 1");
    assertFalse(candidate.isHeldAt(at(5)));
  }

  @Test
  public void aGuardAsksTheClockAndStampsTheAct() {
    candidate.acquire(at(0), 40);
    for (int g = 0; g < 3; g++) {
      candidate.granted(g, 40 << 16 | 7, 1, at(1));
    }
    double[] clock = {0};
    LeaseCheck guard = new LeaseCheck(candidate, () -> at(clock[0]));
    List<Long> acts = new ArrayList<>();
    assertTrue(guard.runIfHeld(TimeSpan.ofMs(900), acts::add));
    clock[0] = 500;
    assertFalse(guard.runIfHeld(TimeSpan.ofMs(900), acts::add));
    assertTrue(guard.runIfHeld(acts::add));
    clock[0] = 990;
    assertFalse(guard.runIfHeld(acts::add));
    assertEquals(acts, List.of(40L << 16 | 7, 40L << 16 | 7));
  }

  @Test
  public void aFenceTakesNothingLowerThanItSaw() {
    FencingTokenRegistry fence = new FencingTokenRegistry();
    assertTrue(fence.admits("seat", 5));
    assertTrue(fence.admits("seat", 5));
    assertTrue(fence.admits("other", 1));
    assertTrue(fence.admits("seat", 9));
    assertFalse(fence.admits("seat", 8));
    assertEquals(fence.highest("seat"), 9);
    assertEquals(fence.rejectedCount(), 1);
    for (int i = 0; i < FencingTokenRegistry.MAX_LEASES; i++) {
      fence.admits("name" + i, 1);
    }
    assertEquals(fence.highest("seat"), 0);
  }

  @Test
  public void termsThatMakeNoSenseAreRefused() {
    for (Map.Entry<Integer, Double> bad : Map.of(4, 0.0, 3, 0.3).entrySet()) {
      try {
        new LeaseTerms(bad.getKey(), TimeSpan.ofMs(1), TimeSpan.ofMs(1), bad.getValue());
        throw new AssertionError("taken: " + bad);
      } catch (IllegalArgumentException e) {
        assertFalse(e.getMessage().isEmpty());
      }
    }
  }
}
