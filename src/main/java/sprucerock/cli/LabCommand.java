package sprucerock.cli;

import ch.qos.logback.classic.Level;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sprucerock.config.ConfigException;
import sprucerock.lab.GranterProcess;
import sprucerock.lab.HollowFleet;
import sprucerock.lab.ScaleRun;

@Command(
    name = "lab",
    mixinStandardHelpOptions = true,
    description = "Measures how costs grow with the fleet; see docs/operators/scale.md.",
    subcommands = {
      LabCommand.Scale.class,
      LabSlopesCommand.class,
      LabCommand.Hollow.class,
      LabCommand.Granter.class
    })
final class LabCommand implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
  }

  @Command(
      name = "scale",
      mixinStandardHelpOptions = true,
      description =
          "Plays a scene with a real controller, real granters and so many hollow relays and agents. Exit code 1: the run could not keep up, or some relay was not reached.")
  static final class Scale implements Callable<Integer> {
    @Option(
        names = "--relays",
        defaultValue = "300",
        description = "hollow ones, ${DEFAULT-VALUE} unless given")
    private int relays;

    @Option(
        names = "--racks",
        defaultValue = "40",
        description = "1 to 300, ${DEFAULT-VALUE} unless given")
    private int racks;

    @Option(
        names = "--units",
        defaultValue = "-1",
        description = "in all racks, 16 a relay unless given")
    private int endpoints;

    @Option(
        names = "--seconds",
        defaultValue = "30",
        description = "of each scene that are measured, ${DEFAULT-VALUE} unless given")
    private double seconds;

    @Option(
        names = "--scene",
        required = true,
        split = ",",
        description =
            "mean, burst, rack, zone, mass, vote, freeze, control or stall; several with commas, one after another on one fleet")
    private String[] scenes;

    @Option(
        names = "--seed",
        defaultValue = "1",
        description = "of all that is drawn, ${DEFAULT-VALUE} unless given")
    private long seed;

    @Option(
        names = "--out",
        required = true,
        paramLabel = "DIR",
        description = "gets the result, SCENE-RELAYS.json")
    private Path folder;

    @Override
    public Integer call() throws Exception {
      ScaleRun.Plan plan;
      try {
        List<ScaleRun.Scene> named =
            Arrays.stream(scenes)
                .map(name -> ScaleRun.Scene.valueOf(name.toUpperCase(Locale.ROOT)))
                .toList();
        plan =
            new ScaleRun.Plan(
                relays,
                racks,
                endpoints < 0 ? Math.max(racks, 16 * relays) : endpoints,
                seconds,
                named,
                seed);
      } catch (IllegalArgumentException e) {
        throw new ConfigException(e.getMessage());
      }
      Files.createDirectories(folder);
      List<ObjectNode> results;
      try (ScaleRun run = new ScaleRun(plan, System.err)) {
        results = run.play();
      }
      boolean well = results.size() == plan.scenes().size();
      for (ObjectNode result : results) {
        Path file = folder.resolve(result.get("scene").asText() + "-" + relays + ".json");
        Files.writeString(
            file,
            JsonMapper.builder().build().writerWithDefaultPrettyPrinter().writeValueAsString(result)
                + "\n");
        System.out.println(
            file
                + ": "
                + (result.get("kept_up").asBoolean()
                    ? "kept up"
                    : "did not keep up: " + result.get("why_not").asText()));
        well &= result.get("kept_up").asBoolean();
        for (var one : result.get("in_force")) {
          well &= one.get("missing").asInt() == 0;
        }
      }
      return well ? Commands.DONE : Commands.WANTING;
    }
  }

  /** Standard output is for answers alone. */
  private static PrintStream answers() {
    PrintStream answers = System.out;
    System.setOut(System.err);
    Logs.to(Logs.Form.PLAIN);
    // a thousand agents would each say the same of one controller
    ((ch.qos.logback.classic.Logger) LoggerFactory.getLogger("sprucerock.agent"))
        .setLevel(Level.OFF);
    return answers;
  }

  @Command(
      name = "hollow",
      hidden = true,
      description = "Some hollow relays and agents, led by lab scale.")
  static final class Hollow implements Callable<Integer> {
    @Option(names = "--relay", required = true)
    private Path relay;

    @Option(names = "--agent")
    private Path agent;

    @Option(names = "--folder", required = true)
    private Path folder;

    @Option(names = "--from", required = true)
    private int from;

    @Option(names = "--many", required = true)
    private int many;

    @Override
    public Integer call() throws Exception {
      HollowFleet.run(relay, agent, folder, from, many, System.in, answers());
      return Commands.DONE;
    }
  }

  @Command(name = "granter", hidden = true, description = "One granter, led by lab scale.")
  static final class Granter implements Callable<Integer> {
    @Option(names = "--config", required = true)
    private Path config;

    @Override
    public Integer call() throws Exception {
      answers();
      GranterProcess.run(config, System.in);
      return Commands.DONE;
    }
  }
}
