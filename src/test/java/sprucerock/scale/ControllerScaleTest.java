package sprucerock.scale;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.MessageLite;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Locale;
import org.testng.annotations.Test;
import sprucerock.controller.Rollout;
import sprucerock.controller.RolloutManager;
import sprucerock.controller.RolloutRules;
import sprucerock.controller.deployment.Deployment;
import sprucerock.controller.deployment.DeploymentManager;
import sprucerock.controller.deployment.DeploymentPlan;
import sprucerock.controller.deployment.ManagedRelay;
import sprucerock.controller.deployment.Verdict;
import sprucerock.controller.deployment.Version;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.wire.v1.AgentSays;
import sprucerock.transport.wire.v1.News;
import sprucerock.transport.wire.v1.Piece;
import sprucerock.transport.wire.v1.PromiseAsk;
import sprucerock.transport.wire.v1.RelaySums;
import sprucerock.transport.wire.v1.Say;
import sprucerock.transport.wire.v1.Stand;
import sprucerock.transport.wire.v1.Taken;
import sprucerock.transport.wire.v1.Vote;
import sprucerock.transport.wire.v1.Voted;
import sprucerock.transport.wire.v1.Wants;

/**
 * What one word of an agent, one vote of a relay and one look of the controller cost, against the
 * number of relays.
 */
public class ControllerScaleTest {
  private static final Version OLD = new Version("a".repeat(64), "0".repeat(64));
  private static final Version NEW = new Version("b".repeat(64), "0".repeat(64));
  private static final DeploymentPlan PLAN =
      new DeploymentPlan(
          List.of(
              new DeploymentPlan.Stage(0.05, 0.1),
              new DeploymentPlan.Stage(0.25, 0.05),
              new DeploymentPlan.Stage(1, 0.01)),
          TimeSpan.ofMs(10_000),
          TimeSpan.ofMs(120_000),
          TimeSpan.ofMs(20_000),
          0.2,
          0.1,
          TimeSpan.ofMs(5000));

  /**
   * So many relays in three zones that run the old version, settled on it, whose agents do what is
   * wanted.
   */
  private static final class Fleet implements DeploymentManager.Listener {
    private final DeploymentManager changes = new DeploymentManager(PLAN, this);
    private final ArrayDeque<ManagedRelay> wants = new ArrayDeque<>();
    private double now = 1000;
    private long words;

    Fleet(int relays) {
      for (int i = 0; i < relays; i++) {
        says(i, OLD, true, 0);
      }
    }

    Timestamp at() {
      return Timestamp.ofMs(now);
    }

    void says(int number, Version runs, boolean ready, int done) {
      words++;
      changes.reportStatus(number, number % 3, number % 5 == 0, runs, ready, done, at(), 0);
    }

    Deployment propose() {
      assertNull(changes.propose("eve", "a faster reader", NEW, false, at(), 0));
      return changes.pending();
    }

    void read(Deployment change) {
      for (int i = 0; i < changes.relays().size(); i++) {
        changes.reportValidation(i, change.number, "", at(), 0);
      }
    }

    void obey() {
      while (!wants.isEmpty()) {
        ManagedRelay next = wants.poll();
        now += 1;
        says(next.number, next.desiredVersion(), false, next.generation());
        says(next.number, next.desiredVersion(), true, next.generation());
      }
    }

    @Override
    public void transitioned(Deployment change, Deployment.Transition step) {
      // not counted
    }

    @Override
    public void desiredStateChanged(ManagedRelay relay) {
      wants.add(relay);
    }
  }

  @Test
  public void aWordOfAnAgentLooksAtNoOtherRelay() {
    Counted.at(
            "an agent's word, nothing under way",
            relays -> {
              Fleet fleet = new Fleet(relays);
              long before = fleet.changes.entriesExamined();
              for (int i = 0; i < relays; i++) {
                fleet.says(i, OLD, i % 2 == 0, 0);
              }
              return (fleet.changes.entriesExamined() - before) / (double) relays;
            },
            100,
            200,
            400)
        .isFlat(1.2, 10);
  }

