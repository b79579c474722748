package sprucerock.controller.server;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sprucerock.agent.artifact.ArtifactStore;
import sprucerock.controller.deployment.Version;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.Net;
import sprucerock.transport.wire.FrameConnection;
import sprucerock.transport.wire.FrameKind;
import sprucerock.transport.wire.v1.Fetch;
import sprucerock.transport.wire.v1.Piece;

/**
 * Sends pieces of artifacts at a bounded rate, to one agent after another, so that a thousand
 * agents that fetch at once neither fill the memory nor delay other messages. On the loop only.
 */
final class ArtifactSender {
  private static final byte[] NO_BODY = {};
  private static final int PIECE_BYTES = 128 * 1024;

  /** Enough for 10,000 agents, since an agent has one or two fetches pending. */
  private static final int MAX_PENDING_FETCHES = 20_000;

  private static final TimeSpan SEND_INTERVAL = TimeSpan.ofMs(10);

  private record PendingFetch(FrameConnection connection, Fetch fetch) {}

  private final Logger log = LoggerFactory.getLogger("sprucerock.controller");
  private final Net net;
  private final ArtifactStore artifacts;
  private final int maxPerInterval;
  private final Deque<PendingFetch> pending = new ArrayDeque<>();

  /**
   * Creates a sender; {@link #start} begins to send.
   *
   * @param maxPiecesPerSecond limit for all agents together
   */
  ArtifactSender(Net net, ArtifactStore artifacts, int maxPiecesPerSecond) {
    this.net = net;
    this.artifacts = artifacts;
    maxPerInterval = (int) Math.max(1, maxPiecesPerSecond * SEND_INTERVAL.ms() / 1000);
  }

  /** Begins to send, and continues as long as the loop runs. */
  void start() {
    sendPieces();
  }

  /** Queues a fetch. It is dropped if too many are queued; the agent then requests it again. */
  void add(FrameConnection connection, Fetch fetch) {
    if (pending.size() < MAX_PENDING_FETCHES) {
      pending.addLast(new PendingFetch(connection, fetch));
    }
  }

  /**
   * Processes each queued fetch at most once, and sends no more pieces than the rate allows. Drops
   * the fetches of closed connections.
   */
  private void sendPieces() {
    int allowed = maxPerInterval;
    for (int i = pending.size(); i > 0 && allowed > 0; i--) {
      PendingFetch next = pending.pollFirst();
      if (!next.connection.isReady()) {
        continue;
      }
      if (next.connection.unsentBytes() > PIECE_BYTES) {
        // the agent has not read the previous piece yet
        pending.addLast(next);
        continue;
      }
      sendPiece(next);
      allowed--;
    }
    net.at(net.now().plus(SEND_INTERVAL), this::sendPieces);
  }

  private void sendPiece(PendingFetch next) {
    String digest = next.fetch.getDigest();
    Piece.Builder piece = Piece.newBuilder().setDigest(digest).setFrom(next.fetch.getFrom());
    byte[] body = NO_BODY;
    try {
      if (Version.isDigest(digest) && artifacts.has(digest)) {
        piece.setSize(artifacts.size(digest));
        body = artifacts.readChunk(digest, next.fetch.getFrom(), PIECE_BYTES);
      }
    } catch (IOException e) {
      log.error("VERSIONS artifact {} cannot be read: {}", digest, e.getMessage());
    }
    next.connection.send(FrameKind.PIECE, piece.setMissing(body.length == 0).build(), body);
  }
}
