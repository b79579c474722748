package sprucerock.controller;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import sprucerock.controller.Rollout.Standing;
import sprucerock.controller.Rollout.Step;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * The releases of one fleet: what announcements, votes, operators and the time that passes make of
 * them. It does no I/O and reads no clock; the same inputs at the same times give the same state,
 * which is how it comes back after a crash. Whether a build is good is the relays' to judge: here
 * votes are only counted.
 */
public final class RolloutManager {
  /** What an announcement came to. */
  public enum Answer {
    TAKEN,
    /** The same delivery was taken before, with this answer then or another. */
    AGAIN,
    /** That build was announced before, just so. */
    KNOWN,
    /** That build was announced before as something else. */
    CONTRADICTS,
    /** A later build was announced before. */
    TOO_OLD,
    /** So many wait already. */
    TOO_MANY
  }

  /** What a vote came to. */
  public enum Taken {
    COUNTS,
    MOOT,
    TOO_MANY
  }

  public enum Say {
    NOTHING,
    ON,
    HOLD,
    BACK
  }

  public enum Action {
    HOLD,
    RESUME,
    WITHDRAW
  }

  /** Who acts on transitions: tells relays and others, has units started and taken away. */
  public interface Host {
    /** Told in the order in which they happen, each once by each life that makes it. */
    void changed(Rollout release, Step step);
  }

  /** A relay's standing vote. */
  static final class Ballot {
    int build;
    int stage;
    Say say = Say.NOTHING;
    Timestamp until;
    Timestamp second;
    int inSecond;
    private final int relay;

    Ballot(int relay) {
      this.relay = relay;
    }
  }

  /** A delivery that was answered, so that copies of it have the same answer. */
  record Delivery(String id, Timestamp at, Answer answer, String content) {}

  static final int MOST_WAITING = 20;
  static final int MOST_RELEASES = 100;
  static final int MOST_DELIVERIES = 50_000;
  static final int MOST_RELAYS = 10_000;
  static final TimeSpan REMEMBERED =
      TimeSpan.ofMs(7 * 24 * 3_600_000.0); // longer than senders retry: a day or three

  private final RolloutRules rules;
  private final int places;
  private final Host host;
  final TreeMap<Integer, Rollout> releases = new TreeMap<>();
  final TreeMap<Integer, Ballot> ballots = new TreeMap<>();
  final LinkedHashMap<String, Delivery> deliveries = new LinkedHashMap<>();
  long sequence;
  long delivered;
  long epoch;
  Rollout present;
  int earlier;
  private long wallMs;
  // Votes that stand for the present build and stage, the first to run out first: all others are
  // taken out as they are cast anew, as the release
  // moves and as time passes, so that a vote and a look each 50 ms walk no other vote.
  private final Map<Say, TreeSet<Ballot>> standing = new EnumMap<>(Say.class);
  private long looked;

  /** {@code places} units make up the fleet; {@code first} serves from the start. */
  public RolloutManager(RolloutRules rules, int places, int first, Timestamp now, Host host) {
    this.rules = rules;
    this.places = places;
    this.host = host;
    present = new Rollout(first, "", now);
    present.standing = Standing.RELEASED;
    present.stage = rules.stages().size() - 1;
    releases.put(first, present);
    earlier = first;
    for (Say say : Say.values()) {
      standing.put(
          say,
          new TreeSet<>(
              Comparator.<Ballot>comparingDouble(vote -> vote.until.ms())
                  .thenComparingInt(vote -> vote.relay)));
    }
  }

  // What is asked.

  /** The release that relays are told of: on trial, going back, released or withdrawn last. */
  public Rollout present() {
    return present;
  }

  /** The build that serves beside the one on trial, or alone. */
  public int earlier() {
    return earlier;
  }

  public Collection<Rollout> all() {
    return Collections.unmodifiableCollection(releases.values());
  }

  public Rollout of(int build) {
    return releases.get(build);
  }

  /** Transitions so far. */
  public long sequence() {
    return sequence;
  }

  /** How often the controller started on this state: what it tells in a later start is newer. */
  public long epoch() {
    return epoch;
  }

  /** Up to which transition outgoing webhooks were taken, or given up. */
  public long delivered() {
    return delivered;
  }

