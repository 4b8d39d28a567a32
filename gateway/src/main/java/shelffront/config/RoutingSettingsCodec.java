package shelffront.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
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
 * Reads {@link RoutingSettings} from the JSON settings object that the configuration file and the
 * simulator share. Unknown keys are ignored.
 */
public final class RoutingSettingsCodec {

  private static final Map<String, Idempotency> IDEMPOTENCY_BY_NAME =
      Map.of(
          "repeatable",
          Idempotency.IDEMPOTENT,
          "by_key",
          Idempotency.IDEMPOTENCY_KEY,
          "once",
          Idempotency.NON_IDEMPOTENT);
  private static final Map<String, DeduplicationScope> SCOPE_BY_NAME =
      Map.of(
          "all",
          DeduplicationScope.ALL,
          "zone",
          DeduplicationScope.ZONE,
          "cell",
          DeduplicationScope.REPLICA_SET);
  private static final Map<String, Consistency> CONSISTENCY_BY_NAME =
      Map.of(
          "write",
          Consistency.WRITE,
          "fresh",
          Consistency.STRONG,
          "session",
          Consistency.SESSION,
          "bounded",
          Consistency.BOUNDED_STALENESS,
          "any",
          Consistency.EVENTUAL);
  private static final Map<String, LagCheck> LAG_CHECK_BY_NAME =
      Map.of("silent", LagCheck.NONE, "refuse", LagCheck.REJECT, "wait", LagCheck.WAIT);
  private static final Map<String, ListedRoles> LISTED_ROLES_BY_NAME =
      Map.of("silent", ListedRoles.NONE, "start", ListedRoles.AT_START, "late", ListedRoles.LATE);
  private static final Map<String, LoadReportSource> LOAD_REPORT_SOURCE_BY_NAME =
      Map.of(
          "silent",
          LoadReportSource.NONE,
          "piggyback",
          LoadReportSource.RESPONSES,
          "pull",
          LoadReportSource.HEALTH_CHECKS);

  private static final long DEFAULT_CONNECT_TIMEOUT_MICROS = 250_000;
  private static final long DEFAULT_CONNECTION_IDLE_MICROS = 15_000_000;

  private final String path;
  private final Map<?, ?> values;

  private RoutingSettingsCodec(String path, Map<?, ?> values) {
    this.path = path;
    this.values = values;
  }

  /** Returns the clock time in microseconds from which positions in the input are counted. */
  public static long positionZeroMicros(Map<?, ?> settings) throws MalformedInputException {
    return new RoutingSettingsCodec("facts", settings).section("familyInfo").integer("zero", 0);
  }

  /**
   * Reads the settings. Absent settings have the protocol's defaults.
   *
   * @throws MalformedInputException if a section is not an object or a numeric setting not a number
   */
  public static RoutingSettings read(Map<?, ?> settings) throws MalformedInputException {
    RoutingSettingsCodec root = new RoutingSettingsCodec("facts", settings);
    RoutingSettingsCodec family = root.section("familyInfo");
    RoutingSettingsCodec limits = root.section("limits");
    RoutingSettingsCodec rules = root.section("guarantees");
    RoutingSettingsCodec costs = root.section("tariffs");
    List<RequestClass> classes = readClasses(root, family);
    return new RoutingSettings(
        new GatewayIdentity(
            (int) root.integer("selfIndex", 0),
            (int) root.integer("balancers", 1),
            root.text("zone", "")),
        root.integer("period", 1000),
        classes,
        new ConsistencySettings(
            family.enumValue("checks", LAG_CHECK_BY_NAME, LagCheck.NONE),
            family.integer("patience", 0),
            family.flag("answersStamped"),
            !family.text("sessionMarks", "carried").equals("remembered")),
        new EndpointListSettings(
            family.enumValue("roleInList", LISTED_ROLES_BY_NAME, ListedRoles.NONE),
            root.text("membershipMode", "push").equals("ask")),
        root.section("loadInfo")
            .enumValue("source", LOAD_REPORT_SOURCE_BY_NAME, LoadReportSource.NONE),
        readRules(rules),
        readLimits(limits),
        costs.number("crossZone", 0),
        costs.number("probe", 0));
  }

