package sprucerock.agent;

import java.io.IOException;
import sprucerock.agent.artifact.ArtifactStore;
import sprucerock.controller.deployment.Version;
import sprucerock.time.TimeSpan;
import sprucerock.transport.wire.v1.Fetch;
import sprucerock.transport.wire.v1.Piece;

/**
 * Downloads a version's settings and program from a controller, a chunk at a time and one version
 * at a time. A chunk that does not come is asked for again: the controller may be gone meanwhile.
 */
final class VersionDownloader {
  private static final TimeSpan CHUNK_TIMEOUT = TimeSpan.ofMs(5000);

  /** What a download needs of its surroundings, and what is told of its end. */
  interface Callbacks {
    /** Sends a request for a chunk to whatever controller is connected. */
    void request(Fetch fetch);

    /** All is stored. */
    void downloaded(Version version);

    /** It can't be had; {@code reason} in one line. */
    void failed(Version version, String reason);
  }

  private final ArtifactStore artifacts;
  private final TimeSpan tickInterval;
  private final Callbacks callbacks;
  private Version version;
  private ArtifactStore.Download download;
  private String digest;
  private long ticksSinceRequest;

  /**
   * Idle until {@link #start}.
   *
   * @param tickInterval how often {@link #tick} is called
   */
  VersionDownloader(ArtifactStore artifacts, TimeSpan tickInterval, Callbacks callbacks) {
    this.artifacts = artifacts;
    this.tickInterval = tickInterval;
    this.callbacks = callbacks;
  }

  boolean isActive() {
    return version != null;
  }

  /** Downloads what is missing of a version, in place of any other that was on its way. */
  void start(Version wanted) {
    version = wanted;
    startNextFile();
  }

  private void startNextFile() {
    String missing =
        !artifacts.has(version.settings())
            ? version.settings()
            : !artifacts.has(version.program()) ? version.program() : null;
    if (missing == null) {
      Version complete = version;
      version = null;
      callbacks.downloaded(complete);
      return;
    }
    try {
      download = artifacts.startDownload(missing);
      digest = missing;
      requestChunk();
    } catch (IOException e) {
      fail(e.getMessage());
    }
  }

  /** Asks for the next chunk, again where it was asked for before. */
  void requestChunk() {
    ticksSinceRequest = 0;
    callbacks.request(Fetch.newBuilder().setDigest(digest).setFrom(download.offset()).build());
  }

  /** Called regularly, so that a chunk that has not come is asked for again. */
  void tick() {
    if (isActive() && ++ticksSinceRequest * tickInterval.ms() > CHUNK_TIMEOUT.ms()) {
      requestChunk();
    }
  }

  /** Takes a chunk; one that was asked for twice and is here already is dropped. */
  void chunkReceived(Piece head, byte[] bytes) {
    if (!isActive() || !head.getDigest().equals(digest) || head.getFrom() != download.offset()) {
      return;
    }
    if (head.getMissing()) {
      fail("the controller has it not");
      return;
    }
    try {
      if (download.append(head.getFrom(), bytes, head.getSize())) {
        startNextFile();
      } else {
        requestChunk();
      }
    } catch (IOException e) {
      fail(e.getMessage());
    }
  }

  private void fail(String reason) {
    Version failed = version;
    version = null;
    callbacks.failed(failed, reason);
  }
}
