package sprucerock.lease;

import java.util.Map;
import java.util.TreeMap;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Parties that each lack one guard. */
final class FaultyParties {
  private FaultyParties() {}

  private static LeaseSimulation.Makers candidates(Made made) {
    return new LeaseSimulation.Makers() {
      @Override
      public LeaseClient candidate(
          LeaseTerms terms, LeaseClient.Transport host, int me, long life, double chance) {
        return made.of(terms, host, chance, me, life);
      }
    };
  }

  private interface Made {
    LeaseClient of(LeaseTerms terms, LeaseClient.Transport host, double chance, int me, long life);
  }

  private static LeaseSimulation.Makers granters(MadeGranter made) {
    return new LeaseSimulation.Makers() {
      @Override
      public LeaseGrantor granter(
          LeaseTerms terms, LeaseGrantor.Replies host, Timestamp opens, Map<String, Grant> grants) {
        return made.of(terms, host, opens, grants);
      }
    };
  }

  private interface MadeGranter {
    LeaseGrantor of(
        LeaseTerms terms, LeaseGrantor.Replies host, Timestamp opens, Map<String, Grant> grants);
  }

  /** Each by what it lacks. */
  static Map<String, LeaseSimulation.Makers> all() {
    Map<String, LeaseSimulation.Makers> all = new TreeMap<>();
    all.put(
        "a granter minds what is out",
        granters(
            (terms, host, opens, grants) ->
                new LeaseGrantor(terms, host, opens, grants) {
                  @Override
                  boolean isRunning(Grant grant, Timestamp now) {
                    return false;
                  }
                }));
    all.put(
        "a number exceeds all before",
        granters(
            (terms, host, opens, grants) ->
                new LeaseGrantor(terms, host, opens, grants) {
                  @Override
                  boolean exceedsToken(long number, Grant grant) {
                    return true;
                  }
                }));
    all.put(
        "a granter sits out after its start",
        new LeaseSimulation.Makers() {
          @Override
          public TimeSpan sitsOut(LeaseTerms terms) {
            return TimeSpan.ZERO;
          }
        });
    all.put(
        "a majority grants",
        candidates(
            (terms, host, chance, me, life) ->
                new LeaseClient(LeaseSimulation.NAME, terms, host, () -> chance, me, life) {
                  @Override
                  int requiredGrants() {
                    return 1;
                  }
                }));
    all.put(
        "time counts from before it asked",
        candidates(
            (terms, host, chance, me, life) ->
                new LeaseClient(LeaseSimulation.NAME, terms, host, () -> chance, me, life) {
                  @Override
                  Timestamp termStart(Timestamp now) {
                    return now;
                  }
                }));
    all.put(
        "time is shortened by the drift",
        candidates(
            (terms, host, chance, me, life) ->
                new LeaseClient(LeaseSimulation.NAME, terms, host, () -> chance, me, life) {
                  @Override
                  TimeSpan usableTerm() {
                    return terms.term();
                  }
                }));
    all.put(
        "an answer counts for its own round",
        candidates(
            (terms, host, chance, me, life) ->
                new LeaseClient(LeaseSimulation.NAME, terms, host, () -> chance, me, life) {
                  @Override
                  boolean isCurrentRound(long ofRound) {
                    return true;
                  }
                }));
    all.put(
        "a place refuses lower numbers",
        new LeaseSimulation.Makers() {
          @Override
          public boolean fences() {
            return false;
          }
        });
    return all;
  }
}
