package sprucerock.compat;

import java.nio.file.Path;
import sprucerock.agent.AgentFolderCompatTest;
import sprucerock.controller.ControllerCompatTest;
import sprucerock.controller.server.WebhooksCompatTest;
import sprucerock.relay.platform.StatementsCompatTest;

/**
 * Writes the recorded files of the compatibility corpus; run by hand, with the corpus folder as
 * argument, by the program whose formats are to be kept. A test that fails on a recorded file tells
 * of a format that changed: recording anew hides that, and is right only where the change is meant
 * and told to those who run an older program.
 */
public final class CompatRecorder {
  private CompatRecorder() {}

  public static void main(String[] arguments) throws Exception {
    Path corpus = Path.of(arguments[0]);
    FramesCompatTest.record(corpus);
    PostgresCompatTest.record(corpus);
    StatementsCompatTest.record(corpus);
    PeerMessagesCompatTest.record(corpus);
    FiguresCompatTest.record(corpus);
    ControllerCompatTest.record(corpus);
    WebhooksCompatTest.record(corpus);
    AgentFolderCompatTest.record(corpus);
    SlopesCompatTest.record(corpus);
    RehearsalCompatTest.record(corpus);
  }
}
