package sprucerock.controller.server;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.SameThreadExecutor;
import java.util.function.Consumer;
import sprucerock.controller.AppendResult;
import sprucerock.controller.Engine;
import sprucerock.controller.v1.Input;

/**
 * Moves HTTP exchanges from the server's I/O threads to the controller's loop, the only thread that
 * may read or change the engine, and turns the engine's results into responses.
 */
final class LoopDispatcher {
  private final ControllerServer controller;

  LoopDispatcher(ControllerServer controller) {
    this.controller = controller;
  }

  /**
   * Runs a task on the controller's loop. The exchange stays open until a response is sent. If the
   * task throws, the exception is logged and the client gets 500.
   */
  void dispatch(HttpServerExchange exchange, Runnable task) {
    exchange.dispatch(
        SameThreadExecutor.INSTANCE, () -> controller.runOnLoop(() -> run(exchange, task)));
  }

  private void run(HttpServerExchange exchange, Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      controller.reportFault(e);
      HttpExchanges.respond(exchange, 500, "fault", null);
    }
  }

  /**
   * Submits an input and calls {@code onApplied} with its result once the input is durable.
   * Responds with 503 if it could not be stored, or if nobody can tell. On the loop only.
   */
  void submit(
      HttpServerExchange exchange, Input.Builder input, Consumer<AppendResult.Value> onApplied) {
    controller.submit(
        input,
        result -> {
          if (result instanceof AppendResult.Rejected rejected) {
            HttpExchanges.respond(exchange, 503, "not_kept", rejected.message());
          } else if (result instanceof AppendResult.Unknown unknown) {
            HttpExchanges.respond(exchange, 503, "unknown", unknown.message());
          } else if (result instanceof AppendResult.Accepted accepted) {
            onApplied.accept(accepted.value());
          }
        });
  }

  /** Submits an operator's command on the loop; a command without effect gets 409. */
  void submitCommand(HttpServerExchange exchange, Input.Builder input) {
    dispatch(exchange, () -> submitCommandOnLoop(exchange, input));
  }

  /** Submits an operator's command; a command without effect gets 409. On the loop only. */
  void submitCommandOnLoop(HttpServerExchange exchange, Input.Builder input) {
    submit(exchange, input, value -> respondToCommand(exchange, value));
  }

  /** Responds with the result of a command: 409 and the reason if it had no effect, else 200. */
  static void respondToCommand(HttpServerExchange exchange, AppendResult.Value value) {
    if (value instanceof AppendResult.NoEffect noEffect) {
      HttpExchanges.respond(exchange, 409, "no_effect", noEffect.reason());
    } else {
      HttpExchanges.respond(exchange, 200, "done", null);
    }
  }

  /** The engine. On the loop only. */
  Engine engine() {
    return controller.engine();
  }
}