  /** Each 50 ms. */
  @Test
  public void timeThatPassesLooksAtNoRelay() {
    Counted.at(
            "a look whether a change is due",
            relays -> {
              Fleet fleet = new Fleet(relays);
              long before = fleet.changes.entriesExamined();
              for (int i = 0; i < 20; i++) {
                fleet.changes.transitionDue(Timestamp.ofMs(2000 + i * 50));
              }
              return (fleet.changes.entriesExamined() - before) / 20.0;
            },
            100,
            200,
            400)
        .isFlat(1.2, 2);
  }

  @Test
  public void thatAnAgentHasReadAVersionLooksAtNoOtherRelay() {
    Counted.at(
            "an agent that has read it",
            relays -> {
              Fleet fleet = new Fleet(relays);
              Deployment change = fleet.propose();
              long before = fleet.changes.entriesExamined();
              for (int i = 0; i < relays - 1; i++) {
                fleet.changes.reportValidation(i, change.number, "", fleet.at(), 0);
              }
              assertEquals(change.state(), Deployment.State.PROPOSED);
              return (fleet.changes.entriesExamined() - before) / (double) relays;
            },
            100,
            200,
            400)
        .isFlat(1.2, 10);
  }

  /**
   * All that is looked at from the first relay that is moved to the last, for each word that agents
   * said meanwhile. Who is next is still found by walking all relays some times: a cost that this
   * holds to its slope.
   */
  @Test
  public void aWordWhileAChangeIsOnItsWayGrowsNoFasterThanTheFleet() {
    Counted.at(
            "an agent's word while a change moves",
            relays -> {
              Fleet fleet = new Fleet(relays);
              Deployment change = fleet.propose();
              long before = fleet.changes.entriesExamined();
              long words = fleet.words;
              fleet.read(change);
              for (int i = 0; i < 20 && change.state() != Deployment.State.DONE; i++) {
                fleet.obey();
                fleet.changes.reportVerdict(
                    change.number, change.stage(), Verdict.NO_WORSE, "alike", fleet.at(), 0);
                fleet.now += 11_000;
                fleet.changes.tick(fleet.at(), 0);
              }
              assertEquals(change.state(), Deployment.State.DONE);
              return (fleet.changes.entriesExamined() - before) / (double) (fleet.words - words);
            },
            100,
            200,
            400)
        .growsAsTheSize(1.05);
  }

  @Test
  public void aVoteLooksAtNoOtherRelaysVote() {
    Counted.at(
            "a vote",
            relays -> {
              RolloutRules rules =
                  new RolloutRules(
                      List.of(new RolloutRules.Stage(0.1, 0.12), new RolloutRules.Stage(1, 1)),
                      RolloutRules.Control.MAJORITY,
                      relays + 1,
                      relays + 1,
                      relays + 1,
                      TimeSpan.ofMs(1000),
                      TimeSpan.ofMs(60_000),
                      TimeSpan.ofMs(1000),
                      TimeSpan.ofMs(600_000),
                      TimeSpan.ofMs(1000),
                      TimeSpan.ofMs(60_000),
                      10);
              RolloutManager releases =
                  new RolloutManager(rules, 10, 1, Timestamp.ofMs(0), (release, step) -> {});
              releases.announceDelivery("m1", 2, "a2", "ci", Timestamp.ofMs(10), 10);
              releases.reportEndpoints(2, 10, Timestamp.ofMs(20), 20);
              assertEquals(releases.current().state(), Rollout.State.ON_TRIAL);
              for (int i = 0; i < relays; i++) {
                releases.castVote(i, 2, 0, RolloutManager.Vote.ON, Timestamp.ofMs(1500), 1500);
              }
              long before = releases.votesExamined();
              for (int i = 0; i < relays; i++) {
                releases.castVote(
                    i,
                    2,
                    0,
                    i % 2 == 0 ? RolloutManager.Vote.ON : RolloutManager.Vote.BACK,
                    Timestamp.ofMs(3000 + i),
                    3000);
                releases.transitionDue(Timestamp.ofMs(3000 + i));
              }
              return (releases.votesExamined() - before) / (double) relays;
            },
            100,
            200,
            400)
        .isFlat(1.2, 10);
  }

