package sprucerock.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.slf4j.LoggerFactory;

/** Where log lines go and what they look like. */
final class Logs {
  enum Form {
    PLAIN,
    JSON
  }

  private Logs() {}

  /** All to standard output, one event a line. */
  static void to(Form form) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    Encoder<ILoggingEvent> encoder;
    if (form == Form.JSON) {
      JsonEncoder json = new JsonEncoder();
      json.setContext(context);
      json.setWithArguments(false);
      json.setWithContext(false);
      json.setWithSequenceNumber(false);
      json.setWithNanoseconds(false);
      json.setWithMessage(false);
      json.setWithFormattedMessage(true);
      encoder = json;
    } else {
      PatternLayoutEncoder plain = new PatternLayoutEncoder();
      plain.setContext(context);
      plain.setPattern("%d{yyyy-MM-dd'T'HH:mm:ss.SSS} %-5level %msg%n");
      encoder = plain;
    }
    encoder.start();
    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setContext(context);
    console.setEncoder(encoder);
    console.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.INFO);
    root.addAppender(console);
  }
}
