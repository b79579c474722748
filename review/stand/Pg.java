import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** The messages of PostgreSQL's protocol, version 3, that PROTOCOL.md uses. */
final class Pg {
  record Message(char type, byte[] body) {}

  private Pg() {}

  static byte[] startup() throws IOException {
    byte[] parameters = "user\0svc\0database\0main\0\0".getBytes(StandardCharsets.US_ASCII);
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    out.writeInt(8 + parameters.length);
    out.writeInt(196608);
    out.write(parameters);
    return bytes.toByteArray();
  }

  static byte[] message(char type, byte[] body) {
    byte[] made = new byte[body.length + 5];
    made[0] = (byte) type;
    int length = body.length + 4;
    for (int i = 0; i < 4; i++) {
      made[1 + i] = (byte) (length >>> (24 - 8 * i));
    }
    System.arraycopy(body, 0, made, 5, body.length);
    return made;
  }

  static byte[] query(String text) {
    return message('Q', (text + "\0").getBytes(StandardCharsets.ISO_8859_1));
  }

  static byte[] welcome() {
    return join(message('R', new byte[4]), message('Z', new byte[] {'I'}));
  }

  static byte[] ready() {
    return message('Z', new byte[] {'I'});
  }

  static byte[] error(String code, String text) {
    return message(
        'E', ("SERROR\0C" + code + "\0M" + text + "\0\0").getBytes(StandardCharsets.US_ASCII));
  }

  /** The row's description, the row and the completion. */
  static byte[] row(byte[] value) {
    byte[] description = new byte[2 + 2 + 18];
    description[1] = 1;
    description[2] = 'v';
    description[9 + 1] = 17;
    description[21] = 1;
    byte[] row = new byte[6 + value.length];
    row[1] = 1;
    for (int i = 0; i < 4; i++) {
      row[2 + i] = (byte) (value.length >>> (24 - 8 * i));
    }
    System.arraycopy(value, 0, row, 6, value.length);
    return join(
        message('T', description),
        message('D', row),
        message('C', "SELECT 1\0".getBytes(StandardCharsets.US_ASCII)));
  }

  static byte[] join(byte[]... parts) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (byte[] part : parts) {
      all.writeBytes(part);
    }
    return all.toByteArray();
  }

  static byte[] readStartup(DataInputStream in) throws IOException {
    byte[] body = new byte[in.readInt() - 4];
    in.readFully(body);
    return body;
  }

  static Message read(DataInputStream in) throws IOException {
    char type = (char) in.readUnsignedByte();
    byte[] body = new byte[in.readInt() - 4];
    in.readFully(body);
    return new Message(type, body);
  }

  static String errorField(byte[] body, char letter) {
    for (String field : new String(body, StandardCharsets.ISO_8859_1).split("\0")) {
      if (!field.isEmpty() && field.charAt(0) == letter) {
        return field.substring(1);
      }
    }
    return "";
  }

  /** The value of a name in the comment; empty where it has none. */
  static String said(String statement, String name) {
    int from = statement.lastIndexOf("/* ");
    String comment = statement.substring(from + 3, statement.lastIndexOf(" */"));
    for (String part : comment.split(",")) {
      if (part.startsWith(name + "=")) {
        return part.substring(name.length() + 1);
      }
    }
    return "";
  }
}
