package shelffront.routing;

/** What a host does with a read that it is too far behind for. */
public enum LagCheck {
  NONE,
  REJECT,
  WAIT
}
