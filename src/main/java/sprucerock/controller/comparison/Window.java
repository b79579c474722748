package sprucerock.controller.comparison;

/**
 * What one relay did in one period of time, which is the same for all relays that are compared.
 *
 * @param rpcs the RPCs that arrived
 * @param weight the priority weight of these RPCs
 * @param weightInTime the weight of the RPCs served within the latency objective
 * @param rejected the number of rejected RPCs
 * @param aborted the number of aborted RPCs
 * @param lost the number of RPCs that got no answer
 * @param answered the number of answered RPCs
 * @param answeredMs the sum of the latencies of the answered RPCs
 * @param workMs the processor time used
 * @param memoryMb the memory in use at the end of the period
 * @param connections the connections open at the end of the period
 * @param messages the number of messages sent to peers and to the controller
 */
public record Window(
    double rpcs,
    double weight,
    double weightInTime,
    double rejected,
    double aborted,
    double lost,
    double answered,
    double answeredMs,
    double workMs,
    double memoryMb,
    double connections,
    double messages) {
  /** A window without RPCs. */
  public static final Window NONE = new Window(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0);

  /** Adds a later window; memory and connections are those of the later window. */
  public Window plus(Window later) {
    return new Window(
        rpcs + later.rpcs,
        weight + later.weight,
        weightInTime + later.weightInTime,
        rejected + later.rejected,
        aborted + later.aborted,
        lost + later.lost,
        answered + later.answered,
        answeredMs + later.answeredMs,
        workMs + later.workMs,
        later.memoryMb,
        later.connections,
        messages + later.messages);
  }

  /**
   * Returns the difference between these totals and an earlier reading of them; memory and
   * connections are those of this reading.
   */
  public Window minus(Window earlier) {
    return new Window(
        rpcs - earlier.rpcs,
        weight - earlier.weight,
        weightInTime - earlier.weightInTime,
        rejected - earlier.rejected,
        aborted - earlier.aborted,
        lost - earlier.lost,
        answered - earlier.answered,
        answeredMs - earlier.answeredMs,
        workMs - earlier.workMs,
        memoryMb,
        connections,
        messages - earlier.messages);
  }

  /**
   * Returns the value of a measure; not finite if the window has no data for it.
   *
   * @param first the relay's first compared window, from which growth is measured
   */
  double value(Measure measure, Window first) {
    return switch (measure) {
      case UNSERVED -> 1 - weightInTime / weight;
      case REFUSED -> rejected / rpcs;
      case ABORTED -> aborted / rpcs;
      case LOST -> lost / rpcs;
      case LATENCY -> Math.log(answeredMs / answered);
      case WORK -> Math.log(workMs / rpcs);
      case MEMORY -> Math.log(memoryMb);
      case GROWTH -> Math.log(memoryMb / first.memoryMb);
      case CONNECTIONS -> Math.log(connections);
      case MESSAGES -> Math.log(messages / rpcs);
    };
  }
}
