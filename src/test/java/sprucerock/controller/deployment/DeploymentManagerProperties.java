package sprucerock.controller.deployment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import sprucerock.controller.deployment.Deployment.State;
import sprucerock.time.Timestamp;

/**
 * Any fleet, any order of events: relays that die, agents that fall silent and come back, verdicts,
 * words, surges. Held against the plainest account there is: what each relay was told, and who is
 * away.
 */
class DeploymentManagerProperties {
  private static final int ZONES = 3;

  private static final class Wild implements DeploymentManager.Listener {
    final SplittableRandom random;
    final DeploymentManager deployments = new DeploymentManager(DeploymentManagerTest.PLAN, this);
    final Map<Integer, Integer> turns = new HashMap<>();
    final int relays;
    double now = 1000;
    int room = 99;
    boolean verdict;

    Wild(long seed, int relays) {
      random = new SplittableRandom(seed);
      this.relays = relays;
      for (int i = 0; i < relays; i++) {
        deployments.reportStatus(
            i, i % ZONES, random.nextInt(3) == 0, DeploymentManagerTest.OLD, true, 0, at(), 0);
      }
    }

    Timestamp at() {
      return Timestamp.ofMs(now);
    }

    private boolean away(ManagedRelay relay) {
      return !relay.ready()
          || relay.unreachable()
          || relay.desiredVersion() != null
              && (relay.observedGeneration() != relay.generation()
                  || !relay.observedVersion().equals(relay.desiredVersion()));
    }

    int away(int zone) {
      int count = 0;
      for (ManagedRelay relay : deployments.relays()) {
        if (relay.zone() == zone && away(relay)) {
          count++;
        }
      }
      return count;
    }

    @Override
    public void desiredStateChanged(ManagedRelay relay) {
      assertTrue(relay.generation() >= turns.getOrDefault(relay.number, 0), "a turn went back");
      turns.put(relay.number, relay.generation());
      if (relay.generation() == 0) {
        return;
      }
      int size = (relays + ZONES - 1 - relay.zone()) / ZONES;
      Deployment under = deployments.active();
      boolean back =
          under == null || under.state() == State.GOING_BACK || under.state() == State.DONE;
      int most = Math.min(Math.max(1, (int) (0.2 * size)), back ? Math.max(1, room) : room);
      // it was told just now: it counts among those away, unless it was so before
      if (relay.ready() && !relay.unreachable() && !back) {
        assertTrue(
            away(relay.zone()) <= most,
            "relay "
                + relay.number
                + " makes "
                + away(relay.zone())
                + " away in a zone of "
                + size
                + " with room for "
                + most);
      }
    }

    @Override
    public void transitioned(Deployment deployment, Deployment.Transition step) {
      if (step.state() == State.MOVING
          && step.stage() > 0
          && !step.cause().startsWith("held")
          && !step.cause().startsWith("resumed")
          && !step.cause().startsWith("relays are")
          && !deployment.controls().isEmpty()) {
        assertTrue(verdict, "stage " + step.stage() + " began without evidence");
      }
      if (step.state() != State.PROPOSED) {
        verdict &= step.state() == State.WATCHED; // a verdict is of one stage
      }
    }

