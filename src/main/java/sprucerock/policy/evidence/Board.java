package sprucerock.policy.evidence;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import sprucerock.model.Endpoint;
import sprucerock.stats.DecayingSum;
import sprucerock.time.TimeSpan;
import sprucerock.time.Timestamp;

/** What relays tell each other of picks that are out, as messages, and their sums by unit. */
public final class Board {
  public static final byte PICK = 1;
  public static final byte LOADS = 2;
  private static final int AGES = 126;
  private static final int MOST = 84;

  private final TreeMap<Integer, Endpoint> marked = new TreeMap<>();
  private final TimeSpan life;

  /** A pick counts less as it ages, so that a lost message is forgotten after some {@code life}. */
  public Board(TimeSpan life) {
    this.life = life;
  }

  public void ready(Endpoint endpoint) {
    marked.put(mark(endpoint), endpoint);
    if (endpoint.fleetInFlight == null) {
      endpoint.fleetInFlight = new DecayingSum(life);
    }
  }

  public void left(Endpoint endpoint) {
    marked.remove(mark(endpoint), endpoint);
  }

  /** A short name that all relays share; two units of a large fleet seldom have the same. */
  private static int mark(Endpoint endpoint) {
    return (int) (endpoint.id * 0x9E3779B1L >>> 16) & 0xffff;
  }

  /** Says that a pick started, or that one of some age ended. */
  public byte[] attempt(Endpoint endpoint, TimeSpan endedAt) {
    int age = endedAt == null ? 0 : 1 + (int) Math.min(endedAt.per(life) * AGES, AGES);
    return new byte[] {PICK, (byte) mark(endpoint), (byte) (mark(endpoint) >> 8), (byte) age};
  }

  /** Adds such a message; its end takes off what is left of a pick. True where a pick ended. */
  public boolean add(byte[] told, Timestamp now) {
    Endpoint endpoint = unit(told, 1);
    if (endpoint != null) {
      endpoint.fleetInFlight.add(now, told[3] == 0 ? 1 : -Math.exp((1.0 - told[3]) / AGES));
    }
    return told[3] != 0;
  }

  private Endpoint unit(byte[] told, int at) {
    return marked.get(told[at] & 0xff | (told[at + 1] & 0xff) << 8);
  }

  /** All picks that are out. */
  public double out(Timestamp now) {
    double sum = 0;
    for (Endpoint endpoint : marked.values()) {
      sum += Math.max(0, endpoint.fleetInFlight.at(now));
    }
    return sum;
  }

  /** Says which units hold so many picks or more, the fullest first, and one figure beside. */
  public byte[] loads(int least, double figure, Timestamp now) {
    List<Endpoint> loaded = new ArrayList<>();
    for (Endpoint endpoint : marked.values()) {
      endpoint.reportedInFlight = (int) Math.round(endpoint.fleetInFlight.at(now));
      if (endpoint.reportedInFlight >= least) {
        loaded.add(endpoint);
      }
    }
    loaded.sort((a, b) -> b.reportedInFlight - a.reportedInFlight);
    int size = Math.min(loaded.size(), MOST);
    byte[] told = new byte[2 + 3 * size];
    told[0] = LOADS;
    told[1] = (byte) Math.min(64 * figure, 127);
    for (int i = 0; i < size; i++) {
      told[2 + 3 * i] = (byte) mark(loaded.get(i));
      told[3 + 3 * i] = (byte) (mark(loaded.get(i)) >> 8);
      told[4 + 3 * i] = (byte) Math.min(loaded.get(i).reportedInFlight, 127);
    }
    return told;
  }

  /** Notes such loads at the units, and returns the figure. */
  public double read(byte[] told, Timestamp now) {
    for (int i = 2; i + 2 < told.length; i += 3) {
      Endpoint endpoint = unit(told, i);
      if (endpoint == null) {
        continue;
      }
      endpoint.reportedInFlight = told[i + 2];
      endpoint.reportedAt = now;
    }
    return told[1] / 64.0;
  }
}
