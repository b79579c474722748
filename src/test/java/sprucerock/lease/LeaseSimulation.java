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
 * Clients and grantors of one lease as they may stand to each other, with every message that was
 * ever sent still on its way: not taking it is its loss, taking it again its double, taking it
 * later or before another its delay. A simulation is branched by {@link #copy}. The checker reads
 * only claims against the one true time, and what was done where acts land.
 */
final class LeaseSimulation {
  static final String NAME = "seat";

  /** Makes the parties: the real ones, or such as lack a safety rule. */
  interface PartyFactory {
    default LeaseTerms terms(LeaseTerms right) {
      return right;
    }

    default LeaseClient client(
        LeaseTerms terms, LeaseClient.Transport host, int me, long incarnation, double chance) {
      return new LeaseClient(NAME, terms, host, () -> chance, me, incarnation);
    }

    default LeaseGrantor grantor(
        LeaseTerms terms, LeaseGrantor.Replies host, Timestamp opens, Map<String, Grant> grants) {
      return new LeaseGrantor(terms, host, opens, grants);
    }

    /** Whether an act may be sent. */
    default boolean mayAct(LeaseClient client, Timestamp now) {
      return client.isHeldAt(now);
    }

    default boolean rejectsLowerTokens() {
      return true;
    }

    /** How long a grantor that begins anew grants nothing. */
    default TimeSpan startupDelay(LeaseTerms terms) {
      return terms.maxTerm();
    }
  }

  enum Kind {
    ASK,
    GRANTED,
    REFUSED,
    RETURN,
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
      TimeSpan left,
      boolean held)
      implements Comparable<Message> {
    @Override
    public int compareTo(Message other) {
      int so =
          Integer.compare(
              kind.ordinal() * 100 + client * 10 + grantor,
              other.kind.ordinal() * 100 + other.client * 10 + other.grantor);
      if (so == 0) {
        so = Long.compare(token, other.token);
      }
      if (so == 0) {
        so = Long.compare(round, other.round);
      }
      if (so == 0) {
        so = Long.compare(incarnation, other.incarnation);
      }
      if (so == 0) {
        so = Long.compare(highest, other.highest);
      }
      return so != 0 || left == null ? so : Double.compare(left.ms(), other.left.ms());
    }
  }

  private final PartyFactory factory;
  private final LeaseTerms terms;
  private final double chance;
  private final double[] paceOfClients;
  private final double[] paceOfGrantors;
  int tick;
  private final LeaseClient[] clients;
  private final boolean[] stalled;
  private final long[] incarnations;
  private final Timestamp[] opens;
  private final List<Map<String, Grant>> grants = new ArrayList<>();
  private TreeSet<Message> sent = new TreeSet<>();
  private final List<Message> order = new ArrayList<>(); // as they were sent; not kept in copies
  private int requests;
  int grantorCrashes;
  int clientCrashes;
  int stalls;
  private FencingTokenRegistry registry = new FencingTokenRegistry();
  private long landed; // the checker's own
  private long lastTaken;
  String violation;
  int takeovers;

  /** Rejections and acts are left out: what they lead to, a timeout leads to as well. */
  boolean withoutRejections;

  LeaseSimulation(
      PartyFactory factory,
      LeaseTerms right,
      double chance,
      double[] paceOfClients,
      double[] paceOfGrantors) {
    this.factory = factory;
    this.chance = chance;
    terms = factory.terms(right);
    this.paceOfClients = paceOfClients;
    this.paceOfGrantors = paceOfGrantors;
    clients = new LeaseClient[paceOfClients.length];
    stalled = new boolean[clients.length];
    incarnations = new long[clients.length];
    opens = new Timestamp[paceOfGrantors.length];
    for (int i = 0; i < opens.length; i++) {
      opens[i] = Timestamp.ofMs(0);
      grants.add(Map.of());
    }
    for (int i = 0; i < clients.length; i++) {
      clients[i] = made(i);
    }
    for (LeaseClient one : clients) {
      one.acquire(Timestamp.ofMs(0), 1);
    }
  }

  private LeaseSimulation(LeaseSimulation other) {
    factory = other.factory;
    terms = other.terms;
    chance = other.chance;
    paceOfClients = other.paceOfClients;
    paceOfGrantors = other.paceOfGrantors;
    tick = other.tick;
    clients = new LeaseClient[other.clients.length];
    stalled = other.stalled.clone();
    incarnations = other.incarnations.clone();
    opens = other.opens.clone();
    grants.addAll(other.grants); // maps are replaced, never changed
    sent = new TreeSet<>(other.sent);
    requests = other.requests;
    grantorCrashes = other.grantorCrashes;
    clientCrashes = other.clientCrashes;
    stalls = other.stalls;
    landed = other.landed;
    withoutRejections = other.withoutRejections;
    lastTaken = other.lastTaken;
    if (other.registry.highestToken(NAME) > 0) {
      registry.admits(NAME, other.registry.highestToken(NAME));
    }
    for (int i = 0; i < clients.length; i++) {
      clients[i] = made(i);
      clients[i].copyStateFrom(other.clients[i]);
    }
  }

  LeaseSimulation copy() {
    return new LeaseSimulation(this);
  }

  private LeaseClient made(int index) {
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
                    Kind.ASK,
                    index,
                    grantor,
                    incarnations[index],
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
                    Kind.RETURN,
                    index,
                    grantor,
                    incarnations[index],
                    token,
                    0,
                    0,
                    TimeSpan.ZERO,
                    false));
          }

          @Override
          public void acquired(String name, long token) {
            takeovers++;
            if (token <= lastTaken) {
              violation = "taken under " + token + " after " + lastTaken;
            }
            lastTaken = Math.max(lastTaken, token);
          }

          @Override
          public void lost(String name, long token, String why) {
            // claims are read from the client itself
          }
        },
        index,
        incarnations[index],
        chance);
  }

  private boolean send(Message message) {
    boolean isNew = sent.add(message);
    if (isNew) {
      order.add(message);
    }
    return isNew;
  }

  private Timestamp clock(int client) {
    return Timestamp.ofMs(tick * paceOfClients[client]);
  }

  /** What can happen next, by token: each leads to another simulation. */
  int choices() {
    return 1 + sent.size() + clients.length * 4 + opens.length;
  }

  /** All that is on its way of a kind, from or to one client, arrives. */
  void arrive(Kind kind, int client) {
    for (Message one : List.copyOf(sent)) {
      if (one.kind == kind && one.client == client) {
        take(one);
      }
    }
  }

  /** The same of one grantor, and of one round. */
  void arrive(Kind kind, int client, int grantor, long round) {
    for (Message one : List.copyOf(sent)) {
      if (one.kind == kind
          && one.client == client
          && one.grantor == grantor
          && one.round == round) {
        take(one);
      }
    }
  }

  /** Time passes, until a client has asked so often in all. */
  void pass(int upToRequests) {
    while (requests < upToRequests) {
      happen(0, Integer.MAX_VALUE, 0, 0, 0);
    }
  }

  /** Something befalls a client: 2, it gives back; 3, it stands still or goes on. */
  void disturb(int who, int what) {
    disturb(who, what, Integer.MAX_VALUE, 0, Integer.MAX_VALUE);
  }

  /** How many of these are no message. */
  int others() {
    return clients.length * 4 + opens.length;
  }

  /** Whether a holder would give it back. */
  boolean isLeave(int choice) {
    int other = choice - 1 - sent.size();
    return other >= 0 && other < clients.length * 4 && other % 4 == 2;
  }

  /** The place of a message that was sent lately, or some other one's. */
  int recent(java.util.Random random) {
    int from = Math.max(0, order.size() - 6);
    Message one = order.get(from + random.nextInt(order.size() - from));
    return sent.headSet(one).size();
  }

  /** Does one of them; false where it can't happen. */
  boolean happen(
      int choice, int maxRequests, int maxGrantorCrashes, int maxClientCrashes, int maxStalls) {
    if (choice == 0) {
      tick++;
      for (int i = 0; i < clients.length; i++) {
        if (!stalled[i] && requests < maxRequests) {
          clients[i].tick(clock(i), 1 + tick);
        }
      }
      return check();
    }
    choice--;
    if (choice < sent.size()) {
      Message message = null;
      for (Message one : sent) {
        if (choice-- == 0) {
          message = one;
        }
      }
      return take(message);
    }
    choice -= sent.size();
    int who = choice / 4;
    if (who < clients.length) {
      return disturb(who, choice % 4, maxRequests, maxClientCrashes, maxStalls);
    }
    if (grantorCrashes >= maxGrantorCrashes) {
      return false;
    }
    int grantor = choice - 4 * clients.length;
    grantorCrashes++;
    grants.set(grantor, Map.of());
    opens[grantor] =
        Timestamp.ofMs(tick * paceOfGrantors[grantor]).plus(factory.startupDelay(terms));
    return check();
  }

  private boolean disturb(int who, int what, int maxRequests, int maxClientCrashes, int maxStalls) {
    switch (what) {
      case 0 -> { // looks whether it may, and acts; when that lands is open
        if (withoutRejections || stalled[who] || !factory.mayAct(clients[who], clock(who))) {
          return false;
        }
        return send(
            new Message(
                Kind.ACT,
                who,
                0,
                incarnations[who],
                clients[who].token(),
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
        incarnations[who]++;
        stalled[who] = false;
        clients[who] = made(who);
        clients[who].acquire(clock(who), 1 + tick); // the wall's clock does not go back
      }
      case 2 -> { // gives it back, and wants it again
        if (stalled[who] || requests >= maxRequests || !clients[who].isHeldAt(clock(who))) {
          return false;
        }
        clients[who].release(-1);
        clients[who].acquire(clock(who), 1 + tick);
      }
      default -> {
        if (!stalled[who] && stalls >= maxStalls) {
          return false;
        }
        if (!stalled[who]) {
          stalls++;
        }
        stalled[who] = !stalled[who];
      }
    }
    return check();
  }

  private boolean take(Message message) {
    int who = message.client;
    if (message.kind == Kind.ACT) {
      boolean admitted = registry.admits(NAME, message.token) || !factory.rejectsLowerTokens();
      if (admitted && message.token < landed) {
        violation = "an act under " + message.token + " was taken after one under " + landed;
      }
      if (admitted) {
        landed = Math.max(landed, message.token);
      }
      return check();
    }
    if (message.kind == Kind.GRANTED || message.kind == Kind.REFUSED) {
      if (message.incarnation != incarnations[who] || stalled[who]) {
        return false;
      }
      if (message.kind == Kind.GRANTED) {
        clients[who].handleGrant(message.grantor, message.token, message.round, clock(who));
      } else {
        clients[who].handleRejection(
            message.grantor,
            message.token,
            message.round,
            message.highest,
            message.left,
            message.held,
            clock(who));
      }
      return check();
    }
    int at = message.grantor;
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
                        at,
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
                  TimeSpan left,
                  LeaseGrantor.Rejection why) {
                if (!withoutRejections) {
                  send(
                      new Message(
                          Kind.REFUSED,
                          client,
                          at,
                          message.incarnation,
                          token,
                          round,
                          highest,
                          left,
                          why == LeaseGrantor.Rejection.HELD));
                }
              }

              @Override
              public void sendAvailable(int client, String name) {
                // only makes it quicker
              }
            },
            opens[at],
            grants.get(at));
    Timestamp now = Timestamp.ofMs(tick * paceOfGrantors[at]);
    if (message.kind == Kind.ASK) {
      grantor.request(who, message.incarnation, NAME, message.token, message.round, now);
    } else {
      grantor.release(who, message.incarnation, NAME, message.token, -1, now);
    }
    grants.set(at, new TreeMap<>(grantor.grants()));
    return check();
  }

  /** No two claims at one true time. */
  private boolean check() {
    int holders = 0;
    for (int i = 0; i < clients.length; i++) {
      if (clients[i].isHeldAt(clock(i))) {
        holders++;
      }
    }
    if (holders > 1) {
      violation = "two hold it at tick " + tick;
    }
    return true;
  }

  /** How many say now that they hold it. */
  int holders() {
    int found = 0;
    for (int i = 0; i < clients.length; i++) {
      if (clients[i].isHeldAt(clock(i))) {
        found++;
      }
    }
    return found;
  }

  int requests() {
    return requests;
  }

  /**
   * Two states of one text go on alike: grantors that differ by their tokens alone are told in one
   * order.
   */
  String text() {
    List<String> each = new ArrayList<>();
    for (int at = 0; at < opens.length; at++) {
      StringBuilder one =
          new StringBuilder()
              .append(paceOfGrantors[at])
              .append(opens[at].ms())
              .append(grants.get(at).get(NAME));
      for (Message message : sent) {
        if (message.kind != Kind.ACT && message.grantor == at) {
          one.append(message.kind.ordinal())
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
              .append(message.left.ms())
              .append(';');
        }
      }
      for (LeaseClient client : clients) {
        one.append(client.voteOf(at));
      }
      each.add(one.toString());
    }
    Collections.sort(each);
    StringBuilder text =
        new StringBuilder()
            .append(tick)
            .append(each)
            .append(requests)
            .append(grantorCrashes)
            .append(clientCrashes)
            .append(stalls)
            .append(landed)
            .append(' ')
            .append(lastTaken);
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
