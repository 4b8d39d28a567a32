package shelffront.routing;

/** What the host of a request class must have applied. */
public enum Consistency {
  WRITE,
  STRONG,
  SESSION,
  BOUNDED_STALENESS,
  EVENTUAL
}
