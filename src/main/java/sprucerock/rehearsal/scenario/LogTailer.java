package sprucerock.rehearsal.scenario;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import sprucerock.rehearsal.trace.Line;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.v1.Answer;
import sprucerock.transport.wire.v1.Ending;

/**
 * Follows announcements from the webhook to the first answers by the build that they announced, all
 * on the machine's one clock.
 */
final class LogTailer {
  private LogTailer() {}

  static List<String> deliveries(ScenarioRunner play, Path folder) throws IOException {
    Map<Integer, Long> firstAttempt = new TreeMap<>();
    Map<Integer, Long> firstAnswer = new TreeMap<>();
    for (Line line : Line.read(folder.resolve("standins.trace"))) {
      if (line.is('<', FrameKind.WORK) && line.place().startsWith("unit-")) {
        firstAttempt.putIfAbsent(
            play.buildOf(Integer.parseInt(line.place().substring(5))), line.us());
      } else if (line.is('<', FrameKind.ANSWER) && line.place().startsWith("client-")) {
        Answer answer = line.head(Answer.getDefaultInstance());
        if (answer.getEnding() == Ending.OK) {
          firstAnswer.putIfAbsent(play.buildOf((int) answer.getUnit()), line.us());
        }
      }
    }
    List<String> found = new ArrayList<>();
    for (RealController.Delivery one : play.controller().deliveries()) {
      found.add(
          String.format(
              Locale.ROOT,
              "%s: build %d, taken after %s, first pick at its units after %s, first answer of it to a client after %s; answers %s",
              one.id,
              one.build,
              since(one.sentUs, one.takenUs),
              since(one.sentUs, firstAttempt.getOrDefault(one.build, 0L)),
              since(one.sentUs, firstAnswer.getOrDefault(one.build, 0L)),
              one.answers));
    }
    return found;
  }

  private static String since(long from, long to) {
    return to == 0 ? "(never)" : (to - from) / 1000 + " ms";
  }
}
