package sprucerock.relay.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayInputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import javax.xml.stream.XMLInputFactory;
import javax.xml.stream.XMLStreamConstants;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamReader;
import sprucerock.accounting.RequestTracker;
import sprucerock.model.Build;
import sprucerock.model.Endpoint;
import sprucerock.model.RolloutState;
import sprucerock.model.Settings;
import sprucerock.model.Verdict;
import sprucerock.model.VoteReply;
import sprucerock.relay.engine.EventLog;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.http.HttpConnection;
import sprucerock.transport.http.HttpException;
import sprucerock.transport.net.Net;
import sprucerock.transport.net.Timers.Timer;

/**
 * The platform's release desk: votes as calls, each with one reply or none in time; news, counts
 * and reports as events.
 */
final class ReleaseApiClient implements ReconnectingWatch.Reader {
  private static final String PATH = "/apis/fleet/";
  private static final TimeSpan CONNECT = TimeSpan.ofMs(1000);
  private static final TimeSpan FRESH =
      TimeSpan.ofMs(3000); // the platform closes what stands idle, after some ten seconds or less
  private static final int LINKS =
      8; // of the 32 that the platform holds of a relay; votes are far fewer
  private static final TimeSpan SILENCE = TimeSpan.ofMs(3000); // a sign of life comes every second
  private static final XMLInputFactory XML = XMLInputFactory.newDefaultFactory();

  static {
    XML.setProperty(XMLInputFactory.SUPPORT_DTD, false);
    XML.setProperty(XMLInputFactory.IS_SUPPORTING_EXTERNAL_ENTITIES, false);
  }

  private final Net net;
  private final Settings settings;
  private final List<String> methodNames;
  private final RequestTracker ledger;
  private final EventLog events;
  private final Function<String, Endpoint> endpoints;
  private final Consumer<VoteReply> answered;
  private final Runnable lost;
  private final ReconnectingWatch feed;
  private final ArrayDeque<HttpConnection> connections = new ArrayDeque<>();
  private InetSocketAddress to;
  private int build = -1;
  private int ranked;
  private Timestamp since;

  ReleaseApiClient(
      Net net,
      PlatformConfig config,
      RequestTracker ledger,
      EventLog events,
      DoubleSupplier dice,
      Function<String, Endpoint> endpoints,
      Consumer<VoteReply> answered,
      Runnable lost) {
    this.net = net;
    this.ledger = ledger;
    this.events = events;
    this.endpoints = endpoints;
    this.answered = answered;
    this.lost = lost;
    settings = config.settings;
    methodNames = config.methodNames;
    to = config.desk;
    feed = new ReconnectingWatch(net, to, SILENCE, SILENCE, CONNECT, dice, this);
  }

  /** Takes the news as the configuration has it, and asks for more. */
  void start(JsonNode news) {
    if (news.isObject()) {
      Map<String, String> values = new HashMap<>();
      news.fields()
          .forEachRemaining(field -> values.put(field.getKey(), field.getValue().asText()));
      try {
        news(RequestCodec.of(values));
      } catch (HttpException e) {
        events.warn(
            EventLog.Event.NEWS_REFUSED, "the news in the configuration: " + e.getMessage());
      }
    }
    feed.dial();
  }

  /** True where it was elsewhere before. */
  boolean move(InetSocketAddress there) {
    if (there.equals(to)) {
      return false;
    }
    to = there;
    feed.move(there);
    connections.clear(); // what is open on them is still answered, and the platform closes them
    return true;
  }

  TimeSpan silent() {
    return feed.silent();
  }

  void stop() {
    feed.stop();
    for (HttpConnection connection : connections) {
      connection.cut("the relay ends");
    }
  }

  // Votes.

  void vote(Build of, int stage, Verdict verdict) {
    String word =
        switch (verdict) {
          case NONE -> "WITHDRAW";
          case ON -> "PROCEED";
          case HOLD -> "HOLD";
          case BACK -> "ROLLBACK";
        };
    HttpConnection connection = connection();
    new Vote(connection)
        .cast("Action=RecordOpinion&build=" + of.number + "&stage=" + stage + "&verdict=" + word);
  }

  /**
   * One on which nothing is open and that the platform has surely not closed for idleness; else a
   * new one.
   */
  private HttpConnection connection() {
    Timestamp now = net.now();
    for (HttpConnection connection : new ArrayList<>(connections)) {
      if (!connection.canSend()) {
        connections.remove(connection);
      } else if (connection.isIdle() && now.since(connection.lastSentAt()).over(FRESH)) {
        connections.remove(connection);
        connection.finish();
      }
    }
    for (HttpConnection connection : connections) {
      if (connection.isIdle()) {
        return connection;
      }
    }
    if (connections.size() >= LINKS) {
      return connections.peekLast();
    }
    HttpConnection made = new HttpConnection(net, to, CONNECT);
    connections.add(made);
    return made;
  }

  /** One vote on its way. */
  private final class Vote implements HttpConnection.ResponseListener {
    private final HttpConnection connection;
    private final Timer timer;
    private boolean over;

    Vote(HttpConnection connection) {
      this.connection = connection;
      timer =
          net.at(
              net.now().plus(settings.controllerCallTimeout),
              () -> {
                events.warn(
                    EventLog.Event.VOTE_UNANSWERED,
                    "within " + settings.controllerCallTimeout.ms() + " ms; it may count");
                over(VoteReply.UNANSWERED);
                connection.cut("no answer in time");
              });
    }

    void cast(String form) {
      connection.post(PATH, form, this);
    }

    private void over(VoteReply reply) {
      if (over) {
        return;
      }
      over = true;
      timer.cancel();
      answered.accept(reply);
    }

