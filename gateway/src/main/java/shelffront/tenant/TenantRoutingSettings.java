package shelffront.tenant;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import shelffront.routing.ConsistencySettings;
import shelffront.routing.EndpointListSettings;
import shelffront.routing.GatewayIdentity;
import shelffront.routing.LagCheck;
import shelffront.routing.ListedRoles;
import shelffront.routing.LoadReportSource;
import shelffront.routing.OperatingLimits;
import shelffront.routing.RequestClass;
import shelffront.routing.RoutingSettings;
import shelffront.routing.SafetyRules;

/**
 * Builds the router settings of a tenant from the {@code hosts} section of its document and from
 * fixed values.
 */
final class TenantRoutingSettings {

  private static final long MICROS_PER_MILLI = 1000;
  private static final long TICK_MICROS = 1000;

  private static final int DEFAULT_MAX_ATTEMPTS = 8;
  private static final long DEFAULT_LAG_WAIT_MILLIS = 100;
  private static final long DEFAULT_CONNECT_TIMEOUT_MILLIS = 250;
  private static final long DEFAULT_CONNECTION_IDLE_MILLIS = 30_000;
  private static final long MAX_RETRY_AFTER_MICROS = 2_000_000;

  private static final long DRAIN_GRACE_MICROS = 2_000_000;
  private static final double SLOW_START_INITIAL_CAPACITY = 0.21;
  private static final long SLOW_START_DURATION_MICROS = 18_000_000;
  private static final double OVERLOAD_FACTOR = 4;
  private static final long OVERLOAD_WINDOW_MICROS = 2_000_000;
  private static final long POLL_INTERVAL_MICROS = 10_000_000;
  private static final long RESPONSE_SLACK_MICROS = 20_000;

  private TenantRoutingSettings() {}

  /**
   * Builds the settings.
   *
   * @param hosts the {@code hosts} section of a tenant document, already validated; may be missing
   * @param polled whether discovery provides the endpoint list, which is then polled
   */
  static RoutingSettings read(List<RequestClass> classes, JsonNode hosts, boolean polled) {
    long lagWaitMillis = hosts.path("patienceMs").asLong(DEFAULT_LAG_WAIT_MILLIS);
    return new RoutingSettings(
        new GatewayIdentity(0, hosts.path("gateways").asInt(1), ""),
        TICK_MICROS,
        List.copyOf(classes),
        new ConsistencySettings(
            lagCheck(hosts.path("check").asText("wait")),
            lagWaitMillis * MICROS_PER_MILLI,
            false,
            false),
        new EndpointListSettings(polled ? ListedRoles.LATE : ListedRoles.AT_START, polled),
        LoadReportSource.HEALTH_CHECKS,
        safetyRules(),
        operatingLimits(hosts),
        0,
        0);
  }

  private static LagCheck lagCheck(String check) {
    return switch (check) {
      case "silent" -> LagCheck.NONE;
      case "refuse" -> LagCheck.REJECT;
      default -> LagCheck.WAIT;
    };
  }

  private static SafetyRules safetyRules() {
    return new SafetyRules(
        DRAIN_GRACE_MICROS,
        SLOW_START_INITIAL_CAPACITY,
        SLOW_START_DURATION_MICROS,
        OVERLOAD_FACTOR,
        OVERLOAD_WINDOW_MICROS,
        false,
        POLL_INTERVAL_MICROS,
        RESPONSE_SLACK_MICROS);
  }

  private static OperatingLimits operatingLimits(JsonNode hosts) {
    long connectTimeoutMillis =
        hosts.path("connectTimeoutMs").asLong(DEFAULT_CONNECT_TIMEOUT_MILLIS);
    long connectionIdleMillis = hosts.path("idleMs").asLong(DEFAULT_CONNECTION_IDLE_MILLIS);
    return new OperatingLimits(
        hosts.path("attempts").asInt(DEFAULT_MAX_ATTEMPTS),
        MAX_RETRY_AFTER_MICROS,
        true,
        true,
        false,
        true,
        false,
        connectTimeoutMillis * MICROS_PER_MILLI,
        connectionIdleMillis * MICROS_PER_MILLI);
  }
}
