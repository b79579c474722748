package sprucerock.rehearsal.scenario;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucerock.compat.Corpus;
import sprucerock.compat.Rendering;
import sprucerock.rehearsal.fake.Site;

/**
 * Day scripts, those of the repository and some that have each line of the language: what is read
 * of them, and the errors of wrong ones.
 */
public class DayScriptCompatTest {
  private static final String DAYS = "days/";
  private static final Pattern WORD_OF_THE_LANGUAGE = Pattern.compile("'([a-z/-]+)'");

  /** A change may name the Java class that a program starts, which is no word of the language. */
  private static final Pattern PROGRAM = Pattern.compile("program \"[^\"]*\"");

  @Test
  public void theLanguageHasTheSameWords() throws Exception {
    Corpus.holdsSorted(DAYS + "words.txt", words());
  }

  private static Set<String> words() throws IOException {
    Set<String> found = new TreeSet<>();
    try (Stream<Path> files = Files.walk(Path.of("src", "main"))) {
      Path grammar =
          files.filter(file -> file.toString().endsWith(".g4")).findFirst().orElseThrow();
      String rules =
          Files.readString(grammar).replaceAll("(?m)//.*$", "").replaceAll("(?m)^[A-Z]+:.*$", "");
      Matcher matcher = WORD_OF_THE_LANGUAGE.matcher(rules);
      while (matcher.find()) {
        found.add(matcher.group(1));
      }
    }
    return found;
  }

  @DataProvider
  public Object[][] own() {
    return new Object[][] {{"stand-ins"}, {"agents"}, {"racks"}, {"bare"}};
  }

  /** So that no word of the language is left out of what was recorded. */
  @Test
  public void theCorpusUsesEachWord() throws Exception {
    Set<String> missing = words();
    for (Object[] day : own()) {
      String text =
          Corpus.input(DAYS + day[0] + ".day").replaceAll("(?m)#.*$", "").replace("/s", " /s ");
      missing.removeAll(List.of(text.split("\\s+")));
    }
    assertEquals(missing, Set.of());
  }

  @Test(dataProvider = "own")
  public void aDayOfTheCorpusIsReadAsBefore(String name) throws Exception {
    Corpus.holds(
        DAYS + name + ".txt",
        rendered(ScenarioParser.parse(name, Corpus.input(DAYS + name + ".day"))));
  }

  @Test
  public void theDaysOfTheRepositoryAreReadAsBefore() throws Exception {
    StringBuilder text = new StringBuilder();
    for (Path file : days()) {
      text.append("== ")
          .append(file.getFileName())
          .append('\n')
          .append(rendered(ScenarioParser.read(file)));
    }
    Corpus.holds(DAYS + "repository.txt", text.toString());
  }

  private static List<Path> days() throws IOException {
    try (Stream<Path> files = Files.list(Path.of("rehearsals"))) {
      return files.filter(file -> file.toString().endsWith(".day")).sorted().toList();
    }
  }