    /** Something happens. */
    void step() {
      now += random.nextInt(1500);
      int number = random.nextInt(relays);
      ManagedRelay relay = deployments.relay(number);
      Deployment under = deployments.active();
      switch (random.nextInt(14)) {
        case 0 -> deployments.reportUnreachable(number, at(), 0);
        case 1 ->
            deployments.reportStatus(
                number,
                relay.zone(),
                relay.busy(),
                relay.observedVersion(),
                false,
                relay.observedGeneration(),
                at(),
                0);
        case 2 -> {
          if (under == null || random.nextInt(4) > 0) {
            return;
          }
          deployments.reportFailure(
              number,
              random.nextBoolean() ? under.toVersion : under.fromVersion,
              0,
              "ended with code 1",
              at(),
              0);
        }
        case 3 -> {
          if (under == null) {
            return;
          }
          Verdict is = Verdict.values()[random.nextInt(20) == 0 ? 2 : random.nextInt(2)];
          verdict =
              is == Verdict.NO_WORSE
                  && (under.state() == State.MOVING || under.state() == State.WATCHED);
          deployments.reportVerdict(under.number, under.stage(), is, "", at(), 0);
        }
        case 4 -> {
          room = random.nextInt(4);
          Map<Integer, Integer> byZone = new HashMap<>();
          for (int zone = 0; zone < ZONES; zone++) {
            byZone.put(zone, room);
          }
          deployments.setRestartBudget(byZone, random.nextInt(6) == 0 ? "a surge" : "", at(), 0);
        }
        case 5 -> deployments.setRolloutInProgress(random.nextInt(4) == 0, at(), 0);
        case 6 -> {
          if (deployments.pending() == null && under == null) {
            boolean old = deployments.baselineVersion().equals(DeploymentManagerTest.OLD);
            deployments.propose(
                "any",
                "one",
                old ? DeploymentManagerTest.NEW : DeploymentManagerTest.OLD,
                false,
                at(),
                0);
          }
        }
        case 7 -> {
          if (under != null && random.nextInt(10) == 0) {
            deployments.command(
                DeploymentManager.OperatorCommand.values()[random.nextInt(3)],
                under.number,
                "any",
                "one",
                at(),
                0);
          }
        }
        case 8, 9 -> {
          Deployment waits = deployments.pending();
          if (waits != null) {
            deployments.reportValidation(
                number, waits.number, random.nextInt(60) == 0 ? "no" : "", at(), 0);
          }
        }
        case 10 -> deployments.tick(at(), 0);
        default -> obey(relay);
      }
    }

    void obey(ManagedRelay relay) {
      Version runs =
          relay.desiredVersion() == null ? relay.observedVersion() : relay.desiredVersion();
      deployments.reportStatus(
          relay.number, relay.zone(), relay.busy(), runs, true, relay.generation(), at(), 0);
    }
  }

  @Property(tries = 300, seed = "11")
  void neverMoreAwayThanTheRoomNorAStageAheadOfItsEvidence(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int relays) {
    Wild wild = new Wild(seed, relays);
    for (int i = 0; i < 600; i++) {
      wild.step();
    }
  }

  @Property(tries = 200, seed = "12")
  void everyRunEnds(@ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int relays) {
    Wild wild = new Wild(seed, relays);
    for (int i = 0; i < 300; i++) {
      wild.step();
    }
    wild.deployments.setRolloutInProgress(false, wild.at(), 0);
    wild.room = 99;
    wild.deployments.setRestartBudget(Map.of(), "", wild.at(), 0);
    for (int i = 0; i < 400; i++) { // agents obey, nobody speaks, time passes
      wild.now += 5000;
      for (ManagedRelay relay : java.util.List.copyOf(wild.deployments.relays())) {
        wild.obey(relay);
      }
      wild.deployments.tick(wild.at(), 0);
    }
    for (Deployment one : wild.deployments.deployments()) {
      assertTrue(
          !one.state().isOpen(),
          "change "
              + one.number
              + " is "
              + one.state()
              + " still: "
              + wild.deployments.blockers(one, wild.at()));
    }
    for (ManagedRelay relay : wild.deployments.relays()) {
      boolean refused =
          wild.deployments.deployments().stream()
              .anyMatch(one -> one.rejections().containsKey(relay.number));
      if (wild.deployments.deployments().stream().anyMatch(one -> one.state() == State.DONE)
          && !refused) {
        assertEquals(relay.observedVersion(), wild.deployments.currentVersion());
      }
    }
  }

  @Property(tries = 200, seed = "13")
  void whatIsKeptAndPutBackGoesOnAlike(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 20) int relays) {
    Wild wild = new Wild(seed, relays);
    for (int i = 0; i < 300; i++) {
      wild.step();
      if (i % 50 != 0) {
        continue;
      }
      DeploymentManager back =
          new DeploymentManager(
              DeploymentManagerTest.PLAN,
              new DeploymentManager.Listener() {
                @Override
                public void transitioned(Deployment deployment, Deployment.Transition step) {}

                @Override
                public void desiredStateChanged(ManagedRelay relay) {}
              });
      DeploymentSnapshot before = DeploymentSnapshot.of(wild.deployments);
      before.restore(back);
      assertEquals(DeploymentSnapshot.of(back), before);
      assertEquals(back.transitionDue(wild.at()), wild.deployments.transitionDue(wild.at()));
    }
  }
}
