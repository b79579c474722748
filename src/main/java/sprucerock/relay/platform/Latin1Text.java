package sprucerock.relay.platform;

import java.nio.charset.StandardCharsets;

/**
 * Bytes as characters of ISO 8859-1, one each, without a copy: for patterns that are matched
 * against large statements.
 *
 * @param bytes must not change
 */
record Latin1Text(byte[] bytes, int offset, int length) implements CharSequence {
  @Override
  public char charAt(int index) {
    return (char) (bytes[offset + index] & 0xff);
  }

  @Override
  public CharSequence subSequence(int start, int end) {
    return new Latin1Text(bytes, offset + start, end - start);
  }

  @Override
  public String toString() {
    return new String(bytes, offset, length, StandardCharsets.ISO_8859_1);
  }
}
