package sprucerock.policy.evidence;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import sprucerock.model.Endpoint;
import sprucerock.stats.DecayingSum;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * What relays tell each other of attempts that are out, as messages, and their sums by endpoint.
 * Messages may be lost, and come from relays of other versions; the recorded peer messages of the
 * compatibility corpus hold their bytes.
 */
public final class LoadReports {
  /** The first byte of a message that an attempt started or ended. */
  public static final byte ATTEMPT_MESSAGE = 1;

  /** The first byte of a message of all loads. */
  public static final byte LOADS_MESSAGE = 2;

  private static final int AGE_STEPS = 126;
  private static final int WAIT_SHARE_SCALE = 64;
  private static final int MAX_LOADS_ENDPOINTS = 84;

  private final TreeMap<Integer, Endpoint> byShortId = new TreeMap<>();
  private final TimeSpan decayTime;

  /**
   * An attempt counts less as it ages, so that a lost message is forgotten after some {@code life}.
   */
  public LoadReports(TimeSpan life) {
    this.decayTime = life;
  }

  /** It may get new work, so reports on it are summed from now on. */
  public void addEndpoint(Endpoint endpoint) {
    byShortId.put(shortId(endpoint), endpoint);
    if (endpoint.fleetInFlight == null) {
      endpoint.fleetInFlight = new DecayingSum(decayTime);
    }
  }

  /** Forgets it, unless another endpoint took its short id. */
  public void removeEndpoint(Endpoint endpoint) {
    byShortId.remove(shortId(endpoint), endpoint);
  }

  /** 16 bits that all relays share; two endpoints of a large fleet seldom have the same. */
  private static int shortId(Endpoint endpoint) {
    return (int) (endpoint.id * 0x9E3779B1L >>> 16) & 0xffff;
  }

  /** Encodes that an attempt started (null), or that one of some age ended. */
  public byte[] encodeAttempt(Endpoint endpoint, TimeSpan endedAt) {
    int age =
        endedAt == null
            ? 0
            : 1 + (int) Math.min(endedAt.dividedBy(decayTime) * AGE_STEPS, AGE_STEPS);
    return new byte[] {
      ATTEMPT_MESSAGE, (byte) shortId(endpoint), (byte) (shortId(endpoint) >> 8), (byte) age
    };
  }

  /** Adds such a message; an end takes off what is left of its attempt. True where one ended. */
  public boolean applyAttempt(byte[] message, Timestamp now) {
    Endpoint endpoint = endpointAt(message, 1);
    if (endpoint != null) {
      endpoint.fleetInFlight.add(
          now, message[3] == 0 ? 1 : -Math.exp((1.0 - message[3]) / AGE_STEPS));
    }
    return message[3] != 0;
  }

  private Endpoint endpointAt(byte[] message, int at) {
    return byShortId.get(message[at] & 0xff | (message[at + 1] & 0xff) << 8);
  }

  /** All attempts that are out, as far as reports tell. */
  public double inFlight(Timestamp now) {
    double sum = 0;
    for (Endpoint endpoint : byShortId.values()) {
      sum += Math.max(0, endpoint.fleetInFlight.at(now));
    }
    return sum;
  }

  /**
   * Encodes which endpoints hold so many attempts or more, the fullest first, and one figure, 0 to
   * under 2, beside.
   */
  public byte[] encodeLoads(int least, double waitShare, Timestamp now) {
    List<Endpoint> loaded = new ArrayList<>();
    for (Endpoint endpoint : byShortId.values()) {
      endpoint.reportedInFlight = (int) Math.round(endpoint.fleetInFlight.at(now));
      if (endpoint.reportedInFlight >= least) {
        loaded.add(endpoint);
      }
    }
    loaded.sort((a, b) -> b.reportedInFlight - a.reportedInFlight);
    int size = Math.min(loaded.size(), MAX_LOADS_ENDPOINTS);
    byte[] message = new byte[2 + 3 * size];
    message[0] = LOADS_MESSAGE;
    message[1] = (byte) Math.min(WAIT_SHARE_SCALE * waitShare, 127);
    for (int i = 0; i < size; i++) {
      message[2 + 3 * i] = (byte) shortId(loaded.get(i));
      message[3 + 3 * i] = (byte) (shortId(loaded.get(i)) >> 8);
      message[4 + 3 * i] = (byte) Math.min(loaded.get(i).reportedInFlight, 127);
    }
    return message;
  }

  /** Notes such loads at the endpoints, and returns the figure. */
  public double applyLoads(byte[] message, Timestamp now) {
    for (int i = 2; i + 2 < message.length; i += 3) {
      Endpoint endpoint = endpointAt(message, i);
      if (endpoint == null) {
        continue;
      }
      endpoint.reportedInFlight = message[i + 2];
      endpoint.reportedAt = now;
    }
    return message[1] / (double) WAIT_SHARE_SCALE;
  }
}
