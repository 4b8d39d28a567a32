package shelffront.distribution;

import java.util.Set;

/** The records that a subscriber follows: all, or those of these names. */
public record SubscriptionFilter(boolean matchesAll, Set<String> names) {

  public static final SubscriptionFilter ALL = new SubscriptionFilter(true, Set.of());

  public static SubscriptionFilter ofNames(Set<String> names) {
    return new SubscriptionFilter(false, Set.copyOf(names));
  }

  public boolean matches(String name) {
    return matchesAll || names.contains(name);
  }
}
