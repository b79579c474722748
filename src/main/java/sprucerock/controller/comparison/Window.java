package sprucerock.controller.comparison;

/**
 * What one relay did in one stretch of time, the same for all that are compared.
 *
 * @param rpcs that came
 * @param worth that these asked for; {@code inTime}: of it, served within the soft deadline
 * @param refused RPCs pushed back; {@code aborted}, {@code lost} alike
 * @param answeredMs the sum of the answered ones' times; {@code answered}: how many
 * @param workMs processor time
 * @param memoryMb held at its end; {@code connections} alike
 * @param messages sent to peers and to the desk
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
  public static final Window NONE = new Window(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0);

  /** Both together; what is held is what the later one holds. */
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
   * What came between an earlier reading of the same sums and this one; what is held is as it is
   * now.
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

  /** One figure; NaN where there is none. {@code first}: the window after the start. */
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
