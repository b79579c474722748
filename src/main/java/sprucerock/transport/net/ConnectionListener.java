package sprucerock.transport.net;

import java.nio.ByteBuffer;

/** Who uses a link. */
public interface ConnectionListener {
  /** It can be written and will be read from now on. */
  void connected(Connection connection);

  /** Bytes came, in order, in pieces of any size; they are only there during the call. */
  void received(ByteBuffer bytes);

  /** It is closed, or never came up. Told once, after which nothing more is told. */
  void closed(String why);
}
