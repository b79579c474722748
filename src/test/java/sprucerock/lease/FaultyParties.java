package sprucerock.lease;

import java.util.Map;
import java.util.TreeMap;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Factories of parties that each lack one safety rule. */
final class FaultyParties {
  private FaultyParties() {}

  private static LeaseSimulation.PartyFactory clients(ClientFactory made) {
    return new LeaseSimulation.PartyFactory() {
      @Override
      public LeaseClient client(
          LeaseTerms terms, LeaseClient.Transport host, int me, long incarnation, double chance) {
        return made.of(terms, host, chance, me, incarnation);
      }
    };
  }

  private interface ClientFactory {
    LeaseClient of(
        LeaseTerms terms, LeaseClient.Transport host, double chance, int me, long incarnation);
  }

  private static LeaseSimulation.PartyFactory grantors(GrantorFactory made) {
    return new LeaseSimulation.PartyFactory() {
      @Override
      public LeaseGrantor grantor(
          LeaseTerms terms, LeaseGrantor.Replies host, Timestamp opens, Map<String, Grant> grants) {
        return made.of(terms, host, opens, grants);
      }
    };
  }

  private interface GrantorFactory {
    LeaseGrantor of(
        LeaseTerms terms, LeaseGrantor.Replies host, Timestamp opens, Map<String, Grant> grants);
  }

  /** Each by what it lacks. */
  static Map<String, LeaseSimulation.PartyFactory> all() {
    Map<String, LeaseSimulation.PartyFactory> all = new TreeMap<>();
    all.put(
        "a granter minds what is out",
        grantors(
            (terms, host, opens, grants) ->
                new LeaseGrantor(terms, host, opens, grants) {
                  @Override
                  boolean isRunning(Grant grant, Timestamp now) {
                    return false;
                  }
                }));
    all.put(
        "a number exceeds all before",
        grantors(
            (terms, host, opens, grants) ->
                new LeaseGrantor(terms, host, opens, grants) {
                  @Override
                  boolean exceedsToken(long token, Grant grant) {
                    return true;
                  }
                }));
    all.put(
        "a granter sits out after its start",
        new LeaseSimulation.PartyFactory() {
          @Override
          public TimeSpan startupDelay(LeaseTerms terms) {
            return TimeSpan.ZERO;
          }
        });
    all.put(
        "a majority grants",
        clients(
            (terms, host, chance, me, incarnation) ->
                new LeaseClient(LeaseSimulation.NAME, terms, host, () -> chance, me, incarnation) {
                  @Override
                  int requiredGrants() {
                    return 1;
                  }
                }));
    all.put(
        "time counts from before it asked",
        clients(
            (terms, host, chance, me, incarnation) ->
                new LeaseClient(LeaseSimulation.NAME, terms, host, () -> chance, me, incarnation) {
                  @Override
                  Timestamp termStart(Timestamp now) {
                    return now;
                  }
                }));
    all.put(
        "time is shortened by the drift",
        clients(
            (terms, host, chance, me, incarnation) ->
                new LeaseClient(LeaseSimulation.NAME, terms, host, () -> chance, me, incarnation) {
                  @Override
                  TimeSpan usableTerm() {
                    return terms.term();
                  }
                }));
    all.put(
        "an answer counts for its own round",
        clients(
            (terms, host, chance, me, incarnation) ->
                new LeaseClient(LeaseSimulation.NAME, terms, host, () -> chance, me, incarnation) {
                  @Override
                  boolean isCurrentRound(long ofRound) {
                    return true;
                  }
                }));
    all.put(
        "a place refuses lower numbers",
        new LeaseSimulation.PartyFactory() {
          @Override
          public boolean rejectsLowerTokens() {
            return false;
          }
        });
    return all;
  }
}
