package sprucerock.rehearsal.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;
import sprucerock.rehearsal.fake.BuildFault;
import sprucerock.rehearsal.fake.FakeClient.Manners;
import sprucerock.rehearsal.fake.FakeTls;
import sprucerock.rehearsal.fake.FaultProxy;
import sprucerock.rehearsal.fake.Site;
import sprucerock.time.TimeSpan;

/** A day as its script has it, checked; what it leaves out has the values below. */
public final class ScenarioParser {
  /** A script that can't be played; the message has file, line and column, and what is wrong. */
  public static final class ScriptException extends Exception {
    private static final long serialVersionUID = 1L;

    ScriptException(String message) {
      super(message);
    }
  }

  /** Units of one kind that are there from the start. */
  public record Units(int count, int zone, int cores, double speed) {}

  /** What can befall a day; each happening begins and, where it lasts, ends. */
  public interface Happening {
    void begin(ScenarioRunner play);

    default void end(ScenarioRunner play) {}
  }

  /**
   * A line of the day: when, how long (zero: at once), the words of the script, and what it does.
   */
  public record Trouble(TimeSpan at, TimeSpan lasts, String words, Happening what) {}

  public String name = "";
  public long seed = 1;
  public TimeSpan lasts = TimeSpan.ofMs(30_000);
  public int relays = 3;
  public TimeSpan tick = TimeSpan.ofMs(5);
  public final List<Units> endpoints = new ArrayList<>();
  public final List<Site.Method> methods = new ArrayList<>();
  public final List<Site.Customer> tenants = new ArrayList<>();
  public final List<Site.Stage> stages = new ArrayList<>();
  public Site.Control control = Site.Control.SINGLE;
  public int on = 1;
  public int hold = 1;
  public int back = 1;
  public TimeSpan voteLife = TimeSpan.ofMs(4000);
  public TimeSpan answerWithin = TimeSpan.ofMs(2000);
  public TimeSpan bake = TimeSpan.ofMs(2000);
  public TimeSpan step = TimeSpan.ofMs(4000);
  public TimeSpan countsEvery = TimeSpan.ZERO;
  public double sample = 0.4;
  public Site.Cold cold = new Site.Cold(0.4, TimeSpan.ofMs(4000), 3, TimeSpan.ofMs(1000));
  public double free = 3;
  public TimeSpan countedOver = TimeSpan.ofMs(3000);
  public boolean byMethod;
  public int guarded;
  public boolean oneWay;
  public TimeSpan drainGrace = TimeSpan.ofMs(500);
  public TimeSpan notice = TimeSpan.ofMs(300);
  public boolean ask;
  public int attempts = 5;
  public boolean secondCopies;
  public boolean cancel;
  public boolean peers;
  public boolean retryAfter;
  public TimeSpan mostRetryAfter = TimeSpan.ofMs(500);
  public double perSecond = 100;
  public double busiest = 1;
  public int clientsEach = 2;
  public Manners manners = new Manners(2, TimeSpan.ofMs(100), 0, 0.3);

  /** The controller is the real one, not a stand-in. */
  public boolean realController;

  /** Relays run under agents, and changes are watched for so long a stage; null: by themselves. */
  public TimeSpan changeWatch;

  /**
   * Units are reached by TLS; {@code tlsEveryone}: clients and other relays, too, and all are
   * proven.
   */
  public boolean tls;

  public boolean tlsEveryone;

  /** Some relays grant leases, and all stand for them; null: there are none. */
  public LeasesOfDay.Plan leases;

  /** Units stand in racks that can be frozen; null: in none. */
  public RacksOfDay.Plan racks;

  public TimeSpan tlsLook = TimeSpan.ofMs(500);
  public TimeSpan tlsMove = TimeSpan.ofMs(5000);
  public int handshakesASecond = 200;
  public final List<Trouble> troubles = new ArrayList<>();

  private final String file;

  private ScenarioParser(String file) {
    this.file = file;
  }