  private static List<RequestClass> readClasses(
      RoutingSettingsCodec root, RoutingSettingsCodec family) throws MalformedInputException {
    List<?> reads = family.list("classRead");
    List<?> bounds = family.list("oldestData");
    List<RequestClass> classes = new ArrayList<>();
    for (Object entry : root.list("categories")) {
      int index = classes.size();
      RoutingSettingsCodec category =
          new RoutingSettingsCodec("facts.categories[" + index + "]", asMap(entry));
      classes.add(
          category.readClass(consistencyAt(reads, index), maxStalenessMicrosAt(bounds, index)));
    }
    return List.copyOf(classes);
  }

  private static Consistency consistencyAt(List<?> reads, int index) {
    return index < reads.size() && reads.get(index) instanceof String name
        ? CONSISTENCY_BY_NAME.getOrDefault(name, Consistency.STRONG)
        : Consistency.STRONG;
  }

  private static long maxStalenessMicrosAt(List<?> bounds, int index) {
    return index < bounds.size() && bounds.get(index) instanceof Number number
        ? number.longValue()
        : 0;
  }

  private RequestClass readClass(Consistency consistency, long maxStalenessMicros)
      throws MalformedInputException {
    long deadlineMicros = integer("hardLimit", 0);
    return new RequestClass(
        text("name", ""),
        integer("aim", deadlineMicros),
        deadlineMicros,
        number("points", 1),
        number("lateShare", 0),
        enumValue("effect", IDEMPOTENCY_BY_NAME, Idempotency.NON_IDEMPOTENT),
        enumValue("group", SCOPE_BY_NAME, DeduplicationScope.REPLICA_SET),
        integer("dedupWindow", 0),
        consistency,
        maxStalenessMicros);
  }

  private static SafetyRules readRules(RoutingSettingsCodec rules) throws MalformedInputException {
    return new SafetyRules(
        rules.integer("drainGrace", 0),
        rules.number("coldFrom", 1),
        rules.integer("cold", 0),
        rules.number("fallMultiple", 1),
        rules.integer("fall", 0),
        rules.flag("softRemoval"),
        rules.integer("askWithin", 0),
        rules.integer("answerSlack", 0));
  }

  private static OperatingLimits readLimits(RoutingSettingsCodec limits)
      throws MalformedInputException {
    return new OperatingLimits(
        (int) limits.integer("maxAttempts", 1),
        limits.integer("maxRetryAfter", 0),
        limits.flag("retryAfter"),
        limits.flag("mayCancel"),
        limits.flag("mayDuplicate"),
        limits.flag("mayProbe"),
        limits.flag("mayTell"),
        limits.integer("connectTimeout", DEFAULT_CONNECT_TIMEOUT_MICROS),
        limits.integer("connIdle", DEFAULT_CONNECTION_IDLE_MICROS));
  }

  private static Map<?, ?> asMap(Object value) {
    return value instanceof Map<?, ?> map ? map : Map.of();
  }

  private RoutingSettingsCodec section(String name) throws MalformedInputException {
    Object value = values.get(name);
    if (value != null && !(value instanceof Map)) {
      throw new MalformedInputException(path + "." + name + " is not an object");
    }
    return new RoutingSettingsCodec(path + "." + name, asMap(value));
  }

  private List<?> list(String name) {
    return values.get(name) instanceof List<?> list ? list : List.of();
  }

  private double number(String name, double defaultValue) throws MalformedInputException {
    return JsonReader.number(path + ".", values, name, defaultValue);
  }

  private long integer(String name, long defaultValue) throws MalformedInputException {
    return (long) number(name, defaultValue);
  }

  private String text(String name, String defaultValue) {
    return values.get(name) instanceof String text ? text : defaultValue;
  }

  private boolean flag(String name) {
    return values.get(name) instanceof Boolean flag && flag;
  }

  private <T> T enumValue(String name, Map<String, T> valuesByName, T defaultValue) {
    return valuesByName.getOrDefault(text(name, ""), defaultValue);
  }
}
