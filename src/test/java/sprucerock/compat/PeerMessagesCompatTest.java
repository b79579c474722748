package sprucerock.compat;

import static org.testng.Assert.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.testng.annotations.Test;
import sprucerock.model.Build;
import sprucerock.model.Endpoint;
import sprucerock.policy.evidence.CanaryTrial;
import sprucerock.policy.evidence.LoadReports;
import sprucerock.policy.evidence.StageEvidence;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * What relays tell each other, on recorded bytes: the contents of a datagram, or the body of a TOLD
 * frame.
 */
public class PeerMessagesCompatTest {
  private static final String WRITTEN = "peers/written.txt";
  private static final String READ = "peers/read.txt";
  private static final Timestamp START = Timestamp.ofMs(1000);
  private static final TimeSpan LIFE = TimeSpan.ofMs(2000);
  private static final long FIRST_ID = 17;
  private static final long SECOND_ID = 0x123456789abcL;
  private static final int BUILD = 5;
  private static final int STAGE = 2;

  /** A relay's side of such messages: two units on its board. */
  private static final class Relay {
    private final LoadReports board = new LoadReports(LIFE);
    private final Endpoint first = unit(FIRST_ID);
    private final Endpoint second = unit(SECOND_ID);

    Relay() {
      board.addEndpoint(first);
      board.addEndpoint(second);
    }

    private static Endpoint unit(long id) {
      return new Endpoint(id, 1, 2, 3, new Build(BUILD), null, 1);
    }
  }

  static void record(Path corpus) throws Exception {
    Files.createDirectories(corpus.resolve("peers"));
    List<String> written = written();
    Files.writeString(corpus.resolve(WRITTEN), String.join("\n", written) + "\n");
    Files.writeString(corpus.resolve(READ), String.join("\n", read(written)) + "\n");
  }

  /**
   * A pick's start, an end that is half a life old, a very late end, the loads, and a report on an
   * offered build.
   */
  private static List<String> written() {
    Relay relay = new Relay();
    List<byte[]> messages = new ArrayList<>();
    messages.add(relay.board.encodeAttempt(relay.first, null));
    messages.add(relay.board.encodeAttempt(relay.second, LIFE.times(0.5)));
    messages.add(relay.board.encodeAttempt(relay.second, LIFE.times(9)));
    for (int i = 0; i < 3; i++) {
      relay.board.applyAttempt(relay.board.encodeAttempt(relay.first, null), START);
    }
    for (int i = 0; i < 5; i++) {
      relay.board.applyAttempt(relay.board.encodeAttempt(relay.second, null), START);
    }
    messages.add(relay.board.encodeLoads(2, 1.25, START));
    messages.add(evidence(relay).encodeReport(BUILD, STAGE));
    return messages.stream().map(HexFormat.of()::formatHex).toList();
  }

  private static StageEvidence evidence(Relay relay) {
    StageEvidence evidence = new StageEvidence(2, 80);
    evidence.pairs = 260; // told as 255
    evidence.recordCanaryFailure(relay.first);
    evidence.recordCanaryFailure(relay.second);
    evidence.baselineFailures = 1;
    return evidence;
  }

  /** What a relay makes of the messages, in the order of {@link #written}. */
  private static List<String> read(List<String> messages) {
    List<byte[]> bytes = messages.stream().map(HexFormat.of()::parseHex).toList();
    Relay relay = new Relay();
    List<String> lines = new ArrayList<>();
    for (byte[] attempt : bytes.subList(0, 3)) {
      boolean ended = relay.board.applyAttempt(attempt, START);
      lines.add(
          "ended "
              + ended
              + ", first "
              + relay.first.fleetInFlight.at(START)
              + ", second "
              + relay.second.fleetInFlight.at(START));
    }
    lines.add(
        "figure "
            + relay.board.applyLoads(bytes.get(3), START)
            + ", first "
            + relay.first.reportedInFlight
            + ", second "
            + relay.second.reportedInFlight);
    CanaryTrial offer = new CanaryTrial(new Build(BUILD), 2);
    offer.enterStage(STAGE, START, false);
    offer.receiveReport(1, bytes.get(4));
    lines.add(
        "pairs and failures "
            + java.util.Arrays.toString(offer.pooledCounts())
            + " at "
            + offer.failingEndpoints()
            + " units");
    return lines;
  }

  @Test
  public void whatIsToldHasTheSameBytes() throws Exception {
    assertEquals(written(), CorpusFiles.lines(WRITTEN));
  }

  @Test
  public void recordedMessagesMeanTheSame() throws Exception {
    assertEquals(read(CorpusFiles.lines(WRITTEN)), CorpusFiles.lines(READ));
  }
}