  public Site site() {
    return new Site(
        methods,
        tenants,
        stages,
        new Site.Desk(control, on, hold, back, voteLife, bake, step, countsEvery, sample),
        cold);
  }

  public static ScenarioParser read(Path path) throws IOException, ScriptException {
    return parse(path.toString(), Files.readString(path));
  }

  /** The first thing that is wrong ends it. */
  public static ScenarioParser parse(String file, String text) throws ScriptException {
    List<String> wrong = new ArrayList<>();
    BaseErrorListener listener =
        new BaseErrorListener() {
          @Override
          public void syntaxError(
              Recognizer<?, ?> recognizer,
              Object symbol,
              int line,
              int column,
              String message,
              RecognitionException e) {
            wrong.add(
                file + ":" + line + ":" + (column + 1) + ": " + message.replaceAll("\\s+", " "));
          }
        };
    DayLexer lexer = new DayLexer(CharStreams.fromString(text));
    lexer.removeErrorListeners();
    lexer.addErrorListener(listener);
    DayParser parser = new DayParser(new CommonTokenStream(lexer));
    parser.removeErrorListeners();
    parser.addErrorListener(listener);
    DayParser.DayContext day = parser.day();
    if (!wrong.isEmpty()) {
      throw new ScriptException(wrong.get(0));
    }
    ScenarioParser script = new ScenarioParser(file);
    String quoted = day.STRING().getText();
    script.name = quoted.substring(1, quoted.length() - 1);
    try {
      for (DayParser.LineContext line : day.line()) {
        line.accept(script.new Settler());
      }
      script.check(day);
      for (DayParser.LineContext line : day.line()) {
        line.accept(script.new Plotter());
      }
    } catch (Wrong e) {
      throw new ScriptException(e.getMessage());
    }
    return script;
  }

  private static final class Wrong extends RuntimeException {
    private static final long serialVersionUID = 1L;

    Wrong(String message) {
      super(message);
    }
  }

  private Wrong wrong(Token where, String what) {
    return new Wrong(
        file + ":" + where.getLine() + ":" + (where.getCharPositionInLine() + 1) + ": " + what);
  }

  private Wrong wrong(ParserRuleContext where, String what) {
    return wrong(where.getStart(), what);
  }

  private void check(ParserRuleContext day) {
    if (methods.isEmpty()) {
      throw wrong(day, "a day needs a method");
    }
    if (endpoints.isEmpty()) {
      throw wrong(day, "a day needs units");
    }
    if (stages.isEmpty()) {
      stages.addAll(
          List.of(new Site.Stage(0.1, 0.12), new Site.Stage(0.4, 0.45), new Site.Stage(1, 1)));
    }
    if (changeWatch != null && (!realController || tls)) {
      throw wrong(day, "agents need 'controller real', and no tls yet");
    }
    if (racks != null && (!realController || changeWatch != null)) {
      throw wrong(day, "racks need 'controller real', and no agents yet");
    }
    if (leases != null && (changeWatch != null || leases.granters() > relays)) {
      throw wrong(day, "leases need as many relays as granters, and no agents yet");
    }
    if (relays < 1 || relays > 50) {
      throw wrong(day, "1 to 50 relays can be played on one machine, not " + relays);
    }
    double shares = methods.stream().mapToDouble(Site.Method::share).sum();
    if (Math.abs(shares - 1) > 0.01) {
      throw wrong(
          day, "the shares of the methods add up to " + Math.round(100 * shares) + "%, not 100%");
    }
    double tenantShares = tenants.stream().mapToDouble(Site.Customer::share).sum();
    if (!tenants.isEmpty() && Math.abs(tenantShares - 1) > 0.01) {
      throw wrong(
          day,
          "the shares of the customers add up to "
              + Math.round(100 * tenantShares)
              + "%, not 100%");
    }
  }

  private static TimeSpan span(Token token) {
    return TimeSpan.parse(token.getText());
  }

  private static double percent(Token token) {
    String text = token.getText();
    return Double.parseDouble(text.substring(0, text.length() - 1)) / 100;
  }

