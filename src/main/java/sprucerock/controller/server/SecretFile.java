package sprucerock.controller.server;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.util.Set;
import sprucerock.config.ConfigException;
import sprucerock.config.XmlElement;

/** Reads files of secrets; one that others can read is rejected. */
final class SecretFile {
  private SecretFile() {}

  /**
   * The text of the file that an attribute of a node names.
   *
   * @throws ConfigException if it can't be read, or others than its owner have any right to it
   */
  static String read(XmlElement node, String key) throws ConfigException {
    Path file = Path.of(node.text(key));
    try {
      Set<PosixFilePermission> open = Files.getPosixFilePermissions(file);
      open.removeAll(
          Set.of(
              PosixFilePermission.OWNER_READ,
              PosixFilePermission.OWNER_WRITE,
              PosixFilePermission.OWNER_EXECUTE));
      if (!open.isEmpty()) {
        throw node.invalid(key + ": " + file + " is open to others than its owner; chmod 600 it");
      }
      return Files.readString(file);
    } catch (IOException e) {
      throw node.invalid(key + ": " + file + " can't be read: " + e.getClass().getSimpleName());
    }
  }
}
