package sprucerock.config;

/** A configuration that can't be used. */
public final class ConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  /** The message is one line: file, line, what is wrong, what is allowed. */
  public ConfigException(String message) {
    super(message);
  }
}
