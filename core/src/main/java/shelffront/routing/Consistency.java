package shelffront.routing;

/** What a request class needs of the member that answers it. */
public enum Consistency {
  WRITE,
  STRONG,
  SESSION,
  BOUNDED_STALENESS,
  EVENTUAL
}
