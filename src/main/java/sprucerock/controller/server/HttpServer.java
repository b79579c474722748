package sprucerock.controller.server;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.RequestLimitingHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.xnio.Options;

/**
 * The controller's two HTTP listeners: webhooks from build pipelines, and the operators' API. Sizes
 * of bodies, read times, rates and concurrent requests are bounded. A request that changes state is
 * answered once the change is durable. Docs: operators/webhooks.md.
 */
final class HttpServer {
  private static final int API_READ_TIMEOUT_MS = 5000;
  private static final int MAX_CONCURRENT_API_REQUESTS = 50;
  private static final int MAX_HEADER_BYTES = 16 * 1024;
  private static final int IDLE_TIMEOUT_MS = 30_000;
  private static final int THREADS_PER_POOL = 2;

  private final Undertow webhooks;
  private final Undertow api;

  /**
   * Builds both listeners; {@link #start} opens them.
   *
   * @throws IOException if the schema of announcements can't be read from the program's resources
   */
  HttpServer(ControllerConfig config, ControllerServer controller) throws IOException {
    LoopDispatcher dispatcher = new LoopDispatcher(controller);
    ReleaseHandler releases = new ReleaseHandler(dispatcher, controller::connectedRelays);
    int maxWebhooks = config.maxConcurrentWebhooks;
    webhooks =
        listener(
            config.webhookAddress,
            (int) config.webhookReadTimeout.ms(),
            new RequestLimitingHandler(
                maxWebhooks, maxWebhooks, new WebhookHandler(config, dispatcher, releases)));
    api =
        listener(
            config.apiAddress,
            API_READ_TIMEOUT_MS,
            new RequestLimitingHandler(
                MAX_CONCURRENT_API_REQUESTS,
                MAX_CONCURRENT_API_REQUESTS,
                new OperatorApiHandler(
                    config.apiToken,
                    releases,
                    new DeploymentHandler(config, controller, dispatcher),
                    new MaintenanceHandler(config, controller, dispatcher),
                    new LeaseHandler(config, controller, dispatcher))));
  }

  private static Undertow listener(InetSocketAddress address, int timeoutMs, HttpHandler handler) {
    return Undertow.builder()
        .addHttpListener(address.getPort(), address.getAddress().getHostAddress())
        .setHandler(handler)
        .setIoThreads(THREADS_PER_POOL)
        .setWorkerThreads(THREADS_PER_POOL)
        .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
        .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MS)
        .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, timeoutMs)
        .setSocketOption(Options.READ_TIMEOUT, timeoutMs)
        .setSocketOption(Options.WRITE_TIMEOUT, timeoutMs)
        .build();
  }

  /**
   * Opens both listeners.
   *
   * @throws RuntimeException if an address can't be bound
   */
  void start() {
    webhooks.start();
    api.start();
  }

  /** The address that receives webhooks, with the port that is bound. */
  InetSocketAddress webhookAddress() {
    return address(webhooks);
  }

  /** The address of the operators' API, with the port that is bound. */
  InetSocketAddress apiAddress() {
    return address(api);
  }

  private static InetSocketAddress address(Undertow server) {
    return (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
  }

  /** Closes both listeners. */
  void stop() {
    webhooks.stop();
    api.stop();
  }
}
