package shelffront.routing;

/** Consistency that requests of a class require: which commits the host must have applied. */
public enum Consistency {
  WRITE,
  STRONG,
  SESSION,
  BOUNDED_STALENESS,
  EVENTUAL
}
