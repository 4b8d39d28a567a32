package shelffront.routing;

/** How a host handles a read whose required position it has not reached. */
public enum LagCheck {
  NONE,
  REJECT,
  WAIT
}
