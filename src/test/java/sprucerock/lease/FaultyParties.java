package sprucerock.lease;

import java.util.Map;
import java.util.TreeMap;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** Factories of lease clients and grantors that each lack one safety rule. */
final class FaultyParties {
  private FaultyParties() {}

  private static LeaseSimulation.PartyFactory clients(ClientFactory factory) {
    return new LeaseSimulation.PartyFactory() {
      @Override
      public LeaseClient client(
          LeaseTerms terms,
          LeaseClient.Transport transport,
          int clientNumber,
          long incarnation,
          double randomValue) {
        return factory.create(terms, transport, randomValue, clientNumber, incarnation);
      }
    };
  }

  private interface ClientFactory {
    LeaseClient create(
        LeaseTerms terms,
        LeaseClient.Transport transport,
        double randomValue,
        int clientNumber,
        long incarnation);
  }

  private static LeaseSimulation.PartyFactory grantors(GrantorFactory factory) {
    return new LeaseSimulation.PartyFactory() {
      @Override
      public LeaseGrantor grantor(
          LeaseTerms terms,
          LeaseGrantor.Replies replies,
          Timestamp grantsFrom,
          Map<String, Grant> grants) {
        return factory.create(terms, replies, grantsFrom, grants);
      }
    };
  }

  private interface GrantorFactory {
    LeaseGrantor create(
        LeaseTerms terms,
        LeaseGrantor.Replies replies,
        Timestamp grantsFrom,
        Map<String, Grant> grants);
  }

  /** Returns the factories by the rule that their clients or grantors lack. */
  static Map<String, LeaseSimulation.PartyFactory> byMissingRule() {
    Map<String, LeaseSimulation.PartyFactory> factories = new TreeMap<>();
    factories.put(
        "a grantor grants nothing while a grant runs",
        grantors(
            (terms, replies, grantsFrom, grants) ->
                new LeaseGrantor(terms, replies, grantsFrom, grants) {
                  @Override
                  boolean isRunning(Grant grant, Timestamp now) {
                    return false;
                  }
                }));
    factories.put(
        "a token exceeds all earlier ones",
        grantors(
            (terms, replies, grantsFrom, grants) ->
                new LeaseGrantor(terms, replies, grantsFrom, grants) {
                  @Override
                  boolean exceedsToken(long token, Grant grant) {
                    return true;
                  }
                }));
    factories.put(
        "a grantor grants nothing for the longest term after its start",
        new LeaseSimulation.PartyFactory() {
          @Override
          public TimeSpan startupDelay(LeaseTerms terms) {
            return TimeSpan.ZERO;
          }
        });
    factories.put(
        "a quorum grants",
        clients(
            (terms, transport, randomValue, clientNumber, incarnation) ->
                new LeaseClient(
                    LeaseSimulation.NAME,
                    terms,
                    transport,
                    () -> randomValue,
                    clientNumber,
                    incarnation) {
                  @Override
                  int requiredGrants() {
                    return 1;
                  }
                }));
    factories.put(
        "the term counts from before the request",
        clients(
            (terms, transport, randomValue, clientNumber, incarnation) ->
                new LeaseClient(
                    LeaseSimulation.NAME,
                    terms,
                    transport,
                    () -> randomValue,
                    clientNumber,
                    incarnation) {
                  @Override
                  Timestamp termStart(Timestamp now) {
                    return now;
                  }
                }));
    factories.put(
        "the term is shortened by the drift",
        clients(
            (terms, transport, randomValue, clientNumber, incarnation) ->
                new LeaseClient(
                    LeaseSimulation.NAME,
                    terms,
                    transport,
                    () -> randomValue,
                    clientNumber,
                    incarnation) {
                  @Override
                  TimeSpan usableTerm() {
                    return terms.term();
                  }
                }));
    factories.put(
        "an answer counts only for its own round",
        clients(
            (terms, transport, randomValue, clientNumber, incarnation) ->
                new LeaseClient(
                    LeaseSimulation.NAME,
                    terms,
                    transport,
                    () -> randomValue,
                    clientNumber,
                    incarnation) {
                  @Override
                  boolean isCurrentRound(long answeredRound) {
                    return true;
                  }
                }));
    factories.put(
        "the receiver of acts rejects lower tokens",
        new LeaseSimulation.PartyFactory() {
          @Override
          public boolean rejectsLowerTokens() {
            return false;
          }
        });
    return factories;
  }
}
