package sprucerock.lab;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sprucerock.agent.AgentConfig;
import sprucerock.agent.ControllerClient;
import sprucerock.agent.artifact.ArtifactStore;
import sprucerock.config.ConfigException;
import sprucerock.config.RelayConfig;
import sprucerock.controller.deployment.Version;
import sprucerock.stats.DeterministicRandom;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;
import sprucerock.transport.net.nio.NioLoop;

/**
 * One hollow process: relays and their agents, all on one loop, under the words of whoever started
 * it: a line each on standard input, with one answer each. At the input's end it ends, so that it
 * does not outlive the run.
 */
public final class HollowFleet {
  /** A relay's number over its zones, as a fleet deals them out. */
  static final int ZONES = 10; // two regions with five

  private static final TimeSpan LOOK = TimeSpan.ofMs(20);
  private static final double COME_A_SECOND =
      50; // at the start, which is not measured: what comes then would be a mass restart on cold
  // code

  private final JsonMapper json = JsonMapper.builder().build();
  private final Logger log = LoggerFactory.getLogger("sprucerock.lab");
  private final NioLoop loop;
  private final LinkCounts controller = new LinkCounts("controller");
  private final LinkCounts granters = new LinkCounts("granter");
  private final LinkCounts agentsLinks = new LinkCounts("controller");
  private final List<HollowRelay> relays = new ArrayList<>();
  private final List<ControllerClient> agents = new ArrayList<>();
  private final DeterministicRandom chance;
  private final AtomicInteger broken = new AtomicInteger();
  private Histogram lag = new Histogram(3);
  private Timestamp due;
  private int next;
  private List<HollowRelay> away = List.of();

  private HollowFleet(
      RelayConfig relay, AgentConfig agent, ArtifactStore vault, Version first, int from, int many)
      throws IOException {
    loop =
        new NioLoop(
            "hollow",
            e -> {
              broken.incrementAndGet();
              log.error("BROKEN {}", e.toString(), e);
            });
    chance = new DeterministicRandom(relay.seed + from);
    for (int i = 0; i < many; i++) {
      int number = from + i;
      relays.add(new HollowRelay(loop, relay, number, controller, granters));
      if (agent == null) {
        continue;
      }
      agents.add(
          new ControllerClient(
              agent,
              "hollow-" + number,
              number,
              number % ZONES,
              loop,
              vault,
              agentsLinks,
              (says, fails, consumers) ->
                  new HollowMachine(
                      loop,
                      new DeterministicRandom(~relay.seed ^ number),
                      first,
                      says,
                      fails,
                      consumers)));
    }
  }

