package sprucerock.transport.net.nio;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.function.Supplier;
import sprucerock.time.TimeSpan;
import sprucerock.transport.net.ConnectionListener;
import sprucerock.transport.net.Net.Listener;

/** A bound address over an asynchronous server channel. Confined to the loop thread. */
final class NioListener implements Listener, CompletionHandler<AsynchronousSocketChannel, Void> {
  /** After a failure to accept, such as too few file descriptors. */
  private static final TimeSpan ACCEPT_RETRY_PAUSE = TimeSpan.ofMs(100);

  private final NioLoop loop;
  private final AsynchronousServerSocketChannel server;
  private final int maxConnections;
  private final long maxUnsentBytes;
  private final Supplier<ConnectionListener> listeners;
  private int openConnections;
  private Runnable onRejected = () -> {};

  NioListener(
      NioLoop loop,
      AsynchronousServerSocketChannel server,
      int maxConnections,
      long maxUnsentBytes,
      Supplier<ConnectionListener> listeners) {
    this.loop = loop;
    this.server = server;
    this.maxConnections = maxConnections;
    this.maxUnsentBytes = maxUnsentBytes;
    this.listeners = listeners;
  }

  @Override
  public void completed(AsynchronousSocketChannel channel, Void none) {
    if (server.isOpen()) {
      loop.accept(server, this);
    }
    if (openConnections >= maxConnections) {
      try {
        channel.close();
      } catch (IOException e) {
        loop.reportError(e);
      }
      onRejected.run();
      return;
    }
    openConnections++;
    NioConnection connection =
        new NioConnection(loop, channel, maxUnsentBytes, true, listeners.get());
    connection.onClosed(() -> openConnections--);
    connection.begin();
  }

  @Override
  public void failed(Throwable why, Void none) {
    if (!server.isOpen()) {
      return;
    }
    loop.reportError(why);
    // out of file descriptors, say: tried again soon, so that it recovers by itself
    loop.at(
        loop.now().plus(ACCEPT_RETRY_PAUSE),
        () -> {
          if (server.isOpen()) {
            loop.accept(server, this);
          }
        });
  }

  @Override
  public void startAccepting() {
    loop.accept(server, this);
  }

  @Override
  public InetSocketAddress address() {
    try {
      return (InetSocketAddress) server.getLocalAddress();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void onRejected(Runnable action) {
    onRejected = action;
  }

  /**
   * Not before those that had arrived are accepted: guards against a loop that stood still and
   * would reset them unread.
   */
  @Override
  public void close() {
    loop.whenQuiet(
        () -> {
          try {
            server.close();
          } catch (IOException e) {
            loop.reportError(e);
          }
        });
  }
}