    @Override
    public void completed(int status, byte[] body) {
      try {
        Map<String, String> said = xml(body);
        String code = said.get("Code");
        if (status == 200) {
          RequestCodec state = RequestCodec.of(said);
          check(state);
          over(VoteReply.COUNTS);
          news(state);
        } else if (code == null) {
          throw new HttpException("status " + status + " without a code");
        } else {
          over(
              code.equals("limit")
                  ? VoteReply.TOO_MANY
                  : code.equals("moot") ? VoteReply.MOOT : VoteReply.ERROR);
        }
      } catch (
          HttpException
              e) { // nobody knows whether it counts, and nothing can follow on that connection
        events.warn(EventLog.Event.PLATFORM_UNREADABLE, "a vote's answer: " + e.getMessage());
        over(VoteReply.UNANSWERED);
        connection.cut("not to be read");
      }
    }

    @Override
    public void failed(String why, boolean carriedOut) {
      over(carriedOut ? VoteReply.UNANSWERED : VoteReply.ERROR);
    }
  }

  /** The texts of an answer's elements by their names. @throws HttpException if it is not whole */
  private static Map<String, String> xml(byte[] body) throws HttpException {
    Map<String, String> found = new HashMap<>();
    try {
      XMLStreamReader in = XML.createXMLStreamReader(new ByteArrayInputStream(body));
      StringBuilder text = new StringBuilder();
      while (in.hasNext()) {
        int event = in.next();
        if (event == XMLStreamConstants.START_ELEMENT) {
          text.setLength(0);
        } else if (event == XMLStreamConstants.CHARACTERS) {
          text.append(in.getText());
        } else if (event == XMLStreamConstants.END_ELEMENT) {
          if (text.length() > 0) {
            found.put(in.getLocalName(), text.toString().trim());
          }
          text.setLength(0);
        }
      }
      return found;
    } catch (XMLStreamException | RuntimeException e) { // the JDK's reader throws both on noise
      throw new HttpException("it is no XML");
    }
  }

  // What the platform tells.

  @Override
  public ReconnectingWatch.Answer asks() {
    sprucerock.transport.http.EventStreamParser stream =
        new sprucerock.transport.http.EventStreamParser();
    return new ReconnectingWatch.Answer() {
      @Override
      public String path() {
        return PATH + "bulletin";
      }

      @Override
      public boolean piece(ByteBuffer bytes) throws HttpException {
        stream.feed(bytes, ReleaseApiClient.this::event);
        return true; // an event that is not whole is told by the next piece or by nobody
      }
    };
  }

  @Override
  public void lost(String why) {
    events.warn(EventLog.Event.DESK_LOST, why + "; what it said last holds");
    lost.run();
  }

  private void event(String name, String data) throws HttpException {
    RequestCodec form = RequestCodec.read(data);
    switch (name) {
      case "news" -> news(form);
      case "counts" -> {
        int attempts = form.whole("count", Integer.MAX_VALUE);
        int failed = form.whole("failed", attempts);
        ledger.fleetCountsReceived(
            form.whole("build", 65535),
            method(form),
            attempts,
            failed,
            TimeSpan.ofMs(form.number("mean_ms", 1e9)));
      }
      case "report" -> {
        method(form);
        Endpoint endpoint = endpoints.apply(form.text("server"));
        if (endpoint != null) {
          ledger.answerReportedWrong(
              endpoint.id, TimeSpan.ofMs(form.number("age_ms", 1e9)), net.now());
        }
      }
      default -> throw new HttpException("no event has the name " + name);
    }
  }

  private int method(RequestCodec form) throws HttpException {
    int method = methodNames.indexOf(form.text("class"));
    if (method < 0) {
      throw new HttpException("no class has that name");
    }
    return method;
  }

  private static RolloutState standing(RequestCodec form) throws HttpException {
    return switch (form.text("phase")) {
      case "Progressing" -> RolloutState.ON_TRIAL;
      case "Aborting" -> RolloutState.GOING_BACK;
      case "Healthy" -> RolloutState.RELEASED;
      case "Aborted" -> RolloutState.WITHDRAWN;
      default -> throw new HttpException("no phase has that name");
    };
  }

  /**
   * How far a build is on its way, which goes one way only: stage by stage, released, going back,
   * withdrawn.
   */
  private int rank(RolloutState standing, int stage) {
    int stages = settings.exposureCaps.size() + 1;
    return switch (standing) {
      case ON_TRIAL -> stage;
      case RELEASED -> stages;
      case GOING_BACK -> stages + 1;
      case WITHDRAWN -> stages + 2;
    };
  }

  private void check(RequestCodec form) throws HttpException {
    form.whole("build", 65535);
    form.whole("stage", settings.exposureCaps.size());
    standing(form);
    form.number("cap", 1);
    form.number("age_ms", 1e12);
  }

  private void news(RequestCodec form) throws HttpException {
    check(form);
    int number = form.whole("build", 65535);
    Timestamp began = net.now().minus(TimeSpan.ofMs(form.number("age_ms", 1e12)));
    int stage = form.whole("stage", settings.exposureCaps.size());
    RolloutState standing = standing(form);
    int rank = rank(standing, stage);
    // guards against what was long on its way, as two connections tell news. Ages can't tell: what
    // the configuration says of
    // them is as old as its file, and a start takes seconds, so a state that began meanwhile would
    // look like an older one
    if (number < build || number == build && rank < ranked) {
      return;
    }
    boolean same = number == build && rank == ranked;
    if (!same || since.after(began)) {
      since = began; // of one state the earliest beginning is the least delayed word
    }
    build = number;
    ranked = rank;
    ledger.rolloutChanged(number, stage, standing, form.number("cap", 1), since);
  }
}
