package sprucerock.controller.deployment;

/**
 * What a relay runs: a program and its settings, each identified by the SHA-256 digest of its bytes
 * in lower-case hexadecimal.
 */
public record Version(String program, String settings) {
  /** Stands for an unknown version. */
  public static final Version NONE = new Version("", "");

  /**
   * Checks the digests.
   *
   * @throws IllegalArgumentException if one of them is not a digest, unless both are empty as in
   *     {@link #NONE}
   */
  public Version {
    boolean isNone = program.isEmpty() && settings.isEmpty();
    if (!isNone && !(isDigest(program) && isDigest(settings))) {
      throw new IllegalArgumentException(
          "a version needs two SHA-256 digests of 64 lower-case hexadecimal digits, but has \""
              + program
              + "\" and \""
              + settings
              + "\"");
    }
  }

  /** Returns whether a text is a SHA-256 digest in lower-case hexadecimal. */
  public static boolean isDigest(String text) {
    return text.matches("[0-9a-f]{64}");
  }

  /** Returns the first eight digits of both digests, for operators. */
  @Override
  public String toString() {
    return this.equals(NONE) ? "nothing" : program.substring(0, 8) + "/" + settings.substring(0, 8);
  }
}
