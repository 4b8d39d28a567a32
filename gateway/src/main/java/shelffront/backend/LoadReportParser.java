package shelffront.backend;

import java.math.BigDecimal;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import shelffront.pg.Statement;
import shelffront.routing.LoadReport;
import shelffront.routing.Role;
import shelffront.routing.Router;

/**
 * Parses what a host reports about its role, position and load. A load report has the form {@code
 * x0=1767225600.123,x1=0,queue=3}, where {@code x0} is the position in Unix seconds (PROTOCOL:
 * "every position on sockets, including those in load reports (given there in seconds), is a Unix
 * time") and {@code x1} is 1 on a primary.
 */
final class LoadReportParser {

  /** Decimal places between seconds and microseconds. */
  private static final int MICROS_DECIMALS = 6;

  private static final int MAX_LENGTH = 1024;

  private static final Pattern FIELD =
      Pattern.compile("([a-z0-9_]+)=([0-9]{1,12}(?:\\.[0-9]{1,18})?)");

  private LoadReportParser() {}

  /** Parses a load report; null if any part of the text is malformed. */
  static LoadReport parse(String text) {
    if (text == null || text.length() > MAX_LENGTH) {
      return null;
    }
    long position = Router.UNKNOWN;
    Role role = Role.UNKNOWN;
    for (String part : text.split(",", -1)) {
      Matcher field = FIELD.matcher(part.strip());
      if (!field.matches()) {
        return null;
      }
      if (field.group(1).equals("x0")) {
        // Rounded down: a position that is too high could let a replica serve a stale read.
        position = new BigDecimal(field.group(2)).movePointRight(MICROS_DECIMALS).longValue();
      } else if (field.group(1).equals("x1")) {
        role = Double.parseDouble(field.group(2)) >= 0.5 ? Role.PRIMARY : Role.REPLICA;
      }
    }
    if (position == 0) {
      // A Unix time of 0 means "none" in this protocol. A host that has no report yet answers a
      // health check with zeros, which state neither its position nor its role.
      return new LoadReport(Router.UNKNOWN, Role.UNKNOWN, -1, -1, -1);
    }
    return new LoadReport(position, role, -1, -1, -1);
  }

  static Role parseRole(String name) {
    return "writer".equals(name)
        ? Role.PRIMARY
        : "reader".equals(name) ? Role.REPLICA : Role.UNKNOWN;
  }

  /**
   * Parses a position in Unix milliseconds; zero or malformed text gives {@link Router#UNKNOWN}.
   */
  static long parsePositionMicros(String milliseconds) {
    long position =
        milliseconds == null
            ? Router.UNKNOWN
            : Statement.positionMicros(milliseconds).orElse(Router.UNKNOWN);
    return position == 0 ? Router.UNKNOWN : position;
  }
}
