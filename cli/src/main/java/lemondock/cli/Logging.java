package lemondock.cli;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.slf4j.LoggerFactory;

/** Configures the log on standard error: JSON lines or plain text. */
final class Logging {
  private Logging() {}

  /** Replaces all appenders; {@code format} is "json" or "text". */
  static void configure(String format, String level) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    Encoder<ILoggingEvent> encoder;
    if (format.equals("json")) {
      encoder = new JsonLogEncoder();
    } else {
      PatternLayoutEncoder text = new PatternLayoutEncoder();
      text.setPattern("%d{HH:mm:ss.SSS} %-5level [%thread] %logger{0}: %msg %kvp%n");
      encoder = text;
    }
    encoder.setContext(context);
    encoder.start();
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setTarget("System.err");
    appender.setEncoder(encoder);
    appender.start();
    Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
    root.detachAndStopAllAppenders();
    root.addAppender(appender);
    root.setLevel(Level.toLevel(level));
  }
}
