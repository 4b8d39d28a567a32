package shelffront.lab.simulation;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import shelffront.lab.model.ReplicaSetParameters;
import shelffront.routing.Consistency;
import shelffront.routing.ConsistencySettings;
import shelffront.routing.DeduplicationScope;
import shelffront.routing.EndpointListSettings;
import shelffront.routing.GatewayIdentity;
import shelffront.routing.Idempotency;
import shelffront.routing.LagCheck;
import shelffront.routing.ListedRoles;
import shelffront.routing.LoadReportSource;
import shelffront.routing.OperatingLimits;
import shelffront.routing.RequestClass;
import shelffront.routing.RoutingSettings;
import shelffront.routing.SafetyRules;

/**
 * The properties that the protocol leaves to a deployment: how positions and roles are reported,
 * how the endpoint list is distributed, and what is permitted. The settings of the gateways and the
 * behaviour of hosts, clients and discovery derive from the same value.
 *
 * @param onceWrites whether there is a class of non-idempotent writes
 * @param carried whether clients carry the session position, and may move to another gateway with
 *     it
 * @param pushed whether the endpoint list is pushed to an agent; an update that the agent holds
 *     counts as received by the gateway
 * @param reports how hosts send load reports
 * @param stamped whether each response carries the position of the host
 * @param listRole which roles the endpoint list contains
 * @param copies whether a read may be hedged with a second attempt
 * @param retryAfter whether rejections may carry Retry-After
 * @param probePrice cost of one health check per request
 */
public record RandomDeployment(
    boolean onceWrites,
    boolean carried,
    boolean pushed,
    LoadReportSource reports,
    boolean stamped,
    ListedRoles listRole,
    boolean copies,
    boolean retryAfter,
    double probePrice) {

  private static final long MICROS_PER_MILLI = 1000;

  /**
   * A deployment whose gateways remember session positions and poll an endpoint list with delayed
   * roles, and whose hosts send load reports in health checks only.
   */
  public static RandomDeployment plain(boolean onceWrites) {
    return new RandomDeployment(
        onceWrites,
        false,
        false,
        LoadReportSource.HEALTH_CHECKS,
        true,
        ListedRoles.LATE,
        false,
        true,
        0.01);
  }

  /**
   * A deployment whose clients carry session positions, with a pushed endpoint list that contains
   * the initial roles, load reports in each response, hedged requests, and no Retry-After.
   */
  public static RandomDeployment carrying(boolean onceWrites) {
    return new RandomDeployment(
        onceWrites,
        true,
        true,
        LoadReportSource.RESPONSES,
        true,
        ListedRoles.AT_START,
        true,
        false,
        0.07);
  }

  /** Draws each property independently from the combinations that the protocol permits. */
  static RandomDeployment draw(UniformRandomProvider random, boolean onceWrites) {
    boolean stamped = random.nextBoolean();
    LoadReportSource reports =
        stamped && random.nextInt(3) == 0
            ? LoadReportSource.NONE
            : random.nextBoolean() ? LoadReportSource.RESPONSES : LoadReportSource.HEALTH_CHECKS;
    return new RandomDeployment(
        onceWrites,
        random.nextBoolean(),
        random.nextBoolean(),
        reports,
        stamped,
        ListedRoles.values()[random.nextInt(ListedRoles.values().length)],
        random.nextBoolean(),
        random.nextBoolean(),
        random.nextBoolean() ? 0.01 : 0.07);
  }

  List<RequestClass> requestClasses() {
    List<RequestClass> classes =
        new ArrayList<>(
            List.of(
                idempotentReadClass(
                    "map-read",
                    500 * MICROS_PER_MILLI,
                    1200 * MICROS_PER_MILLI,
                    2,
                    Consistency.BOUNDED_STALENESS,
                    500 * MICROS_PER_MILLI),
                idempotentReadClass(
                    "own-edit-read",
                    700 * MICROS_PER_MILLI,
                    2000 * MICROS_PER_MILLI,
                    3,
                    Consistency.SESSION,
                    0),
                idempotentReadClass(
                    "live-read",
                    500 * MICROS_PER_MILLI,
                    1500 * MICROS_PER_MILLI,
                    1,
                    Consistency.STRONG,
                    0),
                new RequestClass(
                    "map-write",
                    1200 * MICROS_PER_MILLI,
                    3000 * MICROS_PER_MILLI,
                    6,
                    0.7,
                    Idempotency.IDEMPOTENCY_KEY,
                    DeduplicationScope.REPLICA_SET,
                    2000 * MICROS_PER_MILLI,
                    Consistency.WRITE,
                    0)));
    if (onceWrites) {
      classes.add(
          new RequestClass(
              "once-write",
              1200 * MICROS_PER_MILLI,
              3000 * MICROS_PER_MILLI,
              6,
              0.7,
              Idempotency.NON_IDEMPOTENT,
              DeduplicationScope.REPLICA_SET,
              0,
              Consistency.WRITE,
              0));
    }
    return classes;
  }

  private static RequestClass idempotentReadClass(
      String name,
      long latencyObjectiveMicros,
      long deadlineMicros,
      double priorityWeight,
      Consistency consistency,
      long maxStalenessMicros) {
    return new RequestClass(
        name,
        latencyObjectiveMicros,
        deadlineMicros,
        priorityWeight,
        0,
        Idempotency.IDEMPOTENT,
        DeduplicationScope.REPLICA_SET,
        0,
        consistency,
        maxStalenessMicros);
  }

  /** Returns the settings of the decision module with index {@code moduleIndex}. */
  RoutingSettings settings(int moduleIndex, int moduleCount, ReplicaSetParameters parameters) {
    LagCheck check =
        switch (parameters.check()) {
          case SILENT -> LagCheck.NONE;
          case REFUSE -> LagCheck.REJECT;
          case WAIT -> LagCheck.WAIT;
        };
    return new RoutingSettings(
        new GatewayIdentity(moduleIndex, moduleCount, "a"),
        1000,
        requestClasses(),
        new ConsistencySettings(check, parameters.patience(), stamped, carried),
        new EndpointListSettings(listRole, !pushed),
        reports,
        new SafetyRules(
            2_000_000,
            parameters.coldFrom(),
            parameters.coldTime(),
            parameters.fall(),
            parameters.fallTime(),
            false,
            10_000_000,
            20_000),
        new OperatingLimits(
            8, 2_000_000, retryAfter, true, copies, true, false, 250_000, 30_000_000),
        0,
        probePrice);
  }
}
