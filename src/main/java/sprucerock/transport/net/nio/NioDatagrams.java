package sprucerock.transport.net.nio;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.util.concurrent.atomic.AtomicInteger;
import sprucerock.transport.net.Datagrams;

/**
 * NIO.2 has no asynchronous datagrams: a thread of its own waits for them and hands each to the
 * loop, which alone sends. The count of those that wait for the loop is all that both threads
 * touch.
 */
final class NioDatagrams implements Datagrams {
  private static final int WAITING =
      1024; // some hundred a second come; more than this means that the loop stands still
  private static final int MOST =
      2048; // bytes of one; longer ones are cut, and no message here is so long

  private final NioLoop loop;
  private final DatagramChannel channel;
  private final Receiver user;
  private final AtomicInteger waiting = new AtomicInteger();

  NioDatagrams(NioLoop loop, InetSocketAddress at, Receiver user) throws IOException {
    this.loop = loop;
    this.user = user;
    channel = DatagramChannel.open();
    try {
      channel.bind(at);
    } catch (IOException | RuntimeException e) {
      channel.close();
      throw e;
    }
    Thread reader = new Thread(this::read, "datagrams");
    reader.setDaemon(true);
    reader.start();
  }

  private void read() {
    ByteBuffer room = ByteBuffer.allocateDirect(MOST);
    while (channel.isOpen()) {
      try {
        room.clear();
        InetSocketAddress from = (InetSocketAddress) channel.receive(room);
        if (waiting.get() >= WAITING) {
          continue;
        }
        byte[] bytes = new byte[room.flip().remaining()];
        room.get(bytes);
        waiting.incrementAndGet();
        loop.post(
            () -> {
              waiting.decrementAndGet();
              user.received(from, bytes);
            });
      } catch (ClosedChannelException e) {
        return;
      } catch (
          IOException e) { // a refusal of one sent before, say: those that come are still wanted
        loop.post(() -> loop.broken(e));
      }
    }
  }

  @Override
  public boolean send(InetSocketAddress to, byte[] bytes) {
    try {
      return channel.send(ByteBuffer.wrap(bytes), to) == bytes.length;
    } catch (
        IOException e) { // no way there now: it is lost, as any may be, and the caller counts it
      return false;
    }
  }

  @Override
  public void close() {
    try {
      channel.close();
    } catch (IOException e) {
      loop.broken(e);
    }
  }
}
