package sprucerock.relay.platform.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The soak by hand: {@code SoakMain FIRST_SEED LAST_SEED SECONDS [KIND,KIND... FLOODS]}; a line for
 * each seed, and the relay's log in {@code target/soak-SEED.log}. With kinds the bad clients are
 * these alone, and so many of them. The environment variable {@code SOAK_JAVA_OPTIONS} has further
 * options of the relay's virtual machine.
 */
public final class SoakMain {
  private SoakMain() {}

  private static Set<BadClient> kinds(String names) {
    return Arrays.stream(names.split(",")).map(BadClient::valueOf).collect(Collectors.toSet());
  }

  /** Runs one seed after another; exit code 1 where a rule was broken. */
  public static void main(String[] args) throws Exception {
    int violated = 0;
    for (long seed = Long.parseLong(args[0]); seed <= Long.parseLong(args[1]); seed++) {
      SoakPlan plan = SoakPlan.of(seed, Integer.parseInt(args[2]));
      if (args.length > 4) {
        plan = plan.withBadClients(kinds(args[3]), Integer.parseInt(args[4]));
      }
      try (Soak soak = new Soak(plan, 0)) {
        List<String> options = new ArrayList<>(Soak.deployOptions());
        String more = System.getenv("SOAK_JAVA_OPTIONS");
        if (more != null) {
          options.addAll(List.of(more.trim().split(" +")));
        }
        SoakReport report = soak.run(options);
        System.out.println(report);
        Files.write(Path.of("target", "soak-" + seed + ".log"), report.log());
        violated += report.isClean() ? 0 : 1;
      }
    }
    System.out.println(violated + " seeds violated a rule");
    System.exit(violated > 0 ? 1 : 0);
  }
}
