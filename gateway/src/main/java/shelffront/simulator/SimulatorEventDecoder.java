package shelffront.simulator;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import shelffront.config.MalformedInputException;
import shelffront.routing.AttemptOutcome;
import shelffront.routing.AttemptStatus;
import shelffront.routing.Availability;
import shelffront.routing.Endpoint;
import shelffront.routing.EndpointUpdateKind;
import shelffront.routing.LoadReport;
import shelffront.routing.Request;
import shelffront.routing.Role;
import shelffront.routing.Router;

/**
 * Decodes rows of the line protocol into typed events. Only this class knows the names of instance
 * events and their fields. A malformed row raises a {@link MalformedInputException} that names the
 * field.
 */
final class SimulatorEventDecoder {

  private static final Map<String, AttemptStatus> STATUSES =
      Map.of(
          "ok", AttemptStatus.OK,
          "error", AttemptStatus.ERROR,
          "full", AttemptStatus.CAPACITY_EXCEEDED,
          "timeout", AttemptStatus.TIMEOUT,
          "connect_failed", AttemptStatus.CONNECT_FAILED,
          "reset", AttemptStatus.RESET,
          "cancelled", AttemptStatus.CANCELLED,
          "moot", AttemptStatus.NOT_SENT,
          "miss", AttemptStatus.REPLICA_UNSUITABLE);

  private static final Map<String, Availability> AVAILABILITIES =
      Map.of(
          "live", Availability.READY,
          "quiescing", Availability.DRAINING,
          "dead", Availability.REMOVED);

  private static final Map<String, EndpointUpdateKind> UPDATE_KINDS =
      Map.of(
          "changes", EndpointUpdateKind.DELTA,
          "all", EndpointUpdateKind.SNAPSHOT,
          "remembered", EndpointUpdateKind.CACHED,
          "refused", EndpointUpdateKind.FAILED);

  /** The bit of a query's options that marks a request that the client sends again. */
  private static final int REPEAT_OPTION = 2;

  private static final long MICROS_PER_MILLI = 1000;
  private static final double MICROS_PER_SECOND = 1e6;

  /**
   * The field {@code stand} of an attempt outcome encodes position and role as {@code
   * positionMillis * POSITION_ROLE_RADIX + roleCode}.
   */
  private static final int POSITION_ROLE_RADIX = 4;

  private static final int ROLE_CODE_PRIMARY = 1;
  private static final int ROLE_CODE_REPLICA = 2;

  /** Numeric flags are true from this value on. */
  private static final double FLAG_THRESHOLD = 0.5;

  private SimulatorEventDecoder() {}

  /** Decodes the endpoints of a catalog row, to which later endpoint updates refer. */
  static List<Endpoint> endpoints(List<?> entries) throws MalformedInputException {
    List<Endpoint> endpoints = new ArrayList<>();
    for (Object entry : entries) {
      if (!(entry instanceof List<?> values)) {
        throw new MalformedInputException("catalog: a member is not an array");
      }
      endpoints.add(endpoint(new SimulatorRowReader("catalog entry", values, 0)));
    }
    return List.copyOf(endpoints);
  }

  private static Endpoint endpoint(SimulatorRowReader row) throws MalformedInputException {
    String kind = row.optionalText("familyType");
    String zone = row.optionalText("dc");
    String id = row.text("member");
    double capacityHint = row.number("capacityHint", 1);
    long startedAtMicros = row.integer("launched", 0);
    int replicaSet = (int) row.integer("group", 0);
    boolean primary = row.number("writer", 0) >= FLAG_THRESHOLD;
    return new Endpoint(
        id,
        kind == null ? "" : kind,
        zone == null ? "" : zone,
        replicaSet,
        capacityHint,
        startedAtMicros,
        primary,
        row.enumValue("availability", AVAILABILITIES));
  }

  /**
   * Decodes an event for an instance.
   *
   * @param row the event's fields after its name and the number of the instance
   * @param instance resolves the names of request classes and the origin of positions
   */
  static SimulatorEvent event(
      String name, SimulatorRowReader row, SimulatorInstance instance, long nowMicros)
      throws MalformedInputException {
    return switch (name) {
      case "discovery" -> endpointUpdate(row);
      case "query" -> requestArrived(row, instance, nowMicros);
      case "reply" -> attemptEnded(row, instance.positionZeroMicros());
      case "sampled" -> healthCheckEnded(row, instance.positionZeroMicros());
      case "deadlineHit" -> new SimulatorEvent.TimerExpired(row.text("handle"));
      case "gone" -> new SimulatorEvent.ClientDisconnected(row.text("xid"));
      case "message" -> peerMessage(row);
      case "underWay" -> new SimulatorEvent.Ignored();
      default -> throw new MalformedInputException("unknown event " + name);
    };
  }

