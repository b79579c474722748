package sprucerock.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import sprucerock.rehearsal.invariant.Finding;
import sprucerock.rehearsal.invariant.InvariantChecker;

@Command(
    name = "judge",
    mixinStandardHelpOptions = true,
    description = "Judges the traces that a rehearsal left. Exit code 1: a rule was broken.")
final class JudgeCommand implements Callable<Integer> {
  @Parameters(paramLabel = "DIR", description = "the folder that rehearse named")
  private Path folder;

  @Override
  public Integer call() throws Exception {
    InvariantChecker.Verdict verdict = InvariantChecker.judge(folder);
    for (Finding finding : verdict.findings()) {
      System.out.println(finding);
    }
    System.out.println(
        (verdict.kept() ? "rules kept: " : "RULES BROKEN OR NOTHING SEEN: ")
            + verdict.rpcs()
            + " RPCs, "
            + verdict.attempts()
            + " picks, "
            + verdict.frames()
            + " lines");
    return verdict.kept() ? Commands.DONE : Commands.WANTING;
  }
}
