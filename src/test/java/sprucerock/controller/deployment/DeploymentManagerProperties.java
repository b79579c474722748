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
 * Feeds random events to fleets of random size: relays that fail, agents that become unreachable
 * and come back, verdicts, operators' commands, load surges. Checks the manager against a simple
 * model: the generation that each relay was notified of, and which relays are unavailable.
 */
class DeploymentManagerProperties {
  private static final int ZONES = 3;

  private static final class RandomFleet implements DeploymentManager.Listener {
    final SplittableRandom random;
    final DeploymentManager deployments = new DeploymentManager(DeploymentManagerTest.PLAN, this);
    final Map<Integer, Integer> generations = new HashMap<>();
    final int relayCount;
    double nowMs = 1000;
    int restartBudget = 99;
    boolean hasNoWorseVerdict;

    RandomFleet(long seed, int relays) {
      random = new SplittableRandom(seed);
      this.relayCount = relays;
      for (int i = 0; i < relays; i++) {
        deployments.reportStatus(
            i, i % ZONES, random.nextInt(3) == 0, DeploymentManagerTest.OLD, true, 0, now(), 0);
      }
    }

    Timestamp now() {
      return Timestamp.ofMs(nowMs);
    }

    private boolean isUnavailable(ManagedRelay relay) {
      return !relay.ready()
          || relay.unreachable()
          || relay.desiredVersion() != null
              && (relay.observedGeneration() != relay.generation()
                  || !relay.observedVersion().equals(relay.desiredVersion()));
    }

    int countUnavailable(int zone) {
      int count = 0;
      for (ManagedRelay relay : deployments.relays()) {
        if (relay.zone() == zone && isUnavailable(relay)) {
          count++;
        }
      }
      return count;
    }

    @Override
    public void desiredStateChanged(ManagedRelay relay) {
      assertTrue(
          relay.generation() >= generations.getOrDefault(relay.number, 0),
          "a generation went back");
      generations.put(relay.number, relay.generation());
      if (relay.generation() == 0) {
        return;
      }
      int size = (relayCount + ZONES - 1 - relay.zone()) / ZONES;
      Deployment active = deployments.active();
      boolean reverting =
          active == null || active.state() == State.GOING_BACK || active.state() == State.DONE;
      int maxUnavailable =
          Math.min(
              Math.max(1, (int) (0.2 * size)),
              reverting ? Math.max(1, restartBudget) : restartBudget);
      // The relay's desired state has just changed, so the count already includes the relay.
      if (relay.ready() && !relay.unreachable() && !reverting) {
        assertTrue(
            countUnavailable(relay.zone()) <= maxUnavailable,
            "relay "
                + relay.number
                + " makes "
                + countUnavailable(relay.zone())
                + " unavailable in a zone of "
                + size
                + " with a restart budget of "
                + maxUnavailable);
      }
    }

    @Override
    public void transitioned(Deployment deployment, Deployment.Transition transition) {
      if (transition.state() == State.MOVING
          && transition.stage() > 0
          && !transition.cause().startsWith("held")
          && !transition.cause().startsWith("resumed")
          && !transition.cause().startsWith("relays are")
          && !deployment.controls().isEmpty()) {
        assertTrue(hasNoWorseVerdict, "stage " + transition.stage() + " began without a verdict");
      }
      if (transition.state() != State.PROPOSED) {
        // A verdict holds for one stage.
        hasNoWorseVerdict &= transition.state() == State.WATCHED;
      }
    }