  /** What relays are to know: of which build, how it stands, and the cap on its exposure. */
  public record News(int build, int stage, Standing standing, double cap, Timestamp since) {}

  /**
   * The news as it is now. A build whose units only start is none yet: until then what was before
   * it is told.
   */
  public News news() {
    return switch (present.standing) {
      case ON_TRIAL ->
          new News(
              present.build,
              present.stage,
              Standing.ON_TRIAL,
              rules.stages().get(present.stage).cap(),
              present.since);
      case GOING_BACK, WITHDRAWN ->
          new News(present.build, present.stage, present.standing, 0, present.since);
      case RELEASED -> new News(present.build, present.stage, Standing.RELEASED, 1, present.since);
      default -> {
        Rollout before = releases.lowerEntry(present.build).getValue();
        boolean serves = before.build == earlier;
        yield new News(
            before.build,
            before.stage,
            serves ? Standing.RELEASED : Standing.WITHDRAWN,
            serves ? 1 : 0,
            before.since);
      }
    };
  }

  /** How many units of a build there should be now. */
  public int wanted(Rollout release) {
    return switch (release.standing) {
      case STARTING, ON_TRIAL -> wanted(release.stage);
      case RELEASED ->
          release == present || release.build == earlier && present.standing != Standing.RELEASED
              ? places
              : 0;
      default -> 0;
    };
  }

  /** Of all units, that a release takes while it is decided. */
  double share(Rollout release) {
    return rules.stages().get(release.stage).share();
  }

  private int wanted(int stage) {
    return (int) Math.max(1, Math.ceil(rules.stages().get(stage).share() * places - 1e-9));
  }

  /** Relays whose votes of a kind stand for the present build and stage. */
  public List<Integer> standing(Say say, Timestamp now) {
    TreeSet<Integer> found = new TreeSet<>();
    for (Ballot vote : lasting(say, now)) {
      found.add(vote.relay);
    }
    return List.copyOf(found);
  }

  private int count(Say say, Timestamp now) {
    return lasting(say, now).size();
  }

  /** Without those whose time is over; time never goes back. */
  private TreeSet<Ballot> lasting(Say say, Timestamp now) {
    TreeSet<Ballot> all = standing.get(say);
    while (!all.isEmpty()) {
      looked++;
      if (all.first().until.after(now)) {
        break;
      }
      all.pollFirst();
    }
    return all;
  }

  /** Votes of a former life are there, and what they are on. */
  void known() {
    standing.values().forEach(TreeSet::clear);
    for (Ballot vote : ballots.values()) {
      boolean stands =
          vote.say != Say.NOTHING
              && vote.build == present.build
              && (vote.say == Say.BACK || vote.stage == present.stage);
      if (stands) {
        standing.get(vote.say).add(vote);
      }
    }
  }

  /** They were on what it was. */
  private void forgetVotes() {
    ballots.values().forEach(vote -> vote.say = Say.NOTHING);
    standing.values().forEach(TreeSet::clear);
  }

  /** Votes that were looked at so far to count them: what tests of its growth count. */
  public long looked() {
    return looked;
  }

  /** Why the present release stands where it stands, in one line each. */
  public List<String> waitsFor(Timestamp now) {
    List<String> found = new ArrayList<>();
    Rollout open = open();
    if (open == null) {
      return found;
    }
    if (open.held) {
      found.add("an operator holds it");
    }
    if (open.standing == Standing.ANNOUNCED) {
      found.add("build " + present.build + " to have gone back");
    }
    if (open.standing == Standing.GOING_BACK) {
      found.add("its time of going back to be over");
    }
    boolean running = open.standing == Standing.STARTING || open.standing == Standing.ON_TRIAL;
    if (running && open.endpoints < wanted(open.stage)) {
      found.add("units: " + open.endpoints + " of " + wanted(open.stage) + " are there");
    }
    if (open.standing != Standing.ON_TRIAL || open.clock == null) {
      return found;
    }
    TimeSpan so = now.since(open.clock).minus(open.heldFor);
    if (rules.control() == RolloutRules.Control.CLOCKED) {
      found.add(
          "the clock: "
              + Math.round(so.ms())
              + " of "
              + Math.round(rules.step().ms())
              + " ms; "
              + count(Say.HOLD, now)
              + " relays hold it, "
              + rules.hold()
              + " stop it");
    } else {
      if (!so.over(rules.least())) {
        found.add(
            "its least time: "
                + Math.round(so.ms())
                + " of "
                + Math.round(rules.least().ms())
                + " ms");
      }
      found.add("votes to go on: " + count(Say.ON, now) + " of " + rules.on());
    }
    found.add("votes to go back: " + count(Say.BACK, now) + " of " + rules.back());
    return found;
  }

