package shelffront.routing;

/** Messages that carry the load reports of hosts. */
public enum LoadReportSource {
  NONE,
  RESPONSES,
  HEALTH_CHECKS
}
