package sprucerock.lease;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * A state of the clients and grantors of one lease, with every message that was ever sent. A
 * message that is never delivered is lost, one that is delivered again is a duplicate, and one that
 * is delivered later or before another is delayed. {@link #copy} branches a simulation. The checker
 * reads only which clients hold the lease at the same true time, and which acts the receiver of
 * acts admitted.
 */
final class LeaseSimulation {
  static final String NAME = "seat";

  /** Creates the clients and grantors: the real ones, or ones that lack a safety rule. */
  interface PartyFactory {
    default LeaseTerms terms(LeaseTerms terms) {
      return terms;
    }

    default LeaseClient client(
        LeaseTerms terms,
        LeaseClient.Transport transport,
        int clientNumber,
        long incarnation,
        double randomValue) {
      return new LeaseClient(NAME, terms, transport, () -> randomValue, clientNumber, incarnation);
    }

    default LeaseGrantor grantor(
        LeaseTerms terms,
        LeaseGrantor.Replies replies,
        Timestamp grantsFrom,
        Map<String, Grant> grants) {
      return new LeaseGrantor(terms, replies, grantsFrom, grants);
    }

    /** Returns whether a client may send an act. */
    default boolean mayAct(LeaseClient client, Timestamp now) {
      return client.isHeldAt(now);
    }

    default boolean rejectsLowerTokens() {
      return true;
    }

    /** Returns how long a grantor grants nothing after a restart. */
    default TimeSpan startupDelay(LeaseTerms terms) {
      return terms.maxTerm();
    }
  }

  enum Kind {
    REQUEST,
    GRANTED,
    REJECTED,
    RELEASE,
    ACT
  }

  record Message(
      Kind kind,
      int client,
      int grantor,
      long incarnation,
      long token,
      long round,
      long highest,
      TimeSpan minWait,
      boolean held)
      implements Comparable<Message> {
    @Override
    public int compareTo(Message other) {
      int order =
          Integer.compare(
              kind.ordinal() * 100 + client * 10 + grantor,
              other.kind.ordinal() * 100 + other.client * 10 + other.grantor);
      if (order == 0) {
        order = Long.compare(token, other.token);
      }
      if (order == 0) {
        order = Long.compare(round, other.round);
      }
      if (order == 0) {
        order = Long.compare(incarnation, other.incarnation);
      }
      if (order == 0) {
        order = Long.compare(highest, other.highest);
      }
      return order != 0 || minWait == null
          ? order
          : Double.compare(minWait.ms(), other.minWait.ms());
    }
  }

  private final PartyFactory factory;
  private final LeaseTerms terms;

  /** The value that the clients' source of random numbers always returns, from 0 to under 1. */
  private final double randomValue;

  private final double[] clientClockRates;
  private final double[] grantorClockRates;
  int tick;
  private final LeaseClient[] clients;
  private final boolean[] stalled;
  private final long[] incarnations;
  private final Timestamp[] grantsFrom;
  private final List<Map<String, Grant>> grants = new ArrayList<>();
  private TreeSet<Message> sent = new TreeSet<>();

  /** The messages in the order in which they were sent. Copies do not keep it. */
  private final List<Message> sentInOrder = new ArrayList<>();

  /** The number of rounds of requests that the clients have begun. */
  private int requests;

  int grantorCrashes;
  int clientCrashes;
  int stalls;
  private FencingTokenRegistry registry = new FencingTokenRegistry();

  /** The highest token of an admitted act, recorded by the checker. */
  private long highestAdmittedToken;

  private long highestAcquiredToken;
  String violation;
  int acquisitions;

  /**
   * Whether rejections and acts are left out. A timeout leads to the same states as a rejection.
   */
  boolean withoutRejectionsAndActs;

  LeaseSimulation(
      PartyFactory factory,
      LeaseTerms unmodifiedTerms,
      double randomValue,
      double[] clientClockRates,
      double[] grantorClockRates) {
    this.factory = factory;
    this.randomValue = randomValue;
    terms = factory.terms(unmodifiedTerms);
    this.clientClockRates = clientClockRates;
    this.grantorClockRates = grantorClockRates;
    clients = new LeaseClient[clientClockRates.length];
    stalled = new boolean[clients.length];
    incarnations = new long[clients.length];
    grantsFrom = new Timestamp[grantorClockRates.length];
    for (int i = 0; i < grantsFrom.length; i++) {
      grantsFrom[i] = Timestamp.ofMs(0);
      grants.add(Map.of());
    }
    for (int i = 0; i < clients.length; i++) {
      clients[i] = createClient(i);
    }
    for (LeaseClient client : clients) {
      client.acquire(Timestamp.ofMs(0), 1);
    }
  }

  private LeaseSimulation(LeaseSimulation other) {
    factory = other.factory;
    terms = other.terms;
    randomValue = other.randomValue;
    clientClockRates = other.clientClockRates;
    grantorClockRates = other.grantorClockRates;
    tick = other.tick;
    clients = new LeaseClient[other.clients.length];
    stalled = other.stalled.clone();
    incarnations = other.incarnations.clone();
    grantsFrom = other.grantsFrom.clone();
    // The maps are replaced and never changed, so copies can share them.
    grants.addAll(other.grants);
    sent = new TreeSet<>(other.sent);
    requests = other.requests;
    grantorCrashes = other.grantorCrashes;
    clientCrashes = other.clientCrashes;
    stalls = other.stalls;
    highestAdmittedToken = other.highestAdmittedToken;
    withoutRejectionsAndActs = other.withoutRejectionsAndActs;
    highestAcquiredToken = other.highestAcquiredToken;
    if (other.registry.highestToken(NAME) > 0) {
      registry.admits(NAME, other.registry.highestToken(NAME));
    }
    for (int i = 0; i < clients.length; i++) {
      clients[i] = createClient(i);
      clients[i].copyStateFrom(other.clients[i]);
    }
  }

  LeaseSimulation copy() {
    return new LeaseSimulation(this);
  }

  private LeaseClient createClient(int client) {
    return factory.client(
        terms,
        new LeaseClient.Transport() {
          @Override
          public void request(int grantor, String name, long token, long round) {
            if (grantor == 0) {
              requests++;
            }
            send(
                new Message(
                    Kind.REQUEST,
                    client,
                    grantor,
                    incarnations[client],
                    token,
                    round,
                    0,
                    TimeSpan.ZERO,
                    false));
          }

          @Override
          public void release(int grantor, String name, long token, int successor) {
            send(
                new Message(
                    Kind.RELEASE,
                    client,
                    grantor,
                    incarnations[client],
                    token,
                    0,
                    0,
                    TimeSpan.ZERO,
                    false));
          }

          @Override
          public void acquired(String name, long token) {
            acquisitions++;
            if (token <= highestAcquiredToken) {
              violation = "lease acquired under token " + token + " after " + highestAcquiredToken;
            }
            highestAcquiredToken = Math.max(highestAcquiredToken, token);
          }

          @Override
          public void lost(String name, long token, String reason) {
            // The checker reads the clients' state instead.
          }
        },
        client,
        incarnations[client],
        randomValue);
  }

  private boolean send(Message message) {
    boolean isNew = sent.add(message);
    if (isNew) {
      sentInOrder.add(message);
    }
    return isNew;
  }

  private Timestamp clock(int client) {
    return Timestamp.ofMs(tick * clientClockRates[client]);
  }

  /**
   * Returns the number of events to choose from: a tick, the delivery of each message, and client
   * and grantor events. Not all of them can happen in every state.
   */
  int choiceCount() {
    return 1 + sent.size() + clients.length * 4 + grantsFrom.length;
  }

  /** Delivers all messages of a kind from or to one client. */
  void deliverAll(Kind kind, int client) {
    for (Message message : List.copyOf(sent)) {
      if (message.kind == kind && message.client == client) {
        deliver(message);
      }
    }
  }

  /** Delivers all messages of a kind, client, grantor and round. */
  void deliverAll(Kind kind, int client, int grantor, long round) {
    for (Message message : List.copyOf(sent)) {
      if (message.kind == kind
          && message.client == client
          && message.grantor == grantor
          && message.round == round) {
        deliver(message);
      }
    }
  }

  /** Advances the time until the clients have begun a number of rounds of requests. */
  void runUntilRequests(int upToRequests) {
    while (requests < upToRequests) {
      apply(0, Integer.MAX_VALUE, 0, 0, 0);
    }
  }

  /**
   * Applies an event to a client. 0 sends an act, 1 restarts the client, 2 releases the lease, 3
   * stalls or resumes the client.
   */
  void applyClientEvent(int client, int event) {
    applyClientEvent(client, event, Integer.MAX_VALUE, 0, Integer.MAX_VALUE);
  }

  /** Returns the number of possible next events that are neither a tick nor a message. */
  int clientAndGrantorEventCount() {
    return clients.length * 4 + grantsFrom.length;
  }

  /** Returns whether an event is the release of the lease by its holder. */
  boolean isRelease(int choice) {
    int event = choice - 1 - sent.size();
    return event >= 0 && event < clients.length * 4 && event % 4 == 2;
  }

  /** Returns the index of one of the six messages that were sent last. */
  int recentMessageIndex(java.util.Random random) {
    int from = Math.max(0, sentInOrder.size() - 6);
    Message message = sentInOrder.get(from + random.nextInt(sentInOrder.size() - from));
    return sent.headSet(message).size();
  }

  /** Applies one of the possible events. Returns false if it can't happen in this state. */
  boolean apply(
      int choice, int maxRequests, int maxGrantorCrashes, int maxClientCrashes, int maxStalls) {
    if (choice == 0) {
      tick++;
      for (int i = 0; i < clients.length; i++) {
        if (!stalled[i] && requests < maxRequests) {
          clients[i].tick(clock(i), 1 + tick);
        }
      }
      return checkHolders();
    }
    choice--;
    if (choice < sent.size()) {
      Message message = null;
      for (Message candidate : sent) {
        if (choice-- == 0) {
          message = candidate;
        }
      }
      return deliver(message);
    }
    choice -= sent.size();
    int client = choice / 4;
    if (client < clients.length) {
      return applyClientEvent(client, choice % 4, maxRequests, maxClientCrashes, maxStalls);
    }
    if (grantorCrashes >= maxGrantorCrashes) {
      return false;
    }
    int grantor = choice - 4 * clients.length;
    grantorCrashes++;
    grants.set(grantor, Map.of());
    grantsFrom[grantor] =
        Timestamp.ofMs(tick * grantorClockRates[grantor]).plus(factory.startupDelay(terms));
    return checkHolders();
  }

  private boolean applyClientEvent(
      int client, int event, int maxRequests, int maxClientCrashes, int maxStalls) {
    switch (event) {
      case 0 -> {
        // The client checks its lease and sends an act, which may be delivered at any time.
        if (withoutRejectionsAndActs
            || stalled[client]
            || !factory.mayAct(clients[client], clock(client))) {
          return false;
        }
        return send(
            new Message(
                Kind.ACT,
                client,
                0,
                incarnations[client],
                clients[client].token(),
                0,
                0,
                TimeSpan.ZERO,
                false));
      }
      case 1 -> {
        if (clientCrashes >= maxClientCrashes) {
          return false;
        }
        clientCrashes++;
        incarnations[client]++;
        stalled[client] = false;
        clients[client] = createClient(client);
        // The wall clock does not go back with the restart.
        clients[client].acquire(clock(client), 1 + tick);
      }
      case 2 -> {
        // The client releases the lease and campaigns for it again.
        if (stalled[client]
            || requests >= maxRequests
            || !clients[client].isHeldAt(clock(client))) {
          return false;
        }
        clients[client].release(-1);
        clients[client].acquire(clock(client), 1 + tick);
      }
      default -> {
        if (!stalled[client] && stalls >= maxStalls) {
          return false;
        }
        if (!stalled[client]) {
          stalls++;
        }
        stalled[client] = !stalled[client];
      }
    }
    return checkHolders();
  }

  private boolean deliver(Message message) {
    int client = message.client;
    if (message.kind == Kind.ACT) {
      boolean admitted = registry.admits(NAME, message.token) || !factory.rejectsLowerTokens();
      if (admitted && message.token < highestAdmittedToken) {
        violation =
            "an act under token "
                + message.token
                + " was admitted after one under "
                + highestAdmittedToken;
      }
      if (admitted) {
        highestAdmittedToken = Math.max(highestAdmittedToken, message.token);
      }
      return checkHolders();
    }
    if (message.kind == Kind.GRANTED || message.kind == Kind.REJECTED) {
      if (message.incarnation != incarnations[client] || stalled[client]) {
        return false;
      }
      if (message.kind == Kind.GRANTED) {
        clients[client].handleGrant(message.grantor, message.token, message.round, clock(client));
      } else {
        clients[client].handleRejection(
            message.grantor,
            message.token,
            message.round,
            message.highest,
            message.minWait,
            message.held,
            clock(client));
      }
      return checkHolders();
    }
    int grantorNumber = message.grantor;
    LeaseGrantor grantor =
        factory.grantor(
            terms,
            new LeaseGrantor.Replies() {
              @Override
              public void sendGranted(int client, String name, long token, long round) {
                send(
                    new Message(
                        Kind.GRANTED,
                        client,
                        grantorNumber,
                        message.incarnation,
                        token,
                        round,
                        0,
                        TimeSpan.ZERO,
                        false));
              }

              @Override
              public void sendRejected(
                  int client,
                  String name,
                  long token,
                  long round,
                  long highest,
                  TimeSpan minWait,
                  LeaseGrantor.Rejection reason) {
                if (!withoutRejectionsAndActs) {
                  send(
                      new Message(
                          Kind.REJECTED,
                          client,
                          grantorNumber,
                          message.incarnation,
                          token,
                          round,
                          highest,
                          minWait,
                          reason == LeaseGrantor.Rejection.HELD));
                }
              }

              @Override
              public void sendAvailable(int client, String name) {
                // A notification only shortens the wait.
              }
            },
            grantsFrom[grantorNumber],
            grants.get(grantorNumber));
    Timestamp now = Timestamp.ofMs(tick * grantorClockRates[grantorNumber]);
    if (message.kind == Kind.REQUEST) {
      grantor.request(client, message.incarnation, NAME, message.token, message.round, now);
    } else {
      grantor.release(client, message.incarnation, NAME, message.token, -1, now);
    }
    grants.set(grantorNumber, new TreeMap<>(grantor.grants()));
    return checkHolders();
  }

  /**
   * Records a violation if two clients hold the lease at the same true time. Returns true, the
   * result of an event that happened.
   */
  private boolean checkHolders() {
    int holders = 0;
    for (int i = 0; i < clients.length; i++) {
      if (clients[i].isHeldAt(clock(i))) {
        holders++;
      }
    }
    if (holders > 1) {
      violation = "two clients hold the lease at tick " + tick;
    }
    return true;
  }

  /** Returns the number of clients that hold the lease now by their own clocks. */
  int holderCount() {
    int holders = 0;
    for (int i = 0; i < clients.length; i++) {
      if (clients[i].isHeldAt(clock(i))) {
        holders++;
      }
    }
    return holders;
  }

  int requests() {
    return requests;
  }

  /**
   * Returns the state as text. States with equal texts have equal successors. Grantors are sorted,
   * so that states that differ only in the numbers of grantors have equal texts.
   */
  String stateText() {
    List<String> grantorTexts = new ArrayList<>();
    for (int grantorNumber = 0; grantorNumber < grantsFrom.length; grantorNumber++) {
      StringBuilder grantorText =
          new StringBuilder()
              .append(grantorClockRates[grantorNumber])
              .append(grantsFrom[grantorNumber].ms())
              .append(grants.get(grantorNumber).get(NAME));
      for (Message message : sent) {
        if (message.kind != Kind.ACT && message.grantor == grantorNumber) {
          grantorText
              .append(message.kind.ordinal())
              .append(message.client)
              .append(',')
              .append(message.incarnation)
              .append(',')
              .append(message.token)
              .append(',')
              .append(message.round)
              .append(',')
              .append(message.highest)
              .append(',')
              .append(message.minWait.ms())
              .append(';');
        }
      }
      for (LeaseClient client : clients) {
        grantorText.append(client.voteOf(grantorNumber));
      }
      grantorTexts.add(grantorText.toString());
    }
    Collections.sort(grantorTexts);
    StringBuilder text =
        new StringBuilder()
            .append(tick)
            .append(grantorTexts)
            .append(requests)
            .append(grantorCrashes)
            .append(clientCrashes)
            .append(stalls)
            .append(highestAdmittedToken)
            .append(' ')
            .append(highestAcquiredToken);
    for (int i = 0; i < clients.length; i++) {
      text.append(clients[i].stateWithoutVotes()).append(stalled[i]).append(incarnations[i]);
    }
    for (Message message : sent) {
      if (message.kind == Kind.ACT) {
        text.append(message.client).append(message.token).append(';');
      }
    }
    return text.toString();
  }
}