  private static SimulatorEvent endpointUpdate(SimulatorRowReader row)
      throws MalformedInputException {
    EndpointUpdateKind kind = row.enumValue("kind", UPDATE_KINDS);
    long version = row.integer("serial", 0);
    return new SimulatorEvent.EndpointUpdate(kind, version, row.integer("list", -1));
  }

  private static SimulatorEvent requestArrived(
      SimulatorRowReader row, SimulatorInstance instance, long nowMicros)
      throws MalformedInputException {
    String id = row.text("xid");
    String className = row.text("class");
    Integer classIndex = instance.classIndexes().get(className);
    if (classIndex == null) {
      throw new MalformedInputException(
          "query: unknown class " + className + "; expected one of the facts' categories");
    }
    row.optionalText("party");
    String session = row.optionalText("sess");
    long timeToDeadlineMicros = row.integer("ttl");
    row.number("estimate", 0);
    int replicaSet = (int) row.integer("cluster", 0);
    double tokenMillis = row.number("tokenMs", 0);
    boolean repeat = (row.integer("opts", 0) & REPEAT_OPTION) != 0;
    return new SimulatorEvent.RequestArrived(
        new Request(
            id,
            classIndex,
            session,
            replicaSet,
            timeToDeadlineMicros,
            requiredPositionMicros(tokenMillis, nowMicros),
            repeat));
  }

  /**
   * Returns the position that a read requires, from the age of the session's last write. The age is
   * rounded down, because a greater age would require less than the session has written.
   */
  private static long requiredPositionMicros(double ageMillis, long nowMicros) {
    return ageMillis > 0
        ? nowMicros - Math.max(1, (long) Math.floor(ageMillis * MICROS_PER_MILLI))
        : Router.UNKNOWN;
  }

  private static SimulatorEvent attemptEnded(SimulatorRowReader row, long positionZeroMicros)
      throws MalformedInputException {
    String id = row.text("xid");
    AttemptStatus status = row.enumValue("stateCode", STATUSES);
    boolean finished = row.flag("doneFlag");
    int attempt = (int) row.integer("seqNo");
    long elapsedMicros = row.integer("took", 0);
    long encodedPosition = row.integer("stand", 0);
    String endpointId = row.text("member");
    LoadReport loadReport = loadReport(row.object("usage"), positionZeroMicros);
    long positionMicros =
        encodedPosition >= POSITION_ROLE_RADIX
            ? positionZeroMicros + encodedPosition / POSITION_ROLE_RADIX * MICROS_PER_MILLI
            : Router.UNKNOWN;
    return new SimulatorEvent.AttemptEnded(
        new AttemptOutcome(
            id,
            attempt,
            endpointId,
            status,
            finished,
            elapsedMicros,
            roleOf(encodedPosition),
            positionMicros,
            loadReport));
  }

  private static Role roleOf(long encodedPosition) {
    return switch ((int) (encodedPosition % POSITION_ROLE_RADIX)) {
      case ROLE_CODE_PRIMARY -> Role.PRIMARY;
      case ROLE_CODE_REPLICA -> Role.REPLICA;
      default -> Role.UNKNOWN;
    };
  }

  private static SimulatorEvent healthCheckEnded(SimulatorRowReader row, long positionZeroMicros)
      throws MalformedInputException {
    String endpointId = row.text("member");
    AttemptStatus status = row.enumValue("stateCode", STATUSES);
    long elapsedMicros = row.integer("took", 0);
    LoadReport loadReport = loadReport(row.object("usage"), positionZeroMicros);
    return new SimulatorEvent.HealthCheckEnded(endpointId, status, elapsedMicros, loadReport);
  }

  private static LoadReport loadReport(Map<?, ?> usage, long positionZeroMicros) {
    if (usage == null || usage.isEmpty()) {
      return null;
    }
    double positionSeconds = usageNumber(usage, "x0");
    double primary = usageNumber(usage, "x1");
    long positionMicros =
        positionSeconds < 0
            ? Router.UNKNOWN
            : positionZeroMicros + (long) Math.floor(positionSeconds * MICROS_PER_SECOND);
    Role role =
        primary < 0 ? Role.UNKNOWN : primary >= FLAG_THRESHOLD ? Role.PRIMARY : Role.REPLICA;
    return new LoadReport(
        positionMicros,
        role,
        usageNumber(usage, "outstanding"),
        usageNumber(usage, "backlog"),
        usageNumber(usage, "utilization"));
  }

  private static double usageNumber(Map<?, ?> usage, String name) {
    return usage.get(name) instanceof Number number ? number.doubleValue() : -1;
  }

  private static SimulatorEvent peerMessage(SimulatorRowReader row) throws MalformedInputException {
    int fromGateway = (int) row.integer("neighbour");
    String payload = row.text("payload");
    try {
      return new SimulatorEvent.PeerMessage(fromGateway, Base64.getDecoder().decode(payload));
    } catch (IllegalArgumentException e) {
      throw new MalformedInputException("message: payload is not valid Base64");
    }
  }
}
