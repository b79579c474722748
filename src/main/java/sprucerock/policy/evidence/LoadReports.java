package sprucerock.policy.evidence;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import sprucerock.model.Endpoint;
import sprucerock.stats.DecayingSum;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/**
 * Encodes and decodes the messages in which relays report attempts in flight, and adds up the
 * attempts by endpoint. Messages may be lost, and may come from relays of other versions. The
 * compatibility tests compare the bytes of messages with recorded ones.
 */
public final class LoadReports {
  /** The first byte of a message on the start or end of an attempt. */
  public static final byte ATTEMPT_MESSAGE = 1;

  /** The first byte of a message with the loads of all endpoints. */
  public static final byte LOADS_MESSAGE = 2;

  private static final int AGE_STEPS = 126;
  private static final int WAIT_SHARE_SCALE = 64;
  private static final int MAX_LOADS_ENDPOINTS = 84;

  private final TreeMap<Integer, Endpoint> byShortId = new TreeMap<>();
  private final TimeSpan decayTime;

  /**
   * Creates empty reports.
   *
   * @param decayTime the time in which the weight of an attempt falls to 1/e, so that an attempt
   *     whose end was lost is forgotten
   */
  public LoadReports(TimeSpan decayTime) {
    this.decayTime = decayTime;
  }

  /** Begins to add up reports on an endpoint, which may get new work now. */
  public void addEndpoint(Endpoint endpoint) {
    byShortId.put(shortId(endpoint), endpoint);
    if (endpoint.fleetInFlight == null) {
      endpoint.fleetInFlight = new DecayingSum(decayTime);
    }
  }

  /** Forgets an endpoint, unless another endpoint has taken over its short id. */
  public void removeEndpoint(Endpoint endpoint) {
    byShortId.remove(shortId(endpoint), endpoint);
  }

  /** A 16-bit id on which all relays agree; in a large fleet two endpoints rarely share it. */
  private static int shortId(Endpoint endpoint) {
    return (int) (endpoint.id * 0x9E3779B1L >>> 16) & 0xffff;
  }

  /**
   * Encodes the start or the end of an attempt.
   *
   * @param ageAtEnd age of an attempt that ended; null for the start of an attempt
   */
  public byte[] encodeAttempt(Endpoint endpoint, TimeSpan ageAtEnd) {
    int encodedAge =
        ageAtEnd == null
            ? 0
            : 1 + (int) Math.min(ageAtEnd.dividedBy(decayTime) * AGE_STEPS, AGE_STEPS);
    return new byte[] {
      ATTEMPT_MESSAGE, (byte) shortId(endpoint), (byte) (shortId(endpoint) >> 8), (byte) encodedAge
    };
  }

  /**
   * Applies a message on the start or end of an attempt. At the end, the attempt's remaining weight
   * is subtracted.
   *
   * @return whether the message reports an end
   */
  public boolean applyAttempt(byte[] message, Timestamp now) {
    Endpoint endpoint = endpointAt(message, 1);
    if (endpoint != null) {
      endpoint.fleetInFlight.add(
          now, message[3] == 0 ? 1 : -Math.exp((1.0 - message[3]) / AGE_STEPS));
    }
    return message[3] != 0;
  }

  private Endpoint endpointAt(byte[] message, int position) {
    return byShortId.get(message[position] & 0xff | (message[position + 1] & 0xff) << 8);
  }

  /** The attempts in flight at all endpoints, according to reports. */
  public double inFlight(Timestamp now) {
    double sum = 0;
    for (Endpoint endpoint : byShortId.values()) {
      sum += Math.max(0, endpoint.fleetInFlight.at(now));
    }
    return sum;
  }

  /**
   * Encodes the loads of endpoints, the highest first.
   *
   * @param minInFlight the smallest load to include
   * @param waitShare the fleet's wait as a share of the mean latency objective; 0 to under 2
   */
  public byte[] encodeLoads(int minInFlight, double waitShare, Timestamp now) {
    List<Endpoint> loaded = new ArrayList<>();
    for (Endpoint endpoint : byShortId.values()) {
      endpoint.reportedInFlight = (int) Math.round(endpoint.fleetInFlight.at(now));
      if (endpoint.reportedInFlight >= minInFlight) {
        loaded.add(endpoint);
      }
    }
    loaded.sort((a, b) -> b.reportedInFlight - a.reportedInFlight);
    int count = Math.min(loaded.size(), MAX_LOADS_ENDPOINTS);
    byte[] message = new byte[2 + 3 * count];
    message[0] = LOADS_MESSAGE;
    message[1] = (byte) Math.min(WAIT_SHARE_SCALE * waitShare, 127);
    for (int i = 0; i < count; i++) {
      message[2 + 3 * i] = (byte) shortId(loaded.get(i));
      message[3 + 3 * i] = (byte) (shortId(loaded.get(i)) >> 8);
      message[4 + 3 * i] = (byte) Math.min(loaded.get(i).reportedInFlight, 127);
    }
    return message;
  }

  /** Records the loads of a message at the endpoints, and returns its wait share. */
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