  /**
   * One change at a time, each watched in every stage: so many a day there can be at most, were
   * every relay restarted in no time at all. It does not hang on the fleet's size; room does, which
   * bounds how many are out at once.
   */
  @Test
  public void changesOfADayAreBoundedByTheirWatch() {
    double[] each = new double[2];
    int[] sizes = {100, 400};
    for (int i = 0; i < 2; i++) {
      Fleet fleet = new Fleet(sizes[i]);
      Deployment change = fleet.propose();
      fleet.read(change);
      double from = fleet.now;
      while (change.state() != Deployment.State.DONE) {
        double before = fleet.now;
        fleet.obey();
        fleet.now = before; // as if nobody took any time
        fleet.changes.reportVerdict(
            change.number, change.stage(), Verdict.NO_WORSE, "alike", fleet.at(), 0);
        fleet.now += 1000;
        fleet.changes.tick(fleet.at(), 0);
      }
      each[i] = 86_400_000 / (fleet.now - from);
      System.out.printf(
          Locale.ROOT,
          "counted: changes a day, three stages watched for 10 s each: at %d %.0f%n",
          sizes[i],
          each[i]);
    }
    assertEquals(each[0], each[1], 0.01 * each[0]);
    assertTrue(each[0] <= 86_400 / 30.0 && each[0] >= 86_400 / 40.0, each[0] + " a day");
  }

  /**
   * Frames as they go out, eight bytes of frame with each; none of them holds anything of other
   * relays.
   */
  @Test
  public void whatOneRelayOrAgentIsToldIsSmall() {
    String digest = "a".repeat(64);
    told(
        "news",
        60,
        News.newBuilder()
            .setBuild(60_000)
            .setStage(3)
            .setStanding(Stand.ON_TRIAL)
            .setCap(0.12)
            .setLastedUs(86_400_000_000L)
            .setEpoch(1000)
            .setSequence(1_000_000)
            .build());
    told(
        "vote",
        20,
        Vote.newBuilder().setId(1_000_000).setBuild(60_000).setStage(3).setSay(Say.BACK).build());
    told("vote's answer", 20, Voted.newBuilder().setId(1_000_000).setTaken(Taken.COUNTS).build());
    told(
        "ask for promises",
        30,
        PromiseAsk.newBuilder().setId(1_000_000).setHolds(1_000_000).setList(-1).build());
    told(
        "wants",
        310,
        Wants.newBuilder()
            .setEpoch(1000)
            .setTurn(1000)
            .setProgram(digest)
            .setSettings(digest)
            .setChange(30_000)
            .setCheckProgram(digest)
            .setCheckSettings(digest)
            .build());
    RelaySums sums =
        RelaySums.newBuilder()
            .setRpcs(1e9)
            .setWorth(1e9)
            .setInTime(1e9)
            .setRefused(1)
            .setAborted(1)
            .setLost(1)
            .setAnswered(1e9)
            .setAnsweredMs(1e9)
            .setWorkMs(1e9)
            .setMemoryMb(99)
            .setConnections(99)
            .setMessages(1e9)
            .build();
    told(
        "agent's word",
        300,
        AgentSays.newBuilder()
            .setZone(1)
            .setProgram(digest)
            .setSettings(digest)
            .setReady(true)
            .setDone(1000)
            .setEpoch(1000)
            .setLife(-1L)
            .setStarts(10)
            .setCores(0.5)
            .setSums(sums)
            .build());
    told(
        "head of a piece",
        100,
        Piece.newBuilder().setDigest(digest).setFrom(1 << 24).setSize(1 << 25).build());
  }

  private static void told(String what, int most, MessageLite message) {
    int bytes = 8 + message.getSerializedSize();
    System.out.println("counted: bytes of " + what + ": " + bytes);
    assertTrue(bytes <= most, what + " has " + bytes + " bytes");
  }
}
