package sprucerock.policy.evidence;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import sprucerock.model.Endpoint;
import sprucerock.stats.DecayingSum;
import sprucerock.time.Timestamp;
import sprucerock.time.TimeSpan;

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

  public void ready(Endpoint unit) {
    marked.put(mark(unit), unit);
    if (unit.pickedByAll == null) {
      unit.pickedByAll = new DecayingSum(life);
    }
  }

  public void left(Endpoint unit) {
    marked.remove(mark(unit), unit);
  }

  /** A short name that all relays share; two units of a large fleet seldom have the same. */
  private static int mark(Endpoint unit) {
    return (int) (unit.id * 0x9E3779B1L >>> 16) & 0xffff;
  }

  /** Says that a pick started, or that one of some age ended. */
  public byte[] pick(Endpoint unit, TimeSpan endedAt) {
    int age = endedAt == null ? 0 : 1 + (int) Math.min(endedAt.per(life) * AGES, AGES);
    return new byte[] {PICK, (byte) mark(unit), (byte) (mark(unit) >> 8), (byte) age};
  }

  /** Adds such a message; its end takes off what is left of a pick. True where a pick ended. */
  public boolean add(byte[] told, Timestamp now) {
    Endpoint unit = unit(told, 1);
    if (unit != null) {
      unit.pickedByAll.add(now, told[3] == 0 ? 1 : -Math.exp((1.0 - told[3]) / AGES));
    }
    return told[3] != 0;
  }

  private Endpoint unit(byte[] told, int at) {
    return marked.get(told[at] & 0xff | (told[at + 1] & 0xff) << 8);
  }

  /** All picks that are out. */
  public double out(Timestamp now) {
    double sum = 0;
    for (Endpoint unit : marked.values()) {
      sum += Math.max(0, unit.pickedByAll.at(now));
    }
    return sum;
  }

  /** Says which units hold so many picks or more, the fullest first, and one figure beside. */
  public byte[] loads(int least, double figure, Timestamp now) {
    List<Endpoint> loaded = new ArrayList<>();
    for (Endpoint unit : marked.values()) {
      unit.told = (int) Math.round(unit.pickedByAll.at(now));
      if (unit.told >= least) {
        loaded.add(unit);
      }
    }
    loaded.sort((a, b) -> b.told - a.told);
    int size = Math.min(loaded.size(), MOST);
    byte[] told = new byte[2 + 3 * size];
    told[0] = LOADS;
    told[1] = (byte) Math.min(64 * figure, 127);
    for (int i = 0; i < size; i++) {
      told[2 + 3 * i] = (byte) mark(loaded.get(i));
      told[3 + 3 * i] = (byte) (mark(loaded.get(i)) >> 8);
      told[4 + 3 * i] = (byte) Math.min(loaded.get(i).told, 127);
    }
    return told;
  }

  /** Notes such loads at the units, and returns the figure. */
  public double read(byte[] told, Timestamp now) {
    for (int i = 2; i + 2 < told.length; i += 3) {
      Endpoint unit = unit(told, i);
      if (unit == null) {
        continue;
      }
      unit.told = told[i + 2];
      unit.toldAt = now;
    }
    return told[1] / 64.0;
  }
}
