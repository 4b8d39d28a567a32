package shelffront.rolloutcontrol;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import shelffront.coordination.CoordinationException;
import shelffront.net.EventLog;

/** Logs each source's error once, until it is over or another. Any thread may call. */
final class ErrorReporter {

  private final EventLog log;
  private final Map<String, String> lastCodeBySource = new ConcurrentHashMap<>();

  ErrorReporter(EventLog log) {
    this.log = log;
  }

  void report(String source, CoordinationException error) {
    if (!error.code().equals(lastCodeBySource.put(source, error.code()))) {
      log.println("stages " + source + " " + error.code() + ": " + error.getMessage());
    }
  }

  /** The source's error is over. */
  void clear(String source) {
    lastCodeBySource.remove(source);
  }
}