  private Rollout open() {
    for (Rollout one : releases.descendingMap().values()) {
      if (one.standing.open()) {
        return one;
      }
    }
    return null;
  }

  // What happens. Each with the time, and the wall's clock for people.

  /** A build was announced; a delivery that was answered before has that answer again. */
  public Answer announced(
      String delivery, int build, String artifact, String source, Timestamp now, long wall) {
    wallMs = wall;
    forget(now);
    String content = build + " " + artifact;
    Delivery before = deliveries.get(delivery);
    if (before != null) {
      return before.content.equals(content) ? Answer.AGAIN : Answer.CONTRADICTS;
    }
    Answer answer = announce(build, artifact, source, now);
    deliveries.put(delivery, new Delivery(delivery, now, answer, content));
    return answer;
  }

  private void forget(Timestamp now) {
    Iterator<Delivery> oldest = deliveries.values().iterator();
    while (oldest.hasNext()) {
      boolean old = now.since(oldest.next().at).over(REMEMBERED);
      if (!old && deliveries.size() < MOST_DELIVERIES) {
        return;
      }
      oldest.remove();
    }
  }

  private Answer announce(int build, String artifact, String source, Timestamp now) {
    Rollout known = releases.get(build);
    if (known != null) {
      return known.artifact.equals(artifact) ? Answer.KNOWN : Answer.CONTRADICTS;
    }
    if (build <= releases.lastKey()) {
      return Answer.TOO_OLD;
    }
    long waiting =
        releases.values().stream().filter(one -> one.standing == Standing.ANNOUNCED).count();
    if (waiting >= MOST_WAITING) {
      return Answer.TOO_MANY;
    }
    Rollout made = new Rollout(build, artifact, now);
    releases.put(build, made);
    step(made, Standing.ANNOUNCED, 0, "announced by " + source, now);
    for (Rollout one : List.copyOf(releases.values())) {
      if (one != made
          && (one.standing == Standing.ON_TRIAL
              || one.standing == Standing.STARTING
              || one.standing == Standing.ANNOUNCED)) {
        step(one, Standing.SUPERSEDED, one.stage, "build " + build + " was announced", now);
      }
    }
    begin(now);
    while (releases.size() > MOST_RELEASES
        && !releases.firstEntry().getValue().standing.open()
        && releases.firstKey() != earlier
        && releases.firstEntry().getValue() != present) {
      releases.pollFirstEntry();
    }
    return Answer.TAKEN;
  }

  /** The one that waits begins once none is in its way: never are two on trial. */
  private void begin(Timestamp now) {
    if (present.standing == Standing.GOING_BACK) {
      return;
    }
    Rollout next = open();
    if (next == null || next.standing != Standing.ANNOUNCED) {
      return;
    }
    if (present.standing == Standing.RELEASED) {
      earlier = present.build;
    }
    present = next;
    forgetVotes();
    step(next, Standing.STARTING, 0, "nothing is in its way", now);
  }

  /** A relay votes. Only votes on the present build and its stage count. */
  public Taken cast(int relay, int build, int stage, Say say, Timestamp now, long wall) {
    wallMs = wall;
    Ballot vote = ballots.get(relay);
    if (vote == null) {
      if (ballots.size() >= MOST_RELAYS) {
        return Taken.TOO_MANY;
      }
      vote = new Ballot(relay);
      ballots.put(relay, vote);
    }
    if (vote.second == null || now.since(vote.second).ms() >= 1000) {
      vote.second = now;
      vote.inSecond = 0;
    }
    if (++vote.inSecond > rules.votesASecond()) {
      return Taken.TOO_MANY;
    }
    boolean trial = present.standing == Standing.ON_TRIAL;
    boolean clocked = rules.control() == RolloutRules.Control.CLOCKED;
    boolean fits =
        build == present.build
            && switch (say) {
              case ON -> trial && !clocked && stage == present.stage;
              case HOLD -> trial && clocked && stage == present.stage;
              case BACK -> trial || watched(now);
              case NOTHING -> true;
            };
    if (!fits) {
      return Taken.MOOT;
    }
    if (clocked && trial) {
      countHeld(now);
    }
    if (vote.until != null) {
      standing.get(vote.say).remove(vote);
    }
    vote.build = build;
    vote.stage = stage;
    vote.say = say;
    vote.until = now.plus(rules.voteLife());
    if (say != Say.NOTHING) {
      standing.get(say).add(vote);
    }
    settle(now);
    return Taken.COUNTS;
  }

