package sprucerock.lab.slope;

/** The page whose tables are made and whose words are written: the two markers tell them apart. */
public final class CapacityPage {
  /** Stands alone on the line before the tables. */
  public static final String BEGIN = "<!-- slopes: begin -->";

  /** Stands alone on the line after them. */
  public static final String END = "<!-- slopes: end -->";

  private CapacityPage() {}

  /**
   * The page with other tables and not a letter else changed; refuses a page whose markers are
   * missing, doubled or the wrong way round.
   */
  public static String replace(String page, String tables) throws BadTextException {
    int begin = only(page, BEGIN);
    int end = only(page, END);
    if (end < begin) {
      throw new BadTextException(END + " stands before " + BEGIN + "; put them in order");
    }
    return page.substring(0, begin + BEGIN.length())
        + "\n\n"
        + tables.strip()
        + "\n\n"
        + page.substring(end);
  }

  private static int only(String page, String marker) throws BadTextException {
    int at = page.indexOf(marker);
    boolean alone =
        at >= 0
            && (at == 0 || page.charAt(at - 1) == '\n')
            && (at + marker.length() == page.length()
                || page.charAt(at + marker.length()) == '\n'
                || page.charAt(at + marker.length()) == '\r');
    if (!alone) {
      throw new BadTextException("has no line " + marker + "; add it where the tables go");
    }
    if (page.indexOf(marker, at + 1) >= 0) {
      throw new BadTextException("has " + marker + " twice; take one out");
    }
    return at;
  }
}
