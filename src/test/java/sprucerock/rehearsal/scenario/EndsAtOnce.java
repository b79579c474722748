package sprucerock.rehearsal.scenario;

import sprucerock.Main;

/**
 * A program that reads settings through and does not run: what a broken build looks like to an
 * agent.
 */
public final class EndsAtOnce {
  private EndsAtOnce() {}

  public static void main(String[] args) throws Exception {
    if (args[0].equals("relay")) {
      System.exit(3);
    }
    Main.main(args);
  }
}
