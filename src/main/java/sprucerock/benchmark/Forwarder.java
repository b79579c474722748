package sprucerock.benchmark;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.concurrent.ThreadFactory;

/**
 * Passes bytes on between each client and the unit that its connection's turn falls to, and does
 * nothing else: the mark to measure by.
 */
final class Forwarder implements AutoCloseable {
  private static final int BUFFER = 16 * 1024;

  private final AsynchronousChannelGroup group;
  private final AsynchronousServerSocketChannel server;
  private final int[] endpoints;
  private int next;

  Forwarder(int[] unitPorts, ThreadFactory threads) throws IOException {
    endpoints = unitPorts;
    group = AsynchronousChannelGroup.withFixedThreadPool(1, threads);
    server =
        AsynchronousServerSocketChannel.open(group)
            .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1024);
    server.accept(
        null,
        new CompletionHandler<AsynchronousSocketChannel, Void>() {
          @Override
          public void completed(AsynchronousSocketChannel client, Void none) {
            server.accept(null, this);
            join(client);
          }

          @Override
          public void failed(Throwable why, Void none) {
            // closed: the measurement is over
          }
        });
  }

  int port() throws IOException {
    return ((InetSocketAddress) server.getLocalAddress()).getPort();
  }

  private void join(AsynchronousSocketChannel client) {
    try {
      AsynchronousSocketChannel endpoint = AsynchronousSocketChannel.open(group);
      int port = endpoints[next++ % endpoints.length];
      client.setOption(StandardSocketOptions.TCP_NODELAY, true);
      endpoint.setOption(StandardSocketOptions.TCP_NODELAY, true);
      endpoint.connect(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
          null,
          new CompletionHandler<Void, Void>() {
            @Override
            public void completed(Void none, Void nothing) {
              new Way(client, endpoint).read();
              new Way(endpoint, client).read();
            }

            @Override
            public void failed(Throwable why, Void nothing) {
              close(client);
            }
          });
    } catch (IOException e) {
      close(client);
    }
  }

  private static void close(AsynchronousSocketChannel channel) {
    try {
      channel.close();
    } catch (IOException e) {
      System.err.println("forwarder: " + e.getMessage());
    }
  }

  private static final class Way implements CompletionHandler<Integer, Boolean> {
    private final AsynchronousSocketChannel from;
    private final AsynchronousSocketChannel to;
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER);

    Way(AsynchronousSocketChannel from, AsynchronousSocketChannel to) {
      this.from = from;
      this.to = to;
    }

    void read() {
      buffer.clear();
      from.read(buffer, true, this);
    }

    @Override
    public void completed(Integer count, Boolean wasRead) {
      if (count < 0) {
        close(to);
        return;
      }
      if (wasRead) {
        buffer.flip();
      }
      if (buffer.hasRemaining()) {
        to.write(buffer, false, this);
      } else {
        read();
      }
    }

    @Override
    public void failed(Throwable why, Boolean wasRead) {
      close(from);
      close(to);
    }
  }

  @Override
  public void close() throws IOException {
    group.shutdownNow();
  }
}