  /**
   * Runs until the input ends.
   *
   * @param relay the configuration that all share but for their numbers; {@code agent}: the same
   *     for agents, null: none
   * @param folder for what agents would fetch, which hollow ones never do
   * @throws IOException if the folder or a loop can't be had, or the answers can't be written
   */
  public static void run(
      Path relay, Path agent, Path folder, int from, int many, InputStream in, PrintStream out)
      throws IOException, ConfigException, InterruptedException {
    String digit = "0123456789abcdef".repeat(4);
    ArtifactStore vault = new ArtifactStore(folder, 1 << 20);
    HollowFleet fleet =
        new HollowFleet(
            RelayConfig.read(relay),
            agent == null ? null : AgentConfig.read(agent),
            vault,
            new Version(digit, digit),
            from,
            many);
    try (BufferedReader lines =
        new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8))) {
      for (String line = lines.readLine();
          line != null && !line.equals("end");
          line = lines.readLine()) {
        String[] words = line.split(" ");
        CompletableFuture<ObjectNode> answer = new CompletableFuture<>();
        fleet.loop.post(
            () -> {
              try {
                answer.complete(fleet.word(words));
              } catch (RuntimeException e) {
                answer.completeExceptionally(e);
              }
            });
        try {
          out.println(answer.get());
        } catch (ExecutionException e) {
          out.println(fleet.json.createObjectNode().put("wrong", e.getCause().toString()));
        }
        out.flush();
      }
    } finally {
      fleet.loop.close();
    }
  }

  private ObjectNode word(String[] words) {
    ObjectNode answer = json.createObjectNode();
    switch (words[0]) {
      case "start" -> start();
      case "status" ->
          answer
              .put("linked", relays.stream().filter(HollowRelay::connected).count())
              .put("votes_open", relays.stream().mapToLong(HollowRelay::votesOpen).sum());
      case "begin" -> begin();
      case "expect" -> {
        int[] of = new int[words.length - 2];
        for (int i = 0; i < of.length; i++) {
          of[i] = Integer.parseInt(words[i + 2]);
        }
        relays.forEach(one -> one.expect(HollowRelay.Event.valueOf(words[1]), of));
      }
      case "in-force" -> inForce(answer);
      case "restart" -> answer.put("restarted", restart(Integer.parseInt(words[1])));
      case "cut" -> answer.put("cut", cut(Integer.parseInt(words[1])));
      case "back" -> back();
      case "vote" -> vote(TimeSpan.ofMs(Integer.parseInt(words[1])));
      case "report" -> report(answer);
      default -> answer.put("wrong", "no such word: " + words[0]);
    }
    return answer;
  }

  private void start() {
    TimeSpan within = TimeSpan.ofMs(1000 * relays.size() / COME_A_SECOND);
    for (HollowRelay one : relays) {
      loop.at(loop.now().plus(within.times(chance.next())), one::start);
    }
    for (ControllerClient one : agents) {
      loop.at(loop.now().plus(within.times(chance.next())), one::start);
    }
    due = loop.now().plus(LOOK);
    loop.at(due, this::look);
  }

  /** How late the loop is: this is due every so often, and a loop that keeps up is there. */
  private void look() {
    lag.recordValue(Math.max(0, Math.round(loop.readClock().since(due).ms() * 1000)));
    due = loop.now().plus(LOOK);
    loop.at(due, this::look);
  }

  private void begin() {
    controller.begin();
    granters.begin();
    agentsLinks.begin();
    relays.forEach(HollowRelay::begin);
    lag = new Histogram(3);
  }

  private void inForce(ObjectNode answer) {
    ArrayNode at = answer.putArray("at_us");
    int missing = 0;
    int off = 0;
    for (HollowRelay one : relays) {
      if (one.inForce() == 0) {
        missing++;
      } else {
        at.add(one.inForce());
      }
      if (one.keepsOff()) {
        off++;
      }
    }
    answer.put("missing", missing).put("keep_off", off);
  }

  /** So many, one after another through the fleet; -1: all at once. */
  private int restart(int many) {
    int count = many < 0 ? relays.size() : many;
    for (int i = 0; i < count; i++) {
      HollowRelay one = relays.get(next++ % relays.size());
      one.stop();
      one.start();
    }
    return count;
  }

  /** One in so many, until {@link #back}. */
  private int cut(int oneIn) {
    List<HollowRelay> found = new ArrayList<>();
    for (int i = 0; i < relays.size(); i += oneIn) {
      found.add(relays.get(i));
    }
    found.forEach(HollowRelay::stop);
    away = found;
    return found.size();
  }

  private void back() {
    away.forEach(HollowRelay::start);
    away = List.of();
  }

  /** Each once, at a moment of its own within that time. */
  private void vote(TimeSpan within) {
    for (HollowRelay one : relays) {
      loop.at(loop.now().plus(within.times(chance.next())), one::vote);
    }
  }

  private void report(ObjectNode answer) {
    ArrayNode connections = answer.putArray("links");
    controller.tell(connections);
    agentsLinks.tell(connections);
    granters.tell(connections);
    long cast = 0;
    long counted = 0;
    long refused = 0;
    ArrayNode took = answer.putArray("votes_took_us");
    for (HollowRelay one : relays) {
      cast += one.votesCast();
      counted += one.votesCounted();
      refused += one.votesRefused();
      one.votesTook().forEach(took::add);
    }
    answer
        .put("linked", relays.stream().filter(HollowRelay::connected).count())
        .put("votes_cast", cast)
        .put("votes_counted", counted)
        .put("votes_refused", refused)
        .put("links_closed", controller.closed() + agentsLinks.closed() + granters.closed())
        .put("broken", broken.get())
        .put("lag_p50_us", lag.getValueAtPercentile(50))
        .put("lag_p99_us", lag.getValueAtPercentile(99))
        .put("lag_max_us", lag.getMaxValue());
  }
}
