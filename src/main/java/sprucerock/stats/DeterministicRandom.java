package sprucerock.stats;

import java.util.zip.CRC32;

/** Numbers from 0 to under 1, evenly spread: CRC32 over a seed and a counter. */
public final class DeterministicRandom {
  private final CRC32 crc = new CRC32();
  private final byte[] dice = new byte[16];
  private long draws;

  public DeterministicRandom(long seed) {
    for (int i = 0; i < 8; i++) {
      dice[i] = (byte) (seed >>> 8 * i);
    }
  }

  public double next() {
    draws++;
    for (int i = 0; i < 8; i++) {
      dice[8 + i] = (byte) (draws >>> 8 * i);
    }
    crc.reset();
    crc.update(dice);
    return crc.getValue() / 4294967296.0;
  }
}