  private double share(Token token) {
    double share = percent(token);
    if (share > 1) {
      throw wrong(token, token.getText() + " is more than 100%");
    }
    return share;
  }

  private static double number(DayParser.NumberContext context) {
    return Double.parseDouble(context.getText());
  }

  private double factor(DayParser.NumberContext context) {
    double factor = number(context);
    if (!(factor > 0)) {
      throw wrong(context, "a factor is above 0");
    }
    return factor;
  }

  private int whole(Token token, int most) {
    try {
      int value = Integer.parseInt(token.getText());
      if (value <= most) {
        return value;
      }
    } catch (NumberFormatException e) {
      // said below, like a number that is merely too large
    }
    throw wrong(token, token.getText() + " is more than " + most);
  }

  private int named(Token token, List<String> names, String what) {
    int at = names.indexOf(token.getText());
    if (at < 0) {
      throw wrong(token, "no " + what + " is called " + token.getText() + "; there are " + names);
    }
    return at;
  }

  private int method(Token token) {
    return named(token, methods.stream().map(Site.Method::name).toList(), "method");
  }

  private int customer(Token token) {
    return named(token, tenants.stream().map(Site.Customer::name).toList(), "customer");
  }

  /** Reads what holds for the whole day. */
  private final class Settler extends DayBaseVisitor<Void> {
    @Override
    public Void visitSeed(DayParser.SeedContext c) {
      seed = Long.parseLong(c.INT().getText());
      return null;
    }

    @Override
    public Void visitLasts(DayParser.LastsContext c) {
      lasts = span(c.SPAN().getSymbol());
      if (lasts.over(TimeSpan.ofMs(3_600_000))) {
        throw wrong(c, "a day lasts an hour at most");
      }
      return null;
    }

    @Override
    public Void visitRelays(DayParser.RelaysContext c) {
      relays = whole(c.INT().getSymbol(), 50);
      return null;
    }

    @Override
    public Void visitAgents(DayParser.AgentsContext c) {
      changeWatch = span(c.SPAN().getSymbol());
      return null;
    }

    @Override
    public Void visitTick(DayParser.TickContext c) {
      tick = span(c.SPAN().getSymbol());
      return null;
    }

    @Override
    public Void visitUnits(DayParser.UnitsContext c) {
      endpoints.add(
          new Units(
              whole(c.INT(0).getSymbol(), 1000),
              c.zone == null ? 0 : whole(c.zone, 60_000),
              c.cores == null ? 2 : whole(c.cores, 1000),
              c.speed == null ? 1 : factor(c.speed)));
      return null;
    }

    @Override
    public Void visitMethod(DayParser.MethodContext c) {
      DayParser.EffectContext effect = c.effect();
      boolean tokened = effect.SPAN() != null;
      Site.Effect what =
          tokened
              ? Site.Effect.TOKENED
              : effect.getText().equals("idempotent")
                  ? Site.Effect.IDEMPOTENT
                  : Site.Effect.NON_IDEMPOTENT;
      if (span(c.soft).over(span(c.deadline))) {
        throw wrong(c.soft, "the soft deadline is past the deadline");
      }
      methods.add(
          new Site.Method(
              c.NAME().getText(),
              what,
              share(c.share),
              span(c.work).ms(),
              span(c.soft),
              span(c.deadline),
              factor(c.utility),
              tokened ? span(effect.SPAN().getSymbol()) : TimeSpan.ZERO));
      return null;
    }

    @Override
    public Void visitCustomer(DayParser.CustomerContext c) {
      tenants.add(new Site.Customer(c.NAME().getText(), share(c.PERCENT().getSymbol())));
      return null;
    }

    @Override
    public Void visitStage(DayParser.StageContext c) {
      stages.add(new Site.Stage(share(c.share), share(c.cap)));
      return null;
    }