  /** A released build is watched for a time, if there is one to go back to. */
  private boolean watched(Timestamp now) {
    return present.standing == Standing.RELEASED
        && earlier != present.build
        && !now.since(present.since).over(rules.watch());
  }

  /** An operator's word, which is stronger than votes; says why it has no effect, or null. */
  public String word(
      Action action, int build, String who, String reason, Timestamp now, long wall) {
    wallMs = wall;
    Rollout release = releases.get(build);
    if (release == null) {
      return "no build " + build + " is known";
    }
    String cause = who + ": " + reason;
    boolean running =
        release.standing == Standing.STARTING
            || release.standing == Standing.ON_TRIAL
            || release.standing == Standing.ANNOUNCED;
    switch (action) {
      case HOLD -> {
        if (!running) {
          return "build " + build + " is " + words(release) + ": there is nothing to hold";
        }
        if (release.held) {
          return "build " + build + " is held already";
        }
        release.held = true;
        release.heldSince = now;
        step(release, release.standing, release.stage, "held by " + cause, now);
      }
      case RESUME -> {
        if (!release.held) {
          return "build " + build + " is not held";
        }
        release.held = false;
        if (release.clock != null) {
          release.heldFor = release.heldFor.plus(now.since(release.heldSince.later(release.clock)));
        }
        step(release, release.standing, release.stage, "resumed by " + cause, now);
        settle(now);
      }
      case WITHDRAW -> {
        boolean last =
            release == present && release.standing == Standing.RELEASED && earlier != release.build;
        if (!running && !last) {
          return "build " + build + " is " + words(release) + ": it can't be withdrawn";
        }
        release.held = false;
        if (release.standing == Standing.ANNOUNCED) {
          step(release, Standing.WITHDRAWN, 0, "withdrawn by " + cause, now);
        } else {
          goBack(release, "withdrawn by " + cause, now);
        }
      }
      default -> throw new IllegalArgumentException("no such action");
    }
    return null;
  }

  private static String words(Rollout release) {
    return release.standing.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
  }

  /** So many units of a build are there. */
  public void ready(int build, int endpoints, Timestamp now, long wall) {
    wallMs = wall;
    Rollout release = releases.get(build);
    if (release == null) {
      return;
    }
    release.endpoints = endpoints;
    settle(now);
  }

  /** Time has passed. */
  public void tick(Timestamp now, long wall) {
    wallMs = wall;
    settle(now);
  }

  /**
   * The controller was down for so long by the wall's clock; below zero: that was set back, and
   * nobody knows how old votes are. The time does not count for a stage.
   */
  public void restarted(long downMs, Timestamp now, long wall) {
    wallMs = wall;
    epoch++;
    if (downMs < 0) {
      forgetVotes();
    }
    if (downMs > 0 && present.clock != null) {
      present.heldFor = present.heldFor.plus(TimeSpan.ofMs(downMs));
    }
    if (downMs > 0 && present.standing == Standing.STARTING) {
      present.since = present.since.plus(TimeSpan.ofMs(downMs));
    }
    settle(now);
  }

  /** Outgoing webhooks up to a transition are done with. */
  public void delivered(long upTo) {
    delivered = Math.max(delivered, Math.min(upTo, sequence));
  }

