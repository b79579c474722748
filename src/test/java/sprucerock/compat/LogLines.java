package sprucerock.compat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.util.List;

/** A log of a test's own, whose lines it keeps. */
public final class LogLines {
  private LogLines() {}

  /** A log that adds each line, formatted, to a list. */
  public static Logger into(List<String> lines) {
    LoggerContext context = new LoggerContext();
    AppenderBase<ILoggingEvent> keeping =
        new AppenderBase<>() {
          @Override
          protected void append(ILoggingEvent event) {
            lines.add(event.getFormattedMessage());
          }
        };
    keeping.setContext(context);
    keeping.start();
    Logger log = context.getLogger("lines");
    log.setLevel(Level.INFO);
    log.addAppender(keeping);
    return log;
  }
}
