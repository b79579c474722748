package sprucerock;

import java.io.IOException;
import sprucerock.sim.FrameException;
import sprucerock.sim.Simhost;

/** The command line. */
public final class Main {
    private static final String USAGE = "usage: java -jar sprucerock.jar simhost\n"
        + "  simhost   decide for the relays of a simulated fleet, over standard input and output\n"
        + "  --help    print this text";

    private Main() {}

    public static void main(String[] args) throws IOException {
        String command = args.length == 1 ? args[0] : "";
        if (command.equals("--help")) {
            System.out.println(USAGE);
        } else if (command.equals("simhost")) {
            try {
                new Simhost(System.in, System.out).run();
            } catch (FrameException e) {
                System.err.println(e.getMessage());
                System.exit(1);
            }
        } else {
            System.err.println(USAGE);
            System.exit(2);
        }
    }
}