  /** Whether a tick now would change anything: only then is it worth recording. */
  public boolean due(Timestamp now) {
    return switch (present.standing) {
      case STARTING -> startIsOver(now) || !present.held && present.endpoints >= wanted(0);
      case GOING_BACK -> now.since(present.since).over(rules.goingBack());
      case ON_TRIAL ->
          startIsOver(now)
              || count(Say.BACK, now) >= rules.back()
              || mayGoOn(now)
              || clockRuns(now) != present.clockRan;
      case RELEASED -> watched(now) && count(Say.BACK, now) >= rules.back();
      default -> false;
    };
  }

  private boolean startIsOver(Timestamp now) {
    return present.clock == null
        && !present.held
        && now.since(present.since).over(rules.startWithin());
  }

  private boolean clockRuns(Timestamp now) {
    return count(Say.HOLD, now) < rules.hold();
  }

  private void countHeld(Timestamp now) {
    if (!present.clockRan && present.clockStopped != null && present.clock != null) {
      present.heldFor = present.heldFor.plus(now.since(present.clockStopped));
    }
    present.clockStopped = now;
  }

  private boolean mayGoOn(Timestamp now) {
    if (present.clock == null || present.held) {
      return false;
    }
    TimeSpan so = now.since(present.clock).minus(present.heldFor);
    if (rules.control() != RolloutRules.Control.CLOCKED) {
      return so.over(rules.least()) && count(Say.ON, now) >= rules.on();
    }
    return clockRuns(now) && present.clockRan && so.over(rules.step());
  }

  /** Does all that is due now. */
  private void settle(Timestamp now) {
    if (rules.control() == RolloutRules.Control.CLOCKED && present.standing == Standing.ON_TRIAL) {
      countHeld(now);
      present.clockRan = clockRuns(now);
    }
    if (present.standing == Standing.STARTING && !present.held && present.endpoints >= wanted(0)) {
      step(present, Standing.ON_TRIAL, 0, present.endpoints + " units are there", now);
      present.clock = now;
    }
    if (present.standing == Standing.ON_TRIAL
        && present.clock == null
        && present.endpoints >= wanted(present.stage)) {
      present.clock = now;
    }
    if ((present.standing == Standing.STARTING || present.standing == Standing.ON_TRIAL)
        && startIsOver(now)) {
      goBack(
          present,
          "its units did not start: " + present.endpoints + " of " + wanted(present.stage),
          now);
    } else if (present.standing == Standing.ON_TRIAL && count(Say.BACK, now) >= rules.back()) {
      goBack(present, "votes to go back of relays " + standing(Say.BACK, now), now);
    } else if (present.standing == Standing.RELEASED
        && watched(now)
        && count(Say.BACK, now) >= rules.back()) {
      goBack(
          present,
          "votes to go back of relays " + standing(Say.BACK, now) + " after its release",
          now);
    } else if (present.standing == Standing.ON_TRIAL && mayGoOn(now)) {
      goOn(now);
    } else if (present.standing == Standing.GOING_BACK
        && now.since(present.since).over(rules.goingBack())) {
      step(present, Standing.WITHDRAWN, present.stage, "it has gone back", now);
      begin(now);
    }
  }

  private void goOn(Timestamp now) {
    String cause =
        rules.control() == RolloutRules.Control.CLOCKED
            ? "its time is over"
            : "votes to go on of relays " + standing(Say.ON, now);
    boolean last = present.stage + 1 >= rules.stages().size();
    if (last) {
      step(present, Standing.RELEASED, present.stage, cause, now);
    } else {
      step(present, Standing.ON_TRIAL, present.stage + 1, cause, now);
    }
    present.clock = !last && present.endpoints >= wanted(present.stage) ? now : null;
  }

  private void goBack(Rollout release, String cause, Timestamp now) {
    step(release, Standing.GOING_BACK, release.stage, cause, now);
  }

  private void step(Rollout release, Standing to, int stage, String cause, Timestamp now) {
    boolean moves = release.standing != to || release.stage != stage;
    release.standing = to;
    release.stage = stage;
    if (moves || release.steps().isEmpty()) {
      release.since = now;
      release.clock = null;
      release.heldFor = TimeSpan.ZERO;
      release.clockStopped = now;
      release.clockRan = true;
      if (release == present) {
        forgetVotes();
      }
    }
    Step step = new Step(++sequence, now, wallMs, to, stage, cause);
    release.add(step);
    host.changed(release, step);
  }
}
