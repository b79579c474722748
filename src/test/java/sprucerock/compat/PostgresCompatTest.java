package sprucerock.compat;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;
import sprucerock.transport.postgres.MessageFramer;
import sprucerock.transport.postgres.MessageReader;
import sprucerock.transport.postgres.MessageWriter;

/**
 * PostgreSQL messages on recorded bytes, in both directions; those that only a client or a server
 * of others sends are read alone.
 */
public class PostgresCompatTest {
  private static final String WRITTEN = "postgres/written.txt";
  private static final String FROM_CLIENTS = "postgres/from-clients.hex";
  private static final String FROM_SERVERS = "postgres/from-servers.hex";
  private static final String READ = "postgres/read.txt";
  private static final String QUERY = "SELECT v FROM records WHERE k = 'a' /* id=7,c=read,d=250 */";
  private static final int MOST_BODY = 1 << 16;
  private static final int VERSION_3 = 3 << 16;
  private static final int SSL_REQUEST = 80877103;
  private static final int GSS_REQUEST = 80877104;
  private static final int CANCEL_REQUEST = 80877102;

  static void record(Path corpus) throws Exception {
    Files.createDirectories(corpus.resolve("postgres"));
    StringBuilder written = new StringBuilder();
    written()
        .forEach(
            (name, bytes) ->
                written
                    .append(name)
                    .append(' ')
                    .append(HexFormat.of().formatHex(bytes))
                    .append('\n'));
    Files.writeString(corpus.resolve(WRITTEN), written.toString());
    Files.writeString(corpus.resolve(FROM_CLIENTS), CorpusFiles.dump(fromClients()));
    Files.writeString(corpus.resolve(FROM_SERVERS), CorpusFiles.dump(fromServers()));
    Files.writeString(
        corpus.resolve(READ), String.join("\n", read(fromClients(), fromServers())) + "\n");
  }

  /** All that the program itself writes, to its clients and to the units behind it. */
  private static Map<String, byte[]> written() {
    Map<String, byte[]> all = new LinkedHashMap<>();
    all.put("welcome", MessageWriter.sessionStart());
    all.put("ready", MessageWriter.readyForQuery());
    all.put("empty-query", MessageWriter.emptyQueryResponse());
    all.put("error", MessageWriter.errorResponse("ERROR", "53300", "no room", null));
    all.put(
        "fatal-with-detail",
        MessageWriter.errorResponse("FATAL", "57P01", "ends now", "told to end; \u00e9"));
    all.put("startup", MessageWriter.startupMessage("relay", "records"));
    all.put("query", MessageWriter.query(QUERY.getBytes(StandardCharsets.UTF_8)));
    all.put("terminate", MessageWriter.terminate());
    return all;
  }