  private static String rendered(ScenarioParser day) {
    Rendering text = new Rendering();
    text.put("day", day.name)
        .put("seed", day.seed)
        .put("lasts", day.lasts)
        .put("relays", day.relays)
        .put("tick", day.tick);
    for (ScenarioParser.Units endpoints : day.endpoints) {
      text.put(
          "units",
          endpoints.count()
              + " zone "
              + endpoints.zone()
              + " cores "
              + endpoints.cores()
              + " speed "
              + endpoints.speed());
    }
    for (Site.Method method : day.methods) {
      text.put("method", method(method));
    }
    for (Site.Customer tenant : day.tenants) {
      text.put("customer", tenant.name() + " " + tenant.share());
    }
    for (Site.Stage stage : day.stages) {
      text.put("stage", stage.share() + " cap " + stage.cap());
    }
    votes(text, day);
    text.put("cold.from", day.cold.from())
        .put("cold.for", day.cold.lasts())
        .put("cold.tip", day.cold.tipMultiple())
        .put("cold.after", day.cold.tipAfter());
    text.put("exposure.free", day.free)
        .put("exposure.over", day.countedOver)
        .put("exposure.by-method", day.byMethod)
        .put("exposure.guarded", day.guarded);
    text.put("exposure.one-way", day.oneWay)
        .put("drain-grace", day.drainGrace)
        .put("roster.notice", day.notice)
        .put("roster.ask", day.ask);
    text.put("allow.picks", day.attempts)
        .put("allow.second-copies", day.secondCopies)
        .put("allow.cancel", day.cancel)
        .put("allow.peers", day.peers);
    text.put("allow.retry-after", day.retryAfter).put("allow.most-retry-after", day.mostRetryAfter);
    text.put("traffic", day.perSecond)
        .put("traffic.busiest", day.busiest)
        .put("clients", day.clientsEach)
        .put("clients.retries", day.manners.retries());
    text.put("clients.after", day.manners.pause())
        .put("clients.impatient", day.manners.impatient())
        .put("clients.flags", day.manners.flags());
    options(text, day);
    for (ScenarioParser.Trouble trouble : day.troubles) {
      text.put(
          "at " + trouble.at().ms() + "ms for " + trouble.lasts().ms() + "ms",
          withoutProgram(trouble.words()));
    }
    return text.toString();
  }

  private static String withoutProgram(String words) {
    return PROGRAM.matcher(words).replaceAll("program \"CLASS\"");
  }

  private static String method(Site.Method method) {
    String effect =
        switch (method.effect()) {
          case IDEMPOTENT -> "idempotent";
          case TOKENED -> "tokened " + method.window().ms() + "ms";
          case NON_IDEMPOTENT -> "non-idempotent";
        };
    return method.name()
        + " "
        + effect
        + " share "
        + method.share()
        + " work "
        + method.workMs()
        + "ms soft "
        + method.soft().ms()
        + "ms deadline "
        + method.deadline().ms()
        + "ms utility "
        + method.utility();
  }

  private static void votes(Rendering text, ScenarioParser day) {
    String control =
        switch (day.control) {
          case SINGLE -> "single";
          case MAJORITY -> "majority";
          case CLOCKED -> "clocked";
        };
    text.put("votes", control)
        .put("votes.life", day.voteLife)
        .put("votes.answer", day.answerWithin)
        .put("votes.bake", day.bake)
        .put("votes.step", day.step);
    text.put("votes.on", day.on)
        .put("votes.hold", day.hold)
        .put("votes.back", day.back)
        .put("counts.every", day.countsEvery)
        .put("counts.sample", day.sample);
  }

  private static void options(Rendering text, ScenarioParser day) {
    text.put("controller-real", day.realController)
        .put("agents.watch", day.changeWatch)
        .put("tls", day.tls)
        .put("tls.everyone", day.tlsEveryone);
    text.put("tls.look", day.tlsLook)
        .put("tls.move", day.tlsMove)
        .put("tls.handshakes", day.handshakesASecond);
    text.put(
        "leases",
        day.leases == null
            ? "absent"
            : day.leases.granters()
                + " term "
                + day.leases.term().ms()
                + "ms looks "
                + day.leases.looks().ms()
                + "ms");
    text.put(
        "racks",
        day.racks == null
            ? "absent"
            : day.racks.each() + " notice " + day.racks.notice().ms() + "ms");
  }

  /** Each line of the input: a day of the corpus, and a line that it gets at its end. */
  @Test
  public void wrongLinesHaveTheSameErrors() throws Exception {
    StringBuilder text = new StringBuilder();
    for (String line : Corpus.inputLines(DAYS + "wrong.txt")) {
      List<String> parts = new ArrayList<>(List.of(line.split(": ", 2)));
      String day = Corpus.input(DAYS + parts.get(0) + ".day") + parts.get(1) + "\n";
      text.append(
              expectThrows(
                      ScenarioParser.ScriptException.class,
                      () -> ScenarioParser.parse(parts.get(0), day))
                  .getMessage())
          .append('\n');
    }
    Corpus.holds(DAYS + "wrong-errors.txt", text.toString());
  }
}
