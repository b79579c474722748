package sprucerock.compat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.regex.Pattern;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import picocli.CommandLine;
import picocli.CommandLine.Model.ArgSpec;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.Model.PositionalParamSpec;
import sprucerock.cli.Commands;

/**
 * The command line: all commands with what they take, and the exit codes and first lines of calls
 * that end at once.
 */
public class CommandLineCompatTest {
  private static final String CLI = "cli/";
  private static final String FOLDER = "FOLDER";

  /**
   * Where an option states no label, picocli shows the Java field's name in brackets, and an
   * unknown scene is told with a Java class.
   */
  private static final Pattern LABEL_OF_A_FIELD = Pattern.compile("<[A-Za-z]+>");

  private static final String LABEL = "<label>";
  private static final Pattern CLASS_OF_A_CONSTANT =
      Pattern.compile("No enum constant [A-Za-z0-9_.$]+\\.");

  private Path folder;

  @BeforeMethod
  public void begin() throws Exception {
    folder = Files.createTempDirectory("cli");
    Files.writeString(folder.resolve("good.xml"), Corpus.input("settings/relay-least.xml"));
    Files.writeString(
        folder.resolve("bad.xml"),
        Corpus.replaced(Corpus.input("settings/relay-least.xml"), "tick=\"5ms\"", "tick=\"5\""));
    Files.writeString(folder.resolve("tls.xml"), Corpus.input("settings/relay-plain-clients.xml"));
    Files.writeString(folder.resolve("agent.xml"), Corpus.input("settings/agent-every.xml"));
    Files.writeString(folder.resolve("good.day"), Corpus.input("days/stand-ins.day"));
    Files.writeString(folder.resolve("bad.day"), Corpus.input("days/bare.day") + "relays 51\n");
    Files.writeString(folder.resolve("text.txt"), "no figures, no certificate and no JSON\n");
    Files.createDirectory(folder.resolve("empty"));
    Corpus.secret(folder.resolve("api.token"), "0123456789abcdef0123\n");
    Files.writeString(
        folder.resolve("controller.xml"),
        Corpus.input("settings/controller-least.xml").replace(FOLDER, folder.toString()));
  }

  @AfterMethod
  public void end() throws Exception {
    try (var files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }

  @Test
  public void commandsAndOptionsAreTheSame() throws Exception {
    List<String> lines = new ArrayList<>();
    list(new CommandLine(new Commands()).getCommandSpec(), lines);
    Corpus.holdsSorted(CLI + "commands.txt", lines);
  }

  private static void list(CommandSpec command, List<String> lines) {
    String name = command.qualifiedName();
    String aliases = command.aliases().length == 0 ? "" : " aliases " + sorted(command.aliases());
    lines.add(
        name
            + aliases
            + (command.usageMessage().hidden() ? " hidden" : "")
            + " version "
            + Arrays.toString(command.version()));
    for (OptionSpec option : command.options()) {
      lines.add(name + " option " + sorted(option.names()) + taken(option));
    }
    for (PositionalParamSpec parameter : command.positionalParameters()) {
      lines.add(name + " parameter at " + parameter.index() + taken(parameter));
    }
    new TreeMap<>(command.subcommands()).values().forEach(one -> list(one.getCommandSpec(), lines));
  }

  private static String sorted(String[] names) {
    String[] all = names.clone();
    Arrays.sort(all);
    return String.join(",", all);
  }

  private static String taken(ArgSpec argument) {
    return " "
        + LABEL_OF_A_FIELD.matcher(argument.paramLabel()).replaceAll(LABEL)
        + " arity "
        + argument.arity()
        + (argument.required() ? " required" : "")
        + (argument.hidden() ? " hidden" : "")
        + (argument.splitRegex().isEmpty() ? "" : " split by " + argument.splitRegex())
        + " default "
        + usual(argument);
  }

  /** Who runs the test is not the program's. */
  private static String usual(ArgSpec argument) {
    String usual = String.valueOf(argument.defaultValue());
    return usual.equals(System.getProperty("user.name")) ? "the user's name" : usual;
  }

  /** How a call ended. */
  private record End(int code, String out, String err) {}

  private static End run(String... words) {
    PrintStream out = System.out;
    PrintStream err = System.err;
    InputStream in = System.in;
    ByteArrayOutputStream said = new ByteArrayOutputStream();
    ByteArrayOutputStream complained = new ByteArrayOutputStream();
    try {
      System.setOut(new PrintStream(said, true, StandardCharsets.UTF_8));
      System.setErr(new PrintStream(complained, true, StandardCharsets.UTF_8));
      System.setIn(new ByteArrayInputStream(new byte[0]));
      int code = Commands.run(words);
      return new End(
          code, said.toString(StandardCharsets.UTF_8), complained.toString(StandardCharsets.UTF_8));
    } finally {
      System.setOut(out);
      System.setErr(err);
      System.setIn(in);
    }
  }

  /** Each line of the input is a call. */
  @Test
  public void callsEndAsBefore() throws Exception {
    StringBuilder text = new StringBuilder();
    for (String line : Corpus.inputLines(CLI + "calls.txt")) {
      End end =
          run(
              line.equals("(nothing)")
                  ? new String[0]
                  : line.replace(FOLDER, folder.toString()).split(" "));
      text.append("> ").append(line).append("\nexit ").append(end.code()).append('\n');
      text.append("out: ")
          .append(first(end.out()))
          .append("\nerr: ")
          .append(first(end.err()))
          .append('\n');
    }
    Corpus.holds(CLI + "calls-ends.txt", text.toString());
  }

  private String first(String text) {
    String line = text.lines().findFirst().orElse("").replace(folder.toString(), FOLDER);
    return CLASS_OF_A_CONSTANT
        .matcher(LABEL_OF_A_FIELD.matcher(line).replaceAll(LABEL))
        .replaceAll("No enum constant CLASS.");
  }

  /** The names of commands, options and exit codes as people see them. */
  @Test
  public void theOverviewIsTheSame() throws Exception {
    Corpus.holds(CLI + "overview.txt", run("--help").out());
  }

  /** What is made for trying out is found in order, and shown the same but for names and days. */
  @Test
  public void certificatesAreLookedAtAsBefore() throws Exception {
    StringBuilder text = new StringBuilder();
    End made = run("tls", "make-test-ca", "--into", folder + "/ca", "relay-a.example", "127.0.0.1");
    text.append("exit ")
        .append(made.code())
        .append('\n')
        .append(made.out().replace(folder.toString(), FOLDER));
    String own = folder + "/ca/relay-a.example.pem";
    End checked = run("tls", "check", "--trust", folder + "/ca/trust.pem", "--key", own);
    text.append("exit ")
        .append(checked.code())
        .append('\n')
        .append(checked.err().replace(folder.toString(), FOLDER));
    text.append(
        checked
            .out()
            .replaceAll("[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:.]+Z", "TIME")
            .replaceAll("test-[0-9]+", "test-N")
            .replaceAll("[0-9]+ days", "N days"));
    Corpus.holds(CLI + "tls-check.txt", text.toString());
  }
}