    @Override
    public Void visitVotes(DayParser.VotesContext c) {
      control = Site.Control.valueOf(c.control().getText().toUpperCase(java.util.Locale.ROOT));
      voteLife = span(c.life);
      answerWithin = span(c.answer);
      bake = span(c.bake);
      if (c.step != null) {
        step = span(c.step);
      }
      if (c.on != null) {
        on = whole(c.on, 1000);
      }
      if (c.hold != null) {
        hold = whole(c.hold, 1000);
      }
      if (c.back != null) {
        back = whole(c.back, 1000);
      }
      return null;
    }

    @Override
    public Void visitCounts(DayParser.CountsContext c) {
      countsEvery = span(c.SPAN().getSymbol());
      sample = share(c.PERCENT().getSymbol());
      return null;
    }

    @Override
    public Void visitCold(DayParser.ColdContext c) {
      cold =
          new Site.Cold(
              share(c.PERCENT().getSymbol()), span(c.lasts), factor(c.number()), span(c.after));
      return null;
    }

    @Override
    public Void visitExposure(DayParser.ExposureContext c) {
      free = number(c.number());
      countedOver = span(c.SPAN().getSymbol());
      byMethod = c.byMethod != null;
      if (c.INT() != null) {
        guarded = whole(c.INT().getSymbol(), 100);
      }
      oneWay = c.oneWay != null;
      return null;
    }

    @Override
    public Void visitDrainGrace(DayParser.DrainGraceContext c) {
      drainGrace = span(c.SPAN().getSymbol());
      return null;
    }

    @Override
    public Void visitRosterNotice(DayParser.RosterNoticeContext c) {
      notice = span(c.SPAN().getSymbol());
      ask = c.ask != null;
      return null;
    }

    @Override
    public Void visitAllow(DayParser.AllowContext c) {
      for (DayParser.AllowedContext one : c.allowed()) {
        if (one.INT() != null) {
          attempts = whole(one.INT().getSymbol(), 100);
        } else if (one.SPAN() != null) {
          retryAfter = true;
          mostRetryAfter = span(one.SPAN().getSymbol());
        } else {
          secondCopies |= one.getText().equals("second-copies");
          cancel |= one.getText().equals("cancel");
          peers |= one.getText().equals("peers");
        }
      }
      return null;
    }

    @Override
    public Void visitRealController(DayParser.RealControllerContext c) {
      realController = true;
      return null;
    }

    @Override
    public Void visitRacks(DayParser.RacksContext c) {
      racks =
          new RacksOfDay.Plan(
              Math.max(1, whole(c.INT().getSymbol(), 1000)), span(c.SPAN().getSymbol()));
      return null;
    }

    @Override
    public Void visitLeases(DayParser.LeasesContext c) {
      int granters = whole(c.INT().getSymbol(), 5);
      if (granters != 3 && granters != 5) {
        throw wrong(c, "3 or 5 granters, not " + granters);
      }
      leases = new LeasesOfDay.Plan(granters, span(c.term), span(c.looks));
      return null;
    }

    @Override
    public Void visitTls(DayParser.TlsContext c) {
      tls = true;
      tlsEveryone = c.everyone != null;
      if (c.look != null) {
        tlsLook = span(c.look);
      }
      if (c.move != null) {
        tlsMove = span(c.move);
      }
      if (c.INT() != null) {
        handshakesASecond = Math.max(1, whole(c.INT().getSymbol(), 100_000));
      }
      return null;
    }

    @Override
    public Void visitTraffic(DayParser.TrafficContext c) {
      perSecond = factor(c.number(0));
      if (perSecond > 20_000) {
        throw wrong(c, "a day has 20000 RPCs a second at most");
      }
      if (c.times != null) {
        busiest = factor(c.times);
      }
      return null;
    }

    @Override
    public Void visitClients(DayParser.ClientsContext c) {
      clientsEach = Math.max(1, whole(c.INT(0).getSymbol(), 1000));
      double impatient = c.PERCENT() == null ? 0 : share(c.PERCENT().getSymbol());
      manners = new Manners(whole(c.retries, 100), span(c.SPAN().getSymbol()), impatient, 0.3);
      return null;
    }
  }

