package sprucerock.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import sprucerock.simulation.FrameException;
import sprucerock.simulation.SimulationHost;

/** Named here for the help; Main starts it without this command line. */
@Command(
    name = "simhost",
    mixinStandardHelpOptions = true,
    description = "Decides for the relays of a simulated fleet, over standard input and output.")
final class SimhostCommand implements Callable<Integer> {
  @Override
  public Integer call() throws Exception {
    try {
      new SimulationHost(System.in, System.out).run();
      return Commands.DONE;
    } catch (FrameException e) {
      System.err.println(e.getMessage());
      return Commands.WANTING;
    }
  }
}
