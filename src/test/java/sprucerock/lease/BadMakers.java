package sprucerock.lease;

import java.util.Map;
import java.util.TreeMap;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Parties that each lack one guard. */
final class BadMakers {
  private BadMakers() {}

  private static World.Makers candidates(Made made) {
    return new World.Makers() {
      @Override
      public LeaseClient candidate(
          Terms terms, LeaseClient.Host host, int me, long life, double chance) {
        return made.of(terms, host, chance, me, life);
      }
    };
  }

  private interface Made {
    LeaseClient of(Terms terms, LeaseClient.Host host, double chance, int me, long life);
  }

  private static World.Makers granters(MadeGranter made) {
    return new World.Makers() {
      @Override
      public LeaseGrantor granter(
          Terms terms, LeaseGrantor.Host host, Timestamp opens, Map<String, Grant> grants) {
        return made.of(terms, host, opens, grants);
      }
    };
  }

  private interface MadeGranter {
    LeaseGrantor of(
        Terms terms, LeaseGrantor.Host host, Timestamp opens, Map<String, Grant> grants);
  }

  /** Each by what it lacks. */
  static Map<String, World.Makers> all() {
    Map<String, World.Makers> all = new TreeMap<>();
    all.put(
        "a granter minds what is out",
        granters(
            (terms, host, opens, grants) ->
                new LeaseGrantor(terms, host, opens, grants) {
                  @Override
                  boolean runs(Grant grant, Timestamp now) {
                    return false;
                  }
                }));
    all.put(
        "a number exceeds all before",
        granters(
            (terms, host, opens, grants) ->
                new LeaseGrantor(terms, host, opens, grants) {
                  @Override
                  boolean exceeds(long number, Grant grant) {
                    return true;
                  }
                }));
    all.put(
        "a granter sits out after its start",
        new World.Makers() {
          @Override
          public TimeSpan sitsOut(Terms terms) {
            return TimeSpan.ZERO;
          }
        });
    all.put(
        "a majority grants",
        candidates(
            (terms, host, chance, me, life) ->
                new LeaseClient(World.NAME, terms, host, () -> chance, me, life) {
                  @Override
                  int enough() {
                    return 1;
                  }
                }));
    all.put(
        "time counts from before it asked",
        candidates(
            (terms, host, chance, me, life) ->
                new LeaseClient(World.NAME, terms, host, () -> chance, me, life) {
                  @Override
                  Timestamp from(Timestamp now) {
                    return now;
                  }
                }));
    all.put(
        "time is shortened by the drift",
        candidates(
            (terms, host, chance, me, life) ->
                new LeaseClient(World.NAME, terms, host, () -> chance, me, life) {
                  @Override
                  TimeSpan usable() {
                    return terms.term();
                  }
                }));
    all.put(
        "an answer counts for its own round",
        candidates(
            (terms, host, chance, me, life) ->
                new LeaseClient(World.NAME, terms, host, () -> chance, me, life) {
                  @Override
                  boolean thisRound(long ofRound) {
                    return true;
                  }
                }));
    all.put(
        "a place refuses lower numbers",
        new World.Makers() {
          @Override
          public boolean fences() {
            return false;
          }
        });
    return all;
  }
}
