package shelffront.net;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Counts of connections, bytes, requests, attempts and responses. Used on the loop thread only, and
 * logged at exit.
 */
public final class Counters {

  /** The counted events. Their names are published in the log and in usage reports. */
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
    REFUSED_BY_MEMORY,
    LISTS_HEARD,
    DISCOVERY_FAILURES,
    FAULTS
  }

  private final Counters parent;
  private final Map<Name, Long> values = new EnumMap<>(Name.class);

  public Counters() {
    this(null);
  }

  /** Creates counters whose counts are also added to a parent. */
  public Counters(Counters parent) {
    this.parent = parent;
  }

  public void add(Name name) {
    add(name, 1);
  }

  /** Adds an amount here and in all parents. */
  public void add(Name name, long amount) {
    values.merge(name, amount, Long::sum);
    if (parent != null) {
      parent.add(name, amount);
    }
  }

  /** Adds all counts of other counters. */
  public void addAll(Counters other) {
    other.values.forEach(this::add);
  }

  public long get(Name name) {
    return values.getOrDefault(name, 0L);
  }

  /** Returns a copy of the counts by name, without names that were never counted. */
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
