package sprucerock.rehearsal.invariant;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import sprucerock.rehearsal.trace.Line;
import sprucerock.transport.wire.FrameKind;

/**
 * Rules on all five from traces and the deployment's figures alone. It knows nothing of the module
 * or the ledger.
 */
public final class InvariantChecker {
  /** What it found, and how much it looked at: a judge that saw nothing has proved nothing. */
  public record Verdict(
      List<Finding> findings,
      int relayRuns,
      long frames,
      long rpcs,
      long attempts,
      long stalledMs,
      List<String> shared) {
    public boolean kept() {
      return findings.isEmpty() && rpcs > 0;
    }
  }

  private InvariantChecker() {}

  /**
   * A folder as a rehearsal leaves it: relay-N.M.trace for the M-th run of relay N, others from
   * stand-ins, relay-0.xml.
   */
  public static Verdict judge(Path folder) throws IOException {
    Map<String, List<Line>> relays = new TreeMap<>();
    List<Line> others = new ArrayList<>();
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.filter(path -> path.toString().endsWith(".trace")).sorted().toList()) {
        String name = file.getFileName().toString();
        if (name.startsWith("relay-")) {
          relays.put(name, Line.read(file));
        } else {
          others.addAll(Line.read(file));
        }
      }
    }
    return judge(Rules.read(folder.resolve("relay-0.xml")), relays, others);
  }

  /** The same for traces at hand; relays' by names such as relay-0.1.trace. */
  public static Verdict judge(Rules rules, Map<String, List<Line>> relays, List<Line> others) {
    List<Finding> findings = new ArrayList<>();
    Set<String> arrived = new HashSet<>();
    for (Line line : others) {
      if (line.is('<', FrameKind.WORK) && line.place().startsWith("unit-")) {
        arrived.add(line.mark() + "@" + line.place().substring(5));
      }
    }
    FleetJudge fleet = new FleetJudge(rules, findings);
    LeaseJudge leases = new LeaseJudge(findings);
    long frames = others.size();
    long rpcs = 0;
    long attempts = 0;
    long stalledUs = 0;
    for (Map.Entry<String, List<Line>> relay : relays.entrySet()) {
      List<Line> lines = relay.getValue();
      new RelayJudge(rules, arrived, findings).judge(lines);
      fleet.relay(Integer.parseInt(relay.getKey().replaceFirst("relay-([0-9]+).*", "$1")), lines);
      leases.relay(lines);
      frames += lines.size();
      rpcs += lines.stream().filter(line -> line.is('<', FrameKind.CALL)).count();
      attempts += lines.stream().filter(line -> line.is('>', FrameKind.WORK)).count();
      for (Line line : lines) {
        if (line.isNote("STALL")) {
          stalledUs += Long.parseLong(line.text());
        }
      }
    }
    fleet.standIns(others);
    leases.standIns(others);
    FreezeJudge freezes = new FreezeJudge(findings);
    freezes.standIns(others);
    List<String> shared = new ArrayList<>(leases.summary());
    shared.addAll(freezes.summary());
    return new Verdict(findings, relays.size(), frames, rpcs, attempts, stalledUs / 1000, shared);
  }
}
