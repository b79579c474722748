package sprucerock.controller.deployment;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import sprucerock.time.Timestamp;

/**
 * All of a fleet's changes as plain values, to be kept and put back: what is not in it is not
 * needed to go on.
 */
public record DeploymentState(
    Version current,
    long sequence,
    long numbers,
    String weather,
    boolean releasing,
    Map<Integer, Integer> rooms,
    List<Integer> controls,
    List<OfRelay> relays,
    List<OfChange> changes) {
  /**
   * @param silentSince null while it is heard; {@code toldAt}, {@code readyAt}, {@code wanted}:
   *     null where there is none
   */
  public record OfRelay(
      int number,
      int zone,
      boolean busy,
      Version runs,
      boolean ready,
      Timestamp silentSince,
      Version wanted,
      int turn,
      int done,
      Timestamp toldAt,
      Timestamp readyAt) {}

  public record OfChange(
      long number,
      String who,
      String why,
      Version from,
      Version to,
      boolean live,
      Deployment.State state,
      int stage,
      Timestamp since,
      Timestamp progress,
      boolean held,
      Collection<Integer> checked,
      Map<Integer, String> refused,
      Collection<Integer> moved,
      Map<Integer, Integer> beside,
      Verdict verdict,
      List<Deployment.Step> steps) {}

  /** What there is now. */
  public static DeploymentState of(DeploymentManager all) {
    return new DeploymentState(
        all.current,
        all.sequence,
        all.numbers,
        all.weather,
        all.releasing,
        Map.copyOf(all.rooms),
        List.copyOf(all.controls),
        all.relays.values().stream()
            .map(
                one ->
                    new OfRelay(
                        one.number,
                        one.zone,
                        one.busy,
                        one.runs,
                        one.ready,
                        one.silentSince,
                        one.wanted,
                        one.turn,
                        one.done,
                        one.toldAt,
                        one.readyAt))
            .toList(),
        all.changes.values().stream()
            .map(
                one ->
                    new OfChange(
                        one.number,
                        one.who,
                        one.why,
                        one.from,
                        one.to,
                        one.live,
                        one.state,
                        one.stage,
                        one.since,
                        one.progress,
                        one.held,
                        one.checked,
                        one.refused,
                        one.moved,
                        one.beside,
                        one.verdict,
                        one.steps()))
            .toList());
  }

  /** Puts it back into one that has seen nothing yet. */
  public void into(DeploymentManager all) {
    all.current = current;
    all.sequence = sequence;
    all.numbers = numbers;
    all.weather = weather;
    all.releasing = releasing;
    all.rooms.putAll(rooms);
    all.controls.addAll(controls);
    for (OfRelay one : relays) {
      ManagedRelay relay = new ManagedRelay(one.number);
      relay.zone = one.zone;
      relay.busy = one.busy;
      relay.runs = one.runs;
      relay.ready = one.ready;
      relay.silentSince = one.silentSince;
      relay.wanted = one.wanted;
      relay.turn = one.turn;
      relay.done = one.done;
      relay.toldAt = one.toldAt;
      relay.readyAt = one.readyAt;
      all.relays.put(one.number, relay);
    }
    for (OfChange one : changes) {
      Deployment change =
          new Deployment(one.number, one.who, one.why, one.from, one.to, one.live, one.since);
      change.state = one.state;
      change.stage = one.stage;
      change.progress = one.progress;
      change.held = one.held;
      change.checked.addAll(one.checked);
      change.refused.putAll(one.refused);
      change.moved.addAll(one.moved);
      change.beside.putAll(one.beside);
      change.verdict = one.verdict;
      one.steps.forEach(change::add);
      all.changes.put(one.number, change);
    }
    all.known();
  }
}
