package sprucerock.relay.platform;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.TokenBuffer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import sprucerock.transport.http.HttpException;

/**
 * Reads lists of endpoints from pieces of any size. Of a list that is incomplete it keeps its
 * entries alone, each without the tree that it was read from: a whole list as a tree takes some ten
 * times its bytes.
 *
 * <p>"Holds one JSON object per line", and "lists may come indented": an object ends where its last
 * brace does, on whichever line. Not thread-safe.
 */
final class EndpointListParser {
  /** Gets each complete list. */
  interface Listener {
    void listed(EndpointList list) throws HttpException;
  }

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String ENTRIES_FIELD = "servers";

  /** Within the array of entries, which stands in the list's object. */
  private static final int ENTRIES_DEPTH = 2;

  private final int maxListBytes;
  private final int maxEntries;
  private final JsonParser parser;
  private final ByteArrayFeeder feeder;
  private int depth;
  private int listBytes;
  private boolean isInEntries;
  private List<ListedEndpoint> entries;

  /** The entry that is incomplete; null between entries. */
  private TokenBuffer entry;

  /** All of the list but its entries. */
  private TokenBuffer rest;

  EndpointListParser(int maxListBytes, int maxEntries) {
    this.maxListBytes = maxListBytes;
    this.maxEntries = maxEntries;
    try {
      parser = JSON.getFactory().createNonBlockingByteArrayParser();
    } catch (IOException e) {
      throw new UncheckedIOException(e); // it reads nothing by itself
    }
    feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    beginList();
  }

  private void beginList() {
    rest = new TokenBuffer(parser);
    entries = new ArrayList<>();
    depth = 0;
    listBytes = 0;
  }

  /**
   * Takes the next bytes.
   *
   * @return whether they end between two lists
   * @throws HttpException if they are no lists, or too long a one
   */
  boolean feed(ByteBuffer bytes, Listener listener) throws HttpException {
    byte[] copy = new byte[bytes.remaining()];
    bytes.get(copy);
    try {
      feeder.feedInput(copy, 0, copy.length);
      for (JsonToken token = parser.nextToken();
          token != JsonToken.NOT_AVAILABLE;
          token = parser.nextToken()) {
        take(token);
        if (depth == 0) {
          EndpointList list = complete();
          beginList();
          listener.listed(list);
        }
      }
    } catch (IOException e) {
      throw new HttpException("what is no JSON: " + e.getMessage().split("\n")[0]);
    }
    listBytes = depth == 0 ? 0 : listBytes + copy.length;
    if (listBytes > maxListBytes) {
      throw new HttpException("a list of more than " + maxListBytes + " bytes");
    }
    return depth == 0;
  }

  private void take(JsonToken token) throws IOException, HttpException {
    boolean wasInEntries = isInEntries && depth >= ENTRIES_DEPTH;
    if (token.isStructStart()) {
      depth++;
    } else if (token.isStructEnd()) {
      depth--;
    }
    if (wasInEntries && depth >= ENTRIES_DEPTH) {
      takeOfEntry();
      return;
    }
    rest.copyCurrentEvent(parser);
    isInEntries = depth == ENTRIES_DEPTH && isEntriesArray(token);
    if (isInEntries) {
      entries.clear();
    }
  }

  private boolean isEntriesArray(JsonToken token) throws IOException {
    return token == JsonToken.START_ARRAY
        && ENTRIES_FIELD.equals(parser.getParsingContext().getParent().getCurrentName());
  }

  private void takeOfEntry() throws IOException, HttpException {
    if (entry == null) {
      entry = new TokenBuffer(parser);
    }
    entry.copyCurrentEvent(parser);
    if (depth == ENTRIES_DEPTH) {
      JsonNode node = JSON.readTree(entry.asParser());
      entries.add(ListedEndpoint.of(node));
      entry = null;
      if (entries.size() > maxEntries) {
        throw new HttpException("a list of more than " + maxEntries + " entries");
      }
    }
  }

  private EndpointList complete() throws IOException, HttpException {
    JsonNode tree = JSON.readTree(rest.asParser());
    if (!(tree instanceof ObjectNode)) {
      throw new HttpException("a line that is no list");
    }
    EndpointList list = EndpointList.of(tree); // its entries are apart
    return new EndpointList(list.version(), list.full(), entries);
  }
}