  /** Reads what happens, once it is known what there is for it to happen to. */
  private final class Plotter extends DayBaseVisitor<Void> {
    private TimeSpan at;
    private String words;

    @Override
    public Void visitAt(DayParser.AtContext c) {
      at = span(c.SPAN().getSymbol());
      if (!lasts.over(at)) {
        throw wrong(c, "the day ends after " + lasts.ms() / 1000 + "s");
      }
      Token from = c.trouble().getStart();
      Token to = c.trouble().getStop();
      words =
          from.getInputStream()
              .getText(
                  org.antlr.v4.runtime.misc.Interval.of(from.getStartIndex(), to.getStopIndex()))
              .replaceAll("\\s+", " ");
      return c.trouble().accept(this);
    }

    private Void add(Token length, Happening what) {
      troubles.add(new Trouble(at, length == null ? TimeSpan.ZERO : span(length), words, what));
      return null;
    }

    private Void lasting(
        Token length,
        java.util.function.Consumer<ScenarioRunner> begin,
        java.util.function.Consumer<ScenarioRunner> end) {
      return add(
          length,
          new Happening() {
            @Override
            public void begin(ScenarioRunner play) {
              begin.accept(play);
            }

            @Override
            public void end(ScenarioRunner play) {
              end.accept(play);
            }
          });
    }

    private int unit(Token token) {
      int count = endpoints.stream().mapToInt(Units::count).sum();
      return whole(token, count - 1);
    }

    private int relay(Token token) {
      return whole(token, relays - 1);
    }

    @Override
    public Void visitOffer(DayParser.OfferContext c) {
      BuildFault fault = c.fault() == null ? BuildFault.GOOD : fault(c.fault());
      return add(null, play -> play.offer(fault, words));
    }

    private BuildFault fault(DayParser.FaultContext c) {
      return switch (c.getStart().getText()) {
        case "errors" -> new BuildFault(BuildFault.What.ERRORS, share(c.PERCENT().getSymbol()), 0);
        case "method" ->
            new BuildFault(
                BuildFault.What.METHOD,
                share(c.PERCENT().getSymbol()),
                method(c.NAME().getSymbol()));
        case "slow" -> new BuildFault(BuildFault.What.SLOW, factor(c.number()), 0);
        case "under" -> new BuildFault(BuildFault.What.LOAD, share(c.PERCENT().getSymbol()), 0);
        case "late" ->
            new BuildFault(BuildFault.What.LATE, span(c.SPAN().getSymbol()).ms() / 1000, 0);
        case "wrong" -> new BuildFault(BuildFault.What.WRONG, share(c.PERCENT().getSymbol()), 0);
        default -> new BuildFault(BuildFault.What.SLOWS_ALL, factor(c.number()), 0);
      };
    }

    @Override
    public Void visitUnit(DayParser.UnitContext c) {
      int endpoint = unit(c.INT().getSymbol());
      if (c.ill() != null) {
        ScenarioRunner.Ill ill = ill(c.ill());
        return lasting(
            c.SPAN().getSymbol(),
            play -> play.ill(endpoint, ill, true),
            play -> play.ill(endpoint, ill, false));
      }
      DayParser.FateContext fate = c.fate();
      TimeSpan within = fate.SPAN() == null ? TimeSpan.ZERO : span(fate.SPAN().getSymbol());
      return switch (fate.getStart().getText()) {
        case "drains" -> add(null, play -> play.drain(endpoint));
        case "dies" -> add(null, play -> play.die(endpoint));
        default -> add(null, play -> play.restart(endpoint, within));
      };
    }

    @Override
    public Void visitUnitsIll(DayParser.UnitsIllContext c) {
      double share = share(c.PERCENT().getSymbol());
      ScenarioRunner.Ill ill = ill(c.ill());
      return lasting(
          c.SPAN().getSymbol(),
          play -> play.ill(share, ill, true),
          play -> play.ill(share, ill, false));
    }

