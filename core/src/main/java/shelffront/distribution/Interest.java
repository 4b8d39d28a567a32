package shelffront.distribution;

import java.util.Set;

/** The records that a subscriber follows: all, or those of these names. */
public record Interest(boolean all, Set<String> names) {

  public static final Interest ALL = new Interest(true, Set.of());

  public static Interest in(Set<String> names) {
    return new Interest(false, Set.copyOf(names));
  }

  public boolean covers(String name) {
    return all || names.contains(name);
  }
}
