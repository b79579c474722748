package sprucerock.policy.evidence;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import sprucerock.model.Endpoint;
import sprucerock.stats.DecayingSum;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** What relays tell each other of picks that are out, as messages, and their sums by unit. */
public final class LoadReports {
  public static final byte ATTEMPT = 1;
  public static final byte LOADS = 2;
  private static final int AGE_STEPS = 126;
  private static final int MAX_ENDPOINTS = 84;

  private final TreeMap<Integer, Endpoint> byShortId = new TreeMap<>();
  private final TimeSpan life;

  /** A pick counts less as it ages, so that a lost message is forgotten after some {@code life}. */
  public LoadReports(TimeSpan life) {
    this.life = life;
  }

  public void addEndpoint(Endpoint endpoint) {
    byShortId.put(shortId(endpoint), endpoint);
    if (endpoint.fleetInFlight == null) {
      endpoint.fleetInFlight = new DecayingSum(life);
    }
  }

  public void removeEndpoint(Endpoint endpoint) {
    byShortId.remove(shortId(endpoint), endpoint);
  }

  /** A short name that all relays share; two units of a large fleet seldom have the same. */
  private static int shortId(Endpoint endpoint) {
    return (int) (endpoint.id * 0x9E3779B1L >>> 16) & 0xffff;
  }

  /** Says that a pick started, or that one of some age ended. */
  public byte[] encodeAttempt(Endpoint endpoint, TimeSpan endedAt) {
    int age = endedAt == null ? 0 : 1 + (int) Math.min(endedAt.per(life) * AGE_STEPS, AGE_STEPS);
    return new byte[] {
      ATTEMPT, (byte) shortId(endpoint), (byte) (shortId(endpoint) >> 8), (byte) age
    };
  }

  /** Adds such a message; its end takes off what is left of a pick. True where a pick ended. */
  public boolean applyAttempt(byte[] told, Timestamp now) {
    Endpoint endpoint = endpointAt(told, 1);
    if (endpoint != null) {
      endpoint.fleetInFlight.add(now, told[3] == 0 ? 1 : -Math.exp((1.0 - told[3]) / AGE_STEPS));
    }
    return told[3] != 0;
  }

  private Endpoint endpointAt(byte[] told, int at) {
    return byShortId.get(told[at] & 0xff | (told[at + 1] & 0xff) << 8);
  }

  /** All picks that are out. */
  public double outstanding(Timestamp now) {
    double sum = 0;
    for (Endpoint endpoint : byShortId.values()) {
      sum += Math.max(0, endpoint.fleetInFlight.at(now));
    }
    return sum;
  }

  /** Says which units hold so many picks or more, the fullest first, and one figure beside. */
  public byte[] encodeLoads(int least, double figure, Timestamp now) {
    List<Endpoint> loaded = new ArrayList<>();
    for (Endpoint endpoint : byShortId.values()) {
      endpoint.reportedInFlight = (int) Math.round(endpoint.fleetInFlight.at(now));
      if (endpoint.reportedInFlight >= least) {
        loaded.add(endpoint);
      }
    }
    loaded.sort((a, b) -> b.reportedInFlight - a.reportedInFlight);
    int size = Math.min(loaded.size(), MAX_ENDPOINTS);
    byte[] told = new byte[2 + 3 * size];
    told[0] = LOADS;
    told[1] = (byte) Math.min(64 * figure, 127);
    for (int i = 0; i < size; i++) {
      told[2 + 3 * i] = (byte) shortId(loaded.get(i));
      told[3 + 3 * i] = (byte) (shortId(loaded.get(i)) >> 8);
      told[4 + 3 * i] = (byte) Math.min(loaded.get(i).reportedInFlight, 127);
    }
    return told;
  }

  /** Notes such loads at the units, and returns the figure. */
  public double applyLoads(byte[] told, Timestamp now) {
    for (int i = 2; i + 2 < told.length; i += 3) {
      Endpoint endpoint = endpointAt(told, i);
      if (endpoint == null) {
        continue;
      }
      endpoint.reportedInFlight = told[i + 2];
      endpoint.reportedAt = now;
    }
    return told[1] / 64.0;
  }
}