    private void needsTls(ParserRuleContext c) {
      if (!tls) {
        throw wrong(c, "the day has no TLS; a line \"tls\" gives it some");
      }
    }

    @Override
    public Void visitControllerIll(DayParser.ControllerIllContext c) {
      if (!realController) {
        throw wrong(c, "the day has no real controller; a line \"controller real\" gives it one");
      }
      boolean killed = c.how.getText().equals("killed");
      return lasting(
          c.SPAN().getSymbol(),
          play -> play.controllerDown(killed, true),
          play -> play.controllerDown(killed, false));
    }

    private String quoted(Token token) {
      return token == null ? null : token.getText().substring(1, token.getText().length() - 1);
    }

    @Override
    public Void visitChange(DayParser.ChangeContext c) {
      if (changeWatch == null) {
        throw wrong(c, "the day has no agents; a line such as \"agents watch 5s\" gives it some");
      }
      String limits = quoted(c.settings);
      String main = quoted(c.program);
      if (limits == null && main == null) {
        throw wrong(
            c,
            "a change is of settings, such as \"open=500\", of a program, by the class that it starts, or of both");
      }
      return add(null, play -> play.change(limits, main));
    }

    @Override
    public Void visitAgentIll(DayParser.AgentIllContext c) {
      if (changeWatch == null) {
        throw wrong(c, "the day has no agents; a line such as \"agents watch 5s\" gives it some");
      }
      int relay = whole(c.INT().getSymbol(), relays - 1);
      boolean forgets = c.forgets != null;
      return lasting(
          c.SPAN().getSymbol(),
          play -> play.agentDown(relay, forgets),
          play -> play.agentUp(relay));
    }

    @Override
    public Void visitWaysIll(DayParser.WaysIllContext c) {
      String whose = c.whose.getText();
      boolean ofLeases = whose.equals("leases");
      if (ofLeases && leases == null) {
        throw wrong(
            c,
            "the day has no leases; a line such as \"leases granters 3 term 1s looks 50ms\" gives it some");
      }
      if (!ofLeases && !realController) {
        throw wrong(
            c, "ways lead to the real controller; a line \"controller real\" gives the day one");
      }
      boolean ofAgents = whose.equals("agents");
      if (ofAgents && changeWatch == null) {
        throw wrong(c, "the day has no agents; a line such as \"agents watch 5s\" gives it some");
      }
      int first = c.first == null ? 0 : relay(c.first);
      int last = c.last != null ? relay(c.last) : c.first != null ? first : relays - 1;
      if (first > last) {
        throw wrong(c, "from " + first + " to " + last + " there is none");
      }
      WayIll ill = wayIll(c.wayIll());
      return lasting(
          c.length,
          play -> play.ways(whose, first, last, way -> ill.set(way, true)),
          play -> play.ways(whose, first, last, way -> ill.set(way, false)));
    }

    @Override
    public Void visitFreeze(DayParser.FreezeContext c) {
      if (racks == null) {
        throw wrong(
            c, "the day has no racks; a line such as \"racks 3 each notice 3s\" gives it some");
      }
      String rack = c.NAME().getText();
      if (!rack.matches("z[0-9]+r[0-9]+")) {
        throw wrong(
            c.NAME().getSymbol(),
            "a rack is called z0r1 and so on, by its zone and its number there from 1");
      }
      TimeSpan in = c.in == null ? null : span(c.in);
      TimeSpan lasting = span(c.length);
      return add(null, play -> play.freeze(rack, in, lasting));
    }

    @Override
    public Void visitCallOff(DayParser.CallOffContext c) {
      int freeze = whole(c.INT().getSymbol(), 1000);
      return add(null, play -> play.callOff(freeze));
    }

    private interface WayIll {
      void set(FaultProxy way, boolean on);
    }

