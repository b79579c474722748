package sprucerock.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line of everything but simhost, which starts without it. */
@Command(
    name = "sprucerock",
    mixinStandardHelpOptions = true,
    version = "sprucerock 0.2.0",
    description = "A relay that moves traffic between builds, and the kit to rehearse it.",
    subcommands = {
      RelayCommand.class,
      CheckConfigCommand.class,
      RehearseCommand.class,
      JudgeCommand.class,
      BenchCommand.class,
      FiguresCommand.class,
      TlsCommand.class,
      ControllerCommand.class,
      ReleaseCommand.class,
      AgentCommand.class,
      ChangeCommand.class,
      LeaseCommand.class,
      FreezeCommand.class,
      LabCommand.class,
      ServeCommand.class,
      SimhostCommand.class
    },
    footer = {
      "",
      "Exit codes: 0 done, 1 found wanting, 2 bad usage or configuration, 3 failed at run time."
    })
public final class Commands implements Runnable {
  /** Done as asked. */
  public static final int DONE = 0;

  /** Ran, and what was looked at is not in order: a rule is broken, figures differ. */
  public static final int WANTING = 1;

  /** Wrong usage or configuration; nothing was begun. */
  public static final int USAGE = 2;

  /** Failed while it ran. */
  public static final int FAILED = 3;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
  }

  /** Runs a command line; returns its exit code. */
  public static int run(String... args) {
    CommandLine line = new CommandLine(new Commands());
    line.setParameterExceptionHandler(
        (e, given) -> {
          e.getCommandLine()
              .getErr()
              .println(
                  e.getMessage()
                      + "; see "
                      + e.getCommandLine().getCommandSpec().qualifiedName()
                      + " --help");
          return USAGE;
        });
    line.setExecutionExceptionHandler(
        (e, command, result) -> {
          command.getErr().println(e.getMessage() == null ? e.toString() : e.getMessage());
          boolean given =
              e instanceof sprucerock.config.ConfigException
                  || e instanceof sprucerock.rehearsal.scenario.ScenarioParser.ScriptException;
          return given ? USAGE : FAILED;
        });
    return line.execute(args);
  }
}
