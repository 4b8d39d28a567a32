package shelffront.rolloutcontrol;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import shelffront.coordination.CoordinationException;
import shelffront.net.EventLog;

/** Logs the error of each source once, until it is cleared or its code changes. Thread-safe. */
final class ErrorReporter {

  private final EventLog log;
  private final Map<String, String> lastCodeBySource = new ConcurrentHashMap<>();

  ErrorReporter(EventLog log) {
    this.log = log;
  }

  void report(String source, CoordinationException error) {
    if (!error.code().equals(lastCodeBySource.put(source, error.code()))) {
      log.println("rollout " + source + ": " + error.code() + ": " + error.getMessage());
    }
  }

  /** Records that the source works again, so that its next error is logged. */
  void clear(String source) {
    lastCodeBySource.remove(source);
  }
}
