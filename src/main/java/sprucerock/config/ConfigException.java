package sprucerock.config;

/**
 * A configuration that can't be used; the message is one line: file, line, what is wrong, what is
 * allowed.
 */
public final class ConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  public ConfigException(String message) {
    super(message);
  }
}
