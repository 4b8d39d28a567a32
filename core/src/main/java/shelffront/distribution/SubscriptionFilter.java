package shelffront.distribution;

import java.util.Set;

/**
 * Which records a subscriber follows.
 *
 * @param matchesAll whether it follows every record, whatever the names
 * @param names those that it follows otherwise
 */
public record SubscriptionFilter(boolean matchesAll, Set<String> names) {

  /** Follows every record. */
  public static final SubscriptionFilter ALL = new SubscriptionFilter(true, Set.of());

  /** Follows the records of these names, as they are now. */
  public static SubscriptionFilter ofNames(Set<String> names) {
    return new SubscriptionFilter(false, Set.copyOf(names));
  }

  public boolean matches(String name) {
    return matchesAll || names.contains(name);
  }
}
