package shelffront.distribution;

import java.util.Set;

/**
 * Selects the records that a subscriber follows.
 *
 * @param matchesAll whether the filter matches every record; {@code names} is ignored then
 * @param names the names that the filter matches otherwise
 */
public record SubscriptionFilter(boolean matchesAll, Set<String> names) {

  /** Matches every record. */
  public static final SubscriptionFilter ALL = new SubscriptionFilter(true, Set.of());

  /** Returns a filter of these names; later modifications of the set have no effect. */
  public static SubscriptionFilter ofNames(Set<String> names) {
    return new SubscriptionFilter(false, Set.copyOf(names));
  }

  public boolean matches(String name) {
    return matchesAll || names.contains(name);
  }
}
