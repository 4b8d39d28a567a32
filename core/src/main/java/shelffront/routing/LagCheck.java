package shelffront.routing;

/** What a member does with a read for which it lags too far. */
public enum LagCheck {
  NONE,
  REJECT,
  WAIT
}
