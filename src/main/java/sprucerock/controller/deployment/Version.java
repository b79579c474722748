package sprucerock.controller.deployment;

/**
 * What a relay runs: a program and its settings, each by the SHA-256 of its bytes in lower-case
 * hexadecimal.
 */
public record Version(String program, String settings) {
  /** Nothing is known to run. */
  public static final Version NONE = new Version("", "");

  /**
   * Checks the digests.
   *
   * @throws IllegalArgumentException if either is no such digest, but for {@link #NONE}
   */
  public Version {
    boolean none = program.isEmpty() && settings.isEmpty();
    if (!none && !(isDigest(program) && isDigest(settings))) {
      throw new IllegalArgumentException(
          "a version is two SHA-256 digests of 64 hexadecimal digits, not \""
              + program
              + "\" and \""
              + settings
              + "\"");
    }
  }

  /** Whether a text is a SHA-256 digest in lower-case hexadecimal. */
  public static boolean isDigest(String text) {
    return text.matches("[0-9a-f]{64}");
  }

  /** For people: the beginnings of both. */
  @Override
  public String toString() {
    return this.equals(NONE) ? "nothing" : program.substring(0, 8) + "/" + settings.substring(0, 8);
  }
}
