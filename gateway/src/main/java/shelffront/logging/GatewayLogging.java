package shelffront.logging;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import ch.qos.logback.core.encoder.Encoder;
import java.nio.charset.StandardCharsets;
import net.logstash.logback.encoder.LogstashEncoder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import shelffront.net.AsyncEventLog;
import shelffront.net.EventLog;

/**
 * Configures the log of a multi-tenant gateway or a distributor: SLF4J and Logback, written through
 * a bounded queue that counts dropped lines.
 */
public final class GatewayLogging {

  /** Encodes events on the logging thread and hands them to the queue, which writes them. */
  private static final class QueueAppender extends AppenderBase<ILoggingEvent> {

    private final Encoder<ILoggingEvent> encoder;
    private final AsyncEventLog lines;

    private QueueAppender(Encoder<ILoggingEvent> encoder, AsyncEventLog lines) {
      this.encoder = encoder;
      this.lines = lines;
    }

    @Override
    protected void append(ILoggingEvent event) {
      lines.println(new String(encoder.encode(event), StandardCharsets.UTF_8).stripTrailing());
    }
  }

  private GatewayLogging() {}

  /**
   * Routes all SLF4J output to the queue, as JSON lines or as text.
   *
   * @return the event log of the gateway, which logs at level INFO
   */
  public static EventLog open(boolean json, AsyncEventLog lines) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    Encoder<ILoggingEvent> encoder;
    if (json) {
      LogstashEncoder own = new LogstashEncoder();
      own.setContext(context);
      own.start();
      encoder = own;
    } else {
      PatternLayoutEncoder own = new PatternLayoutEncoder();
      own.setContext(context);
      own.setPattern("%d{ISO8601,UTC} %level %msg%n");
      own.start();
      encoder = own;
    }
    QueueAppender queue = new QueueAppender(encoder, lines);
    queue.setContext(context);
    queue.start();
    context.getLogger(Logger.ROOT_LOGGER_NAME).setLevel(Level.WARN);
    context.getLogger(Logger.ROOT_LOGGER_NAME).addAppender(queue);
    context.getLogger("shelffront").setLevel(Level.INFO);
    Logger own = LoggerFactory.getLogger("shelffront");
    return line -> own.info("{}", line);
  }
}
