package sprucerock.stats;

import java.util.zip.CRC32;

/**
 * A reproducible sequence of uniform random numbers: CRC32 over a seed and a counter. Not suitable
 * for secrets.
 */
public final class DeterministicRandom {
  private static final double CRC_RANGE = 4294967296.0; // 2^32 values

  private final CRC32 crc = new CRC32();
  private final byte[] block = new byte[16];
  private long draws;

  /** Creates the sequence of {@code seed}. */
  public DeterministicRandom(long seed) {
    for (int i = 0; i < 8; i++) {
      block[i] = (byte) (seed >>> 8 * i);
    }
  }

  /** Draws the next number, from 0 (inclusive) to 1 (exclusive). */
  public double next() {
    draws++;
    for (int i = 0; i < 8; i++) {
      block[8 + i] = (byte) (draws >>> 8 * i);
    }
    crc.reset();
    crc.update(block);
    return crc.getValue() / CRC_RANGE;
  }
}
