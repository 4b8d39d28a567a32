package shelffront.net;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** What the program has taken in, sent and answered; owned by the loop thread, printed at exit. */
public final class Counters {

  /** What is counted; the names are published, in the log and in usage reports. */
  public enum Name {
    CLIENTS_ACCEPTED,
    BYTES_IN,
    BYTES_OUT,
    REQUESTS_TAKEN,
    REQUESTS_INVALID,
    REQUESTS_LEFT,
    ATTEMPTS_SENT,
    ATTEMPTS_OK,
    ATTEMPTS_ERROR,
    ATTEMPTS_FULL,
    ATTEMPTS_TIMEOUT,
    ATTEMPTS_CONNECT_FAILED,
    ATTEMPTS_RESET,
    ATTEMPTS_CANCELLED,
    ATTEMPTS_NOT_SENT,
    ATTEMPTS_MISS,
    PROBES_SENT,
    PROBES_FAILED,
    HOST_CONNECTIONS_OPENED,
    ANSWERS_SERVED,
    ANSWERS_REFUSED,
    ANSWERS_FAILED,
    REFUSED_BY_LIMIT,
    REFUSED_BY_SHARE,
    LISTS_HEARD,
    DISCOVERY_FAILURES,
    FAULTS
  }

  private final Counters parent;
  private final Map<Name, Long> values = new EnumMap<>(Name.class);

  public Counters() {
    this(null);
  }

  /** A part of others: what is counted here counts there too. */
  public Counters(Counters whole) {
    this.parent = whole;
  }

  public void add(Name name) {
    add(name, 1);
  }

  /** Adds here and in the counters that these are a part of. */
  public void add(Name name, long amount) {
    values.merge(name, amount, Long::sum);
    if (parent != null) {
      parent.add(name, amount);
    }
  }

  /** Adds what another counted. */
  public void addAll(Counters other) {
    other.values.forEach(this::add);
  }

  public long get(Name name) {
    return values.getOrDefault(name, 0L);
  }

  /** A copy, by name. */
  public Map<String, Long> values() {
    return values.entrySet().stream()
        .collect(Collectors.toMap(entry -> entry.getKey().name(), Map.Entry::getValue));
  }

  @Override
  public String toString() {
    return values.entrySet().stream()
        .map(entry -> entry.getKey().name().toLowerCase(Locale.ROOT) + "=" + entry.getValue())
        .collect(Collectors.joining(" ", "counters ", ""));
  }
}