  private static byte[] request(int code, int... more) {
    ByteBuffer bytes =
        ByteBuffer.allocate(8 + 4 * more.length).putInt(8 + 4 * more.length).putInt(code);
    for (int one : more) {
      bytes.putInt(one);
    }
    return bytes.array();
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  /**
   * What clients send, as their library does: requests before the session, the startup message,
   * then typed messages.
   */
  private static byte[] fromClients() {
    byte[] parameters = ascii("user\0ann\0database\0records\0application_name\0psql\0\0");
    byte[] startup =
        MessageWriter.concat(
            ByteBuffer.allocate(8).putInt(8 + parameters.length).putInt(VERSION_3).array(),
            parameters);
    return MessageWriter.concat(
        request(SSL_REQUEST),
        request(GSS_REQUEST),
        request(CANCEL_REQUEST, 4711, 815),
        startup,
        MessageWriter.message('Q', ascii(QUERY + "\0")),
        MessageWriter.message('P', ascii("\0SELECT 1\0\0\0")),
        MessageWriter.message('S', new byte[0]),
        MessageWriter.message('X', new byte[0]));
  }

  /** What a server of one column answers a startup message and queries with. */
  private static byte[] fromServers() {
    byte[] column =
        MessageWriter.concat(
            new byte[] {0, 1},
            ascii("v\0"),
            new byte[] {0, 0, 0x40, 1, 0, 2, 0, 0, 0, 17, -1, -1, -1, -1, -1, -1, 0, 0});
    byte[] row = MessageWriter.concat(new byte[] {0, 1, 0, 0, 0, 6}, ascii("\\x0a0b"));
    return MessageWriter.concat(
        MessageWriter.message('R', new byte[4]),
        MessageWriter.message('S', ascii("server_version\00014.9\0")),
        MessageWriter.message('K', new byte[] {0, 0, 0x12, 0x67, 0, 0, 3, 0x2f}),
        MessageWriter.message('Z', ascii("I")),
        MessageWriter.message('T', column),
        MessageWriter.message('D', row),
        MessageWriter.message('C', ascii("SELECT 1\0")),
        MessageWriter.message('I', new byte[0]),
        MessageWriter.message('N', ascii("SNOTICE\0C00000\0Mnote\0\0")),
        MessageWriter.message(
            'E', ascii("SERROR\0VERROR\0C23505\0Mduplicate key\0DKey (k)=(a)\0\0")));
  }

  /** One line for each message that is read from both streams, with what it says. */
  private static List<String> read(byte[] fromClients, byte[] fromServers) throws Exception {
    List<String> lines = new ArrayList<>();
    MessageFramer clients = MessageFramer.fromClient(MOST_BODY);
    clients.feed(
        ByteBuffer.wrap(fromClients),
        new User(lines) {
          @Override
          public void onMessage(char type, byte[] body)
              throws sprucerock.transport.postgres.ProtocolException {
            if (type == 0
                && MessageReader.parseStartup(body) == MessageReader.StartupKind.SESSION) {
              clients.startupComplete();
            }
            super.onMessage(type, body);
          }
        });
    MessageFramer.fromServer(MOST_BODY).feed(ByteBuffer.wrap(fromServers), new User(lines));
    return lines;
  }

  private static class User implements MessageFramer.Listener {
    private final List<String> lines;

    User(List<String> lines) {
      this.lines = lines;
    }

    @Override
    public void onMessage(char type, byte[] body)
        throws sprucerock.transport.postgres.ProtocolException {
      lines.add(
          (type == 0 ? "startup" : String.valueOf(type))
              + " "
              + HexFormat.of().formatHex(body)
              + " "
              + said(type, body));
    }

    @Override
    public boolean wantsMore() {
      return true;
    }

    private static String said(char type, byte[] body)
        throws sprucerock.transport.postgres.ProtocolException {
      switch (type) {
        case 0:
          return MessageReader.parseStartup(body).toString();
        case 'Q':
          return new String(MessageReader.parseQuery(body), StandardCharsets.UTF_8);
        case 'R':
          MessageReader.requireAuthenticationOk(body);
          return "no password";
        case 'Z':
          MessageReader.requireReadyForQuery(body);
          return "ready";
        case 'T':
          MessageReader.requireSingleColumn(body);
          return "one column";
        case 'D':
          return new String(MessageReader.parseSingleValue(body), StandardCharsets.UTF_8);
        case 'C':
          return MessageReader.parseCommandTag(body);
        case 'E':
          return MessageReader.parseErrorField(body, 'C')
              + " "
              + MessageReader.parseErrorField(body, 'M')
              + " "
              + MessageReader.parseErrorField(body, 'D')
              + " "
              + MessageReader.parseErrorField(body, 'H');
        default:
          return "-";
      }
    }
  }

  @Test
  public void whatIsWrittenHasTheSameBytes() throws IOException {
    List<String> lines = new ArrayList<>();
    written().forEach((name, bytes) -> lines.add(name + " " + HexFormat.of().formatHex(bytes)));
    assertEquals(lines, CorpusFiles.lines(WRITTEN));
  }

  @Test
  public void recordedStreamsAreReadAsTheSameMessages() throws Exception {
    assertEquals(
        read(CorpusFiles.hex(FROM_CLIENTS), CorpusFiles.hex(FROM_SERVERS)),
        CorpusFiles.lines(READ));
  }
}
