package sprucerock.controller.server;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.util.Set;
import sprucerock.config.ConfigException;
import sprucerock.config.XmlElement;

/** Reads files that hold secrets; rejects a file that users other than its owner can access. */
final class SecretFile {
  private SecretFile() {}

  /**
   * Reads the file whose path is an attribute of a node.
   *
   * @throws ConfigException if the file can't be read, or grants any permission to users other than
   *     its owner
   */
  static String read(XmlElement node, String key) throws ConfigException {
    Path file = Path.of(node.text(key));
    try {
      Set<PosixFilePermission> permissionsOfOthers = Files.getPosixFilePermissions(file);
      permissionsOfOthers.removeAll(
          Set.of(
              PosixFilePermission.OWNER_READ,
              PosixFilePermission.OWNER_WRITE,
              PosixFilePermission.OWNER_EXECUTE));
      if (!permissionsOfOthers.isEmpty()) {
        throw node.invalid(key + ": " + file + " is open to others than its owner; chmod 600 it");
      }
      return Files.readString(file);
    } catch (IOException e) {
      throw node.invalid(key + ": " + file + " can't be read: " + e.getClass().getSimpleName());
    }
  }
}
