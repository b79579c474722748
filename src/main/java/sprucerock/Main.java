package sprucerock;

import java.io.IOException;
import sprucerock.cli.Commands;
import sprucerock.cli.ServeCommand;
import sprucerock.simulation.FrameException;
import sprucerock.simulation.SimulationHost;

/** Starts what the command line names. */
public final class Main {
  private Main() {}

  /**
   * Runs one command and ends the process with its exit code.
   *
   * @param args the command line; see {@link Commands}
   */
  public static void main(String[] args) throws IOException, InterruptedException {
    if (args.length == 1 && args[0].equals("simhost")) {
      simhost(); // apart, as the bench pays for each start
    } else if (args.length == 1 && args[0].equals("serve")) {
      Runtime.getRuntime().halt(ServeCommand.serve()); // each restart counts too
    } else if (args.length == 1 && args[0].equals("warm")) {
      ServeCommand.warm(); // for the build's archive of classes
    } else {
      System.exit(Commands.run(args));
    }
  }

  private static void simhost() throws IOException {
    try {
      new SimulationHost(System.in, System.out).run();
    } catch (FrameException e) {
      System.err.println(e.getMessage());
      System.exit(Commands.WANTING);
    }
  }
}