    private WayIll wayIll(DayParser.WayIllContext c) {
      String direction = c.getChildCount() > 1 ? c.getChild(1).getText() : "";
      return switch (c.getStart().getText()) {
        case "cut" ->
            (way, on) -> way.cut(on && !direction.equals("back"), on && !direction.equals("there"));
        case "late" -> {
          TimeSpan by = span(c.SPAN().getSymbol());
          yield (way, on) -> way.late(on ? by : TimeSpan.ZERO);
        }
        case "losing" -> {
          double share = share(c.PERCENT().getSymbol());
          yield (way, on) -> way.lose(on ? share : 0);
        }
        default -> FaultProxy::reset;
      };
    }

    @Override
    public Void visitRotate(DayParser.RotateContext c) {
      needsTls(c);
      return add(null, ScenarioRunner::rotateCertificates);
    }

    @Override
    public Void visitTrustRotates(DayParser.TrustRotatesContext c) {
      needsTls(c);
      TimeSpan within = span(c.SPAN().getSymbol());
      return add(null, play -> play.rotateTrust(within));
    }

    private ScenarioRunner.Ill ill(DayParser.IllContext c) {
      return switch (c.getStart().getText()) {
        case "hangs" -> (endpoint, on, play) -> endpoint.hang(on);
        case "fails" -> {
          double share = share(c.PERCENT().getSymbol());
          yield (endpoint, on, play) -> endpoint.fail(on ? share : 0);
        }
        case "slow" -> {
          double times = factor(c.number());
          yield (endpoint, on, play) -> endpoint.slow(on ? times : 1);
        }
        case "loses" -> {
          double share = c.PERCENT() == null ? 1 : share(c.PERCENT().getSymbol());
          yield (endpoint, on, play) -> endpoint.loseAnswers(on ? share : 0);
        }
        case "talks" -> (endpoint, on, play) -> endpoint.rubbish(on);
        case "neighbour" -> {
          double share = Math.min(0.99, share(c.PERCENT().getSymbol()));
          yield (endpoint, on, play) -> play.neighbour(endpoint, share, on);
        }
        case "pauses" -> {
          TimeSpan pause = span(c.pause);
          TimeSpan every = span(c.every);
          if (!every.over(pause)) {
            throw wrong(c, "it pauses longer than there is between two pauses");
          }
          yield (endpoint, on, play) -> play.pauses(endpoint, pause, every, on);
        }
        case "certificate" -> {
          needsTls(c);
          FakeTls.Fault fault =
              FakeTls.Fault.valueOf(c.how.getText().toUpperCase(java.util.Locale.ROOT));
          yield (endpoint, on, play) -> endpoint.certificate(fault, on);
        }
        case "handshake" -> {
          needsTls(c);
          String how = c.hand == null ? "slow" : c.hand.getText();
          TimeSpan by = c.by == null ? TimeSpan.ZERO : span(c.by);
          yield (endpoint, on, play) -> endpoint.handshakes(how, by, on);
        }
        case "truncates" -> (endpoint, on, play) -> endpoint.truncates(on);
        default -> {
          int most = whole(c.INT().getSymbol(), 1_000_000);
          yield (endpoint, on, play) -> endpoint.connections(on ? most : Integer.MAX_VALUE);
        }
      };
    }

    @Override
    public Void visitRelay(DayParser.RelayContext c) {
      int relay = relay(c.INT().getSymbol());
      Token length = c.SPAN().getSymbol();
      if (c.how == null) {
        double times = factor(c.number());
        return lasting(
            length, play -> play.relayBusy(relay, times), play -> play.relayBusy(relay, 1));
      }
      return switch (c.how.getText()) {
        case "killed" ->
            lasting(length, play -> play.relayDown(relay, true), play -> play.relayUp(relay));
        case "stopped" ->
            lasting(length, play -> play.relayDown(relay, false), play -> play.relayUp(relay));
        default ->
            lasting(
                length,
                play -> play.relayStalls(relay, true),
                play -> play.relayStalls(relay, false));
      };
    }