    /** Lets some time pass and reports a random event. */
    void performRandomEvent() {
      nowMs += random.nextInt(1500);
      int number = random.nextInt(relayCount);
      ManagedRelay relay = deployments.relay(number);
      Deployment active = deployments.active();
      switch (random.nextInt(14)) {
        case 0 -> deployments.reportUnreachable(number, now(), 0);
        case 1 ->
            deployments.reportStatus(
                number,
                relay.zone(),
                relay.busy(),
                relay.observedVersion(),
                false,
                relay.observedGeneration(),
                now(),
                0);
        case 2 -> {
          if (active == null || random.nextInt(4) > 0) {
            return;
          }
          deployments.reportFailure(
              number,
              random.nextBoolean() ? active.toVersion : active.fromVersion,
              0,
              "ended with code 1",
              now(),
              0);
        }
        case 3 -> {
          if (active == null) {
            return;
          }
          Verdict verdict = Verdict.values()[random.nextInt(20) == 0 ? 2 : random.nextInt(2)];
          hasNoWorseVerdict =
              verdict == Verdict.NO_WORSE
                  && (active.state() == State.MOVING || active.state() == State.WATCHED);
          deployments.reportVerdict(active.number, active.stage(), verdict, "", now(), 0);
        }
        case 4 -> {
          restartBudget = random.nextInt(4);
          Map<Integer, Integer> byZone = new HashMap<>();
          for (int zone = 0; zone < ZONES; zone++) {
            byZone.put(zone, restartBudget);
          }
          deployments.setRestartBudget(byZone, random.nextInt(6) == 0 ? "a surge" : "", now(), 0);
        }
        case 5 -> deployments.setRolloutInProgress(random.nextInt(4) == 0, now(), 0);
        case 6 -> {
          if (deployments.pending() == null && active == null) {
            boolean runsOld = deployments.baselineVersion().equals(DeploymentManagerTest.OLD);
            deployments.propose(
                "any",
                "one",
                runsOld ? DeploymentManagerTest.NEW : DeploymentManagerTest.OLD,
                false,
                now(),
                0);
          }
        }
        case 7 -> {
          if (active != null && random.nextInt(10) == 0) {
            deployments.command(
                DeploymentManager.OperatorCommand.values()[random.nextInt(3)],
                active.number,
                "any",
                "one",
                now(),
                0);
          }
        }
        case 8, 9 -> {
          Deployment pending = deployments.pending();
          if (pending != null) {
            deployments.reportValidation(
                number, pending.number, random.nextInt(60) == 0 ? "no" : "", now(), 0);
          }
        }
        case 10 -> deployments.tick(now(), 0);
        default -> applyDesiredState(relay);
      }
    }

    void applyDesiredState(ManagedRelay relay) {
      Version version =
          relay.desiredVersion() == null ? relay.observedVersion() : relay.desiredVersion();
      deployments.reportStatus(
          relay.number, relay.zone(), relay.busy(), version, true, relay.generation(), now(), 0);
    }
  }

  @Property(tries = 300, seed = "11")
  void neverExceedsTheRestartBudgetNorAdvancesWithoutAVerdict(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int relays) {
    RandomFleet fleet = new RandomFleet(seed, relays);
    for (int i = 0; i < 600; i++) {
      fleet.performRandomEvent();
    }
  }

  @Property(tries = 200, seed = "12")
  void everyDeploymentEnds(@ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int relays) {
    RandomFleet fleet = new RandomFleet(seed, relays);
    for (int i = 0; i < 300; i++) {
      fleet.performRandomEvent();
    }
    fleet.deployments.setRolloutInProgress(false, fleet.now(), 0);
    fleet.restartBudget = 99;
    fleet.deployments.setRestartBudget(Map.of(), "", fleet.now(), 0);
    // Agents apply their desired states, no other event happens, and time passes.
    for (int i = 0; i < 400; i++) {
      fleet.nowMs += 5000;
      for (ManagedRelay relay : java.util.List.copyOf(fleet.deployments.relays())) {
        fleet.applyDesiredState(relay);
      }
      fleet.deployments.tick(fleet.now(), 0);
    }
    for (Deployment deployment : fleet.deployments.deployments()) {
      assertTrue(
          !deployment.state().isOpen(),
          "deployment "
              + deployment.number
              + " is still "
              + deployment.state()
              + ": "
              + fleet.deployments.blockers(deployment, fleet.now()));
    }
    for (ManagedRelay relay : fleet.deployments.relays()) {
      boolean rejected =
          fleet.deployments.deployments().stream()
              .anyMatch(deployment -> deployment.rejections().containsKey(relay.number));
      if (fleet.deployments.deployments().stream()
              .anyMatch(deployment -> deployment.state() == State.DONE)
          && !rejected) {
        assertEquals(relay.observedVersion(), fleet.deployments.currentVersion());
      }
    }
  }

  @Property(tries = 200, seed = "13")
  void aRestoredSnapshotEqualsTheOriginal(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 20) int relays) {
    RandomFleet fleet = new RandomFleet(seed, relays);
    for (int i = 0; i < 300; i++) {
      fleet.performRandomEvent();
      if (i % 50 != 0) {
        continue;
      }
      DeploymentManager restored =
          new DeploymentManager(
              DeploymentManagerTest.PLAN,
              new DeploymentManager.Listener() {
                @Override
                public void transitioned(Deployment deployment, Deployment.Transition transition) {}

                @Override
                public void desiredStateChanged(ManagedRelay relay) {}
              });
      DeploymentSnapshot snapshot = DeploymentSnapshot.of(fleet.deployments);
      snapshot.restore(restored);
      assertEquals(DeploymentSnapshot.of(restored), snapshot);
      assertEquals(
          restored.transitionDue(fleet.now()), fleet.deployments.transitionDue(fleet.now()));
    }
  }
}
