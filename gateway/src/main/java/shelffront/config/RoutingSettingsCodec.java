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

  private static final Map<String, Idempotency> EFFECTS =
      Map.of(
          "repeatable",
          Idempotency.IDEMPOTENT,
          "by_key",
          Idempotency.IDEMPOTENCY_KEY,
          "once",
          Idempotency.NON_IDEMPOTENT);
  private static final Map<String, DeduplicationScope> SCOPES =
      Map.of(
          "all",
          DeduplicationScope.ALL,
          "zone",
          DeduplicationScope.ZONE,
          "cell",
          DeduplicationScope.REPLICA_SET);
  private static final Map<String, Consistency> READS =
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
  private static final Map<String, LagCheck> CHECKS =
      Map.of("silent", LagCheck.NONE, "refuse", LagCheck.REJECT, "wait", LagCheck.WAIT);
  private static final Map<String, ListedRoles> LIST_ROLES =
      Map.of("silent", ListedRoles.NONE, "start", ListedRoles.AT_START, "late", ListedRoles.LATE);
  private static final Map<String, LoadReportSource> SOURCES =
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
  public static long positionZeroMicros(Map<?, ?> facts) throws MalformedInputException {
    return new RoutingSettingsCodec("facts", facts).part("familyInfo").integer("zero", 0);
  }

  /**
   * Reads the settings. Absent settings have the protocol's defaults.
   *
   * @throws MalformedInputException if a section is not an object or a numeric setting not a number
   */
  public static RoutingSettings read(Map<?, ?> facts) throws MalformedInputException {
    RoutingSettingsCodec top = new RoutingSettingsCodec("facts", facts);
    RoutingSettingsCodec family = top.part("familyInfo");
    RoutingSettingsCodec limits = top.part("limits");
    RoutingSettingsCodec rules = top.part("guarantees");
    RoutingSettingsCodec prices = top.part("tariffs");
    List<RequestClass> classes = readClasses(top, family);
    return new RoutingSettings(
        new GatewayIdentity(
            (int) top.integer("selfIndex", 0),
            (int) top.integer("balancers", 1),
            top.text("zone", "")),
        top.integer("period", 1000),
        classes,
        new ConsistencySettings(
            family.word("checks", CHECKS, LagCheck.NONE),
            family.integer("patience", 0),
            family.flag("answersStamped"),
            !family.text("sessionMarks", "carried").equals("remembered")),
        new EndpointListSettings(
            family.word("roleInList", LIST_ROLES, ListedRoles.NONE),
            top.text("membershipMode", "push").equals("ask")),
        top.part("loadInfo").word("source", SOURCES, LoadReportSource.NONE),
        readRules(rules),
        readLimits(limits),
        prices.number("crossZone", 0),
        prices.number("probe", 0));
  }

  private static List<RequestClass> readClasses(
      RoutingSettingsCodec top, RoutingSettingsCodec family) throws MalformedInputException {
    List<?> reads = family.list("classRead");
    List<?> bounds = family.list("oldestData");
    List<RequestClass> classes = new ArrayList<>();
    for (Object entry : top.list("categories")) {
      int index = classes.size();
      RoutingSettingsCodec category =
          new RoutingSettingsCodec("facts.categories[" + index + "]", asMap(entry));
      classes.add(
          category.readClass(consistencyAt(reads, index), maxStalenessMicrosAt(bounds, index)));
    }
    return List.copyOf(classes);
  }

  private static Consistency consistencyAt(List<?> reads, int index) {
    return index < reads.size() && reads.get(index) instanceof String word
        ? READS.getOrDefault(word, Consistency.STRONG)
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
        word("effect", EFFECTS, Idempotency.NON_IDEMPOTENT),
        word("group", SCOPES, DeduplicationScope.REPLICA_SET),
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

  private RoutingSettingsCodec part(String name) throws MalformedInputException {
    Object value = values.get(name);
    if (value != null && !(value instanceof Map)) {
      throw new MalformedInputException(path + "." + name + " is not an object");
    }
    return new RoutingSettingsCodec(path + "." + name, asMap(value));
  }

  private List<?> list(String name) {
    return values.get(name) instanceof List<?> list ? list : List.of();
  }

  private double number(String name, double absent) throws MalformedInputException {
    return JsonReader.number(path + ".", values, name, absent);
  }

  private long integer(String name, long absent) throws MalformedInputException {
    return (long) number(name, absent);
  }

  private String text(String name, String absent) {
    return values.get(name) instanceof String text ? text : absent;
  }

  private boolean flag(String name) {
    return values.get(name) instanceof Boolean flag && flag;
  }

  private <T> T word(String name, Map<String, T> words, T absent) {
    return words.getOrDefault(text(name, ""), absent);
  }
}
