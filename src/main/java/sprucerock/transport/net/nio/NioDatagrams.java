package sprucerock.transport.net.nio;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.util.concurrent.atomic.AtomicInteger;
import sprucerock.transport.net.Datagrams;

/**
 * A datagram socket. NIO.2 has no asynchronous datagrams: a thread of its own waits for them and
 * posts each to the loop, which alone sends. Both threads share only the channel and the count of
 * datagrams that wait for the loop.
 */
final class NioDatagrams implements Datagrams {
  /** Some hundred a second arrive; more than this waiting means that the loop stands still. */
  private static final int MAX_WAITING = 1024;

  /** Longer datagrams are truncated; no message here is so long. */
  private static final int MAX_DATAGRAM_BYTES = 2048;

  private final NioLoop loop;
  private final DatagramChannel channel;
  private final Receiver user;
  private final AtomicInteger waiting = new AtomicInteger();

  NioDatagrams(NioLoop loop, InetSocketAddress address, Receiver user) throws IOException {
    this.loop = loop;
    this.user = user;
    channel = DatagramChannel.open();
    try {
      channel.bind(address);
    } catch (IOException | RuntimeException e) {
      channel.close();
      throw e;
    }
    Thread reader = new Thread(this::receiveAll, "datagrams");
    reader.setDaemon(true);
    reader.start();
  }

  private void receiveAll() {
    ByteBuffer buffer = ByteBuffer.allocateDirect(MAX_DATAGRAM_BYTES);
    while (channel.isOpen()) {
      try {
        buffer.clear();
        final InetSocketAddress from = (InetSocketAddress) channel.receive(buffer);
        if (waiting.get() >= MAX_WAITING) {
          continue;
        }
        byte[] bytes = new byte[buffer.flip().remaining()];
        buffer.get(bytes);
        waiting.incrementAndGet();
        loop.post(
            () -> {
              waiting.decrementAndGet();
              user.received(from, bytes);
            });
      } catch (ClosedChannelException e) {
        return;
      } catch (IOException e) {
        // the refusal of one sent before, say: others are still wanted
        loop.post(() -> loop.reportError(e));
      }
    }
  }

  @Override
  public boolean send(InetSocketAddress to, byte[] bytes) {
    try {
      return channel.send(ByteBuffer.wrap(bytes), to) == bytes.length;
    } catch (IOException e) {
      // no route now: it is lost, as any datagram may be, and the caller counts it
      return false;
    }
  }

  @Override
  public void close() {
    try {
      channel.close();
    } catch (IOException e) {
      loop.reportError(e);
    }
  }
}
