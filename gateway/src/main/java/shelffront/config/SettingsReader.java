package shelffront.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import shelffront.route.Router.ClassSettings;
import shelffront.route.Router.Effect;
import shelffront.route.Router.LagCheck;
import shelffront.route.Router.Limits;
import shelffront.route.Router.ListRole;
import shelffront.route.Router.Read;
import shelffront.route.Router.ReportSource;
import shelffront.route.Router.Rules;
import shelffront.route.Router.Scope;
import shelffront.route.Router.Settings;

/** Translates the settings object of the wire; keys that are not known are ignored. */
public final class SettingsReader {

  private static final Map<String, Effect> EFFECTS =
      Map.of("repeatable", Effect.REPEATABLE, "by_key", Effect.KEYED, "once", Effect.ONCE);
  private static final Map<String, Scope> SCOPES =
      Map.of("all", Scope.ALL, "zone", Scope.ZONE, "cell", Scope.GROUP);
  private static final Map<String, Read> READS =
      Map.of(
          "write",
          Read.WRITE,
          "fresh",
          Read.FRESH,
          "session",
          Read.SESSION,
          "bounded",
          Read.BOUNDED,
          "any",
          Read.ANY);
  private static final Map<String, LagCheck> CHECKS =
      Map.of("silent", LagCheck.NONE, "refuse", LagCheck.REFUSE, "wait", LagCheck.WAIT);
  private static final Map<String, ListRole> LIST_ROLES =
      Map.of("silent", ListRole.NONE, "start", ListRole.AT_START, "late", ListRole.LATE);
  private static final Map<String, ReportSource> SOURCES =
      Map.of(
          "silent",
          ReportSource.NONE,
          "piggyback",
          ReportSource.ANSWERS,
          "pull",
          ReportSource.PROBES);

  private final String path;
  private final Map<?, ?> values;

  private SettingsReader(String path, Map<?, ?> values) {
    this.path = path;
    this.values = values;
  }

  /** Clock time from which the wire counts positions. */
  public static long zero(Map<?, ?> facts) throws MalformedInputException {
    return new SettingsReader("facts", facts).part("familyInfo").integer("zero", 0);
  }

  public static Settings read(Map<?, ?> facts) throws MalformedInputException {
    SettingsReader top = new SettingsReader("facts", facts);
    SettingsReader family = top.part("familyInfo");
    SettingsReader limits = top.part("limits");
    SettingsReader rules = top.part("guarantees");
    SettingsReader prices = top.part("tariffs");
    List<?> reads = family.list("classRead");
    List<?> bounds = family.list("oldestData");
    List<ClassSettings> classes = new ArrayList<>();
    for (Object entry : top.list("categories")) {
      int i = classes.size();
      SettingsReader c = new SettingsReader("facts.categories[" + i + "]", asMap(entry));
      Read read =
          i < reads.size() && reads.get(i) instanceof String word
              ? READS.getOrDefault(word, Read.FRESH)
              : Read.FRESH;
      long bound = i < bounds.size() && bounds.get(i) instanceof Number n ? n.longValue() : 0;
      long deadline = c.integer("hardLimit", 0);
      classes.add(
          new ClassSettings(
              c.text("name", ""),
              c.integer("aim", deadline),
              deadline,
              c.number("points", 1),
              c.number("lateShare", 0),
              c.word("effect", EFFECTS, Effect.ONCE),
              c.word("group", SCOPES, Scope.GROUP),
              c.integer("dedupWindow", 0),
              read,
              bound));
    }
    return new Settings(
        (int) top.integer("selfIndex", 0),
        (int) top.integer("balancers", 1),
        top.text("zone", ""),
        top.integer("period", 1000),
        List.copyOf(classes),
        family.word("checks", CHECKS, LagCheck.NONE),
        family.integer("patience", 0),
        family.flag("answersStamped"),
        !family.text("sessionMarks", "carried").equals("remembered"),
        family.word("roleInList", LIST_ROLES, ListRole.NONE),
        top.text("membershipMode", "push").equals("ask"),
        top.part("loadInfo").word("source", SOURCES, ReportSource.NONE),
        new Rules(
            rules.integer("drainGrace", 0),
            rules.number("coldFrom", 1),
            rules.integer("cold", 0),
            rules.number("fallMultiple", 1),
            rules.integer("fall", 0),
            rules.flag("softRemoval"),
            rules.integer("askWithin", 0),
            rules.integer("answerSlack", 0)),
        new Limits(
            (int) limits.integer("maxAttempts", 1),
            limits.integer("maxRetryAfter", 0),
            limits.flag("retryAfter"),
            limits.flag("mayCancel"),
            limits.flag("mayDuplicate"),
            limits.flag("mayProbe"),
            limits.flag("mayTell"),
            limits.integer("connectTimeout", 250_000),
            limits.integer("connIdle", 15_000_000)),
        prices.number("crossZone", 0),
        prices.number("probe", 0));
  }

  private static Map<?, ?> asMap(Object value) {
    return value instanceof Map<?, ?> map ? map : Map.of();
  }

  private SettingsReader part(String name) throws MalformedInputException {
    Object value = values.get(name);
    if (value != null && !(value instanceof Map)) {
      throw new MalformedInputException(path + "." + name + " is not an object");
    }
    return new SettingsReader(path + "." + name, asMap(value));
  }

  private List<?> list(String name) {
    return values.get(name) instanceof List<?> list ? list : List.of();
  }

  private double number(String name, double absent) throws MalformedInputException {
    return Json.number(path + ".", values, name, absent);
  }

  private long integer(String name, long absent) throws MalformedInputException {
    return (long) number(name, absent);
  }

  private String text(String name, String absent) {
    return values.get(name) instanceof String text ? text : absent;
  }

  private boolean flag(String name) {
    return values.get(name) instanceof Boolean b && b;
  }

  private <T> T word(String name, Map<String, T> words, T absent) {
    return words.getOrDefault(text(name, ""), absent);
  }
}