    @Override
    public Void visitRelaysDown(DayParser.RelaysDownContext c) {
      double share = share(c.PERCENT().getSymbol());
      boolean killed = c.how.getText().equals("killed");
      List<Integer> those = new ArrayList<>();
      return lasting(
          c.SPAN().getSymbol(),
          play -> {
            those.addAll(play.someRelays(share));
            for (int relay : those) {
              play.relayDown(relay, killed);
            }
          },
          play -> those.forEach(play::relayUp));
    }

    @Override
    public Void visitBurst(DayParser.BurstContext c) {
      double times = factor(c.number());
      return lasting(c.SPAN().getSymbol(), play -> play.burst(times), play -> play.burst(1));
    }

    @Override
    public Void visitCustomerIll(DayParser.CustomerIllContext c) {
      int tenant = customer(c.NAME().getSymbol());
      if (c.number() == null) {
        return lasting(
            c.SPAN().getSymbol(),
            play -> play.rude(tenant, true),
            play -> play.rude(tenant, false));
      }
      double times = factor(c.number());
      return lasting(
          c.SPAN().getSymbol(),
          play -> play.tenantTimes(tenant, times),
          play -> play.tenantTimes(tenant, 1));
    }

    @Override
    public Void visitEverythingSlow(DayParser.EverythingSlowContext c) {
      double times = factor(c.number());
      return lasting(
          c.SPAN().getSymbol(), play -> play.shared().slow(times), play -> play.shared().slow(1));
    }

    @Override
    public Void visitMethodSlow(DayParser.MethodSlowContext c) {
      int method = method(c.NAME().getSymbol());
      double times = factor(c.number());
      return lasting(
          c.SPAN().getSymbol(),
          play -> play.shared().slow(method, times),
          play -> play.shared().slow(method, 1));
    }

    @Override
    public Void visitMessages(DayParser.MessagesContext c) {
      if (c.late != null) {
        TimeSpan late = span(c.late);
        return lasting(
            c.length,
            play -> play.between().delay(late),
            play -> play.between().delay(TimeSpan.ofMs(1)));
      }
      double share = share(c.PERCENT().getSymbol());
      return lasting(c.length, play -> play.between().lose(share), play -> play.between().lose(0));
    }

    @Override
    public Void visitRosterIll(DayParser.RosterIllContext c) {
      if (c.late == null) {
        return lasting(
            c.length, play -> play.roster().down(true), play -> play.roster().down(false));
      }
      TimeSpan late = span(c.late);
      return lasting(
          c.length, play -> play.roster().late(late), play -> play.roster().late(TimeSpan.ZERO));
    }

    @Override
    public Void visitDeskIll(DayParser.DeskIllContext c) {
      if (realController) {
        throw wrong(c, "the real controller can be killed or stalled; \"desk\" is the stand-in's");
      }
      if (c.late == null) {
        return lasting(c.length, play -> play.desk().down(true), play -> play.desk().down(false));
      }
      TimeSpan late = span(c.late);
      return lasting(
          c.length, play -> play.desk().late(late), play -> play.desk().late(TimeSpan.ZERO));
    }

    @Override
    public Void visitCountsLate(DayParser.CountsLateContext c) {
      TimeSpan late = span(c.late);
      return lasting(
          c.length,
          play -> play.desk().countsLate(late),
          play -> play.desk().countsLate(TimeSpan.ZERO));
    }

    @Override
    public Void visitZoneLink(DayParser.ZoneLinkContext c) {
      int zone = whole(c.INT().getSymbol(), 60_000);
      TimeSpan late = span(c.late);
      double loses = c.PERCENT() == null ? 0 : share(c.PERCENT().getSymbol());
      return lasting(
          c.length,
          play -> play.zoneLink(zone, late, loses),
          play -> play.zoneLink(zone, TimeSpan.ZERO, 0));
    }

    @Override
    public Void visitRude(DayParser.RudeContext c) {
      return lasting(c.SPAN().getSymbol(), play -> play.rude(true), play -> play.rude(false));
    }
  }
}
