package sprucerock.controller.server;

import sprucerock.controller.comparison.Window;
import sprucerock.controller.deployment.Deployment;
import sprucerock.controller.deployment.ManagedRelay;
import sprucerock.controller.deployment.Version;
import sprucerock.controller.v1.Checked;
import sprucerock.controller.v1.Failed;
import sprucerock.controller.v1.Input;
import sprucerock.transport.wire.v1.AgentSays;
import sprucerock.transport.wire.v1.Failure;
import sprucerock.transport.wire.v1.Readable;
import sprucerock.transport.wire.v1.RelaySums;
import sprucerock.transport.wire.v1.Wants;

/** Translates between messages of agents and the controller's log entries. */
final class AgentMessages {
  private AgentMessages() {}

  /**
   * Builds the desired state of a relay, with the deployment that its agent is to validate.
   *
   * @param relay null if the relay is not known yet
   * @param pending null if no deployment is pending
   */
  static Wants desiredState(long epoch, ManagedRelay relay, Deployment pending) {
    Wants.Builder wants = Wants.newBuilder().setEpoch(epoch);
    if (relay != null
        && relay.desiredVersion() != null
        && !relay.desiredVersion().equals(Version.NONE)) {
      wants
          .setTurn(relay.generation())
          .setProgram(relay.desiredVersion().program())
          .setSettings(relay.desiredVersion().settings());
    }
    if (pending != null && pending.state() == Deployment.State.PROPOSED) {
      wants
          .setChange(pending.number)
          .setCheckProgram(pending.toVersion.program())
          .setCheckSettings(pending.toVersion.settings());
    }
    return wants.build();
  }

  /**
   * Whether a status differs from the recorded state of its relay.
   *
   * @param recorded null if nothing is recorded
   */
  static boolean differsFromRecorded(AgentSays status, ManagedRelay recorded) {
    return recorded == null
        || recorded.unreachable()
        || recorded.zone() != status.getZone()
        || !recorded.observedVersion().equals(version(status))
        || recorded.ready() != status.getReady()
        || recorded.observedGeneration() != status.getDone();
  }

  /** The version that a relay runs, according to its agent's status. */
  static Version version(AgentSays status) {
    return new Version(status.getProgram(), status.getSettings());
  }

  /** The log entry for a status. */
  static Input.Builder statusEntry(int relay, AgentSays status, boolean busy) {
    return Input.newBuilder()
        .setAgent(
            sprucerock.controller.v1.AgentSays.newBuilder()
                .setRelay(relay)
                .setZone(status.getZone())
                .setBusy(busy)
                .setRuns(toMessage(version(status)))
                .setReady(status.getReady())
                .setDone(status.getDone()));
  }

  /** The log entry for a version that failed on a relay. */
  static Input.Builder failureEntry(int relay, Failure failure) {
    Version version = new Version(failure.getProgram(), failure.getSettings());
    return Input.newBuilder()
        .setFailed(
            Failed.newBuilder()
                .setRelay(relay)
                .setVersion(toMessage(version))
                .setHow(failure.getHow())
                .setTurn(failure.getTurn()));
  }

  /** The log entry for a relay's validation of a proposed version. */
  static Input.Builder validationEntry(int relay, Readable validation) {
    return Input.newBuilder()
        .setChecked(
            Checked.newBuilder()
                .setRelay(relay)
                .setChange(validation.getChange())
                .setRefusal(validation.getRefusal()));
  }

  private static sprucerock.controller.v1.Version toMessage(Version version) {
    return sprucerock.controller.v1.Version.newBuilder()
        .setProgram(version.program())
        .setSettings(version.settings())
        .build();
  }

  /** Converts a relay's totals since its start to the values that deployments are compared by. */
  static Window totals(RelaySums sums) {
    return new Window(
        sums.getRpcs(),
        sums.getWorth(),
        sums.getInTime(),
        sums.getRefused(),
        sums.getAborted(),
        sums.getLost(),
        sums.getAnswered(),
        sums.getAnsweredMs(),
        sums.getWorkMs(),
        sums.getMemoryMb(),
        sums.getConnections(),
        sums.getMessages());
  }
}
