package shelffront.routing;

/** Where hosts' load reports arrive. */
public enum LoadReportSource {
  NONE,
  RESPONSES,
  HEALTH_CHECKS
}
