package shelffront.routing;

/** Where members' reports about themselves arrive. */
public enum LoadReportSource {
  NONE,
  RESPONSES,
  HEALTH_CHECKS
}
